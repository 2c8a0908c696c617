package batch

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/baobablanding/baobablanding/result"
)

// FuzzParseItem checks that an accepted line has everything that an item needs, and that
// the error for a rejected line says that it was not run.
func FuzzParseItem(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}`))
	f.Add([]byte(`{"custom_id":"a","method":"GET","url":"/v1/chat/completions","body":{"model":"m"}}`))
	f.Add([]byte(`{"custom_id":"a","custom_id":"b","method":"POST","url":"/v1/chat/completions","body":[]}`))
	f.Add([]byte(`null`))
	f.Add([]byte("\xff\n\n{}"))
	const chat = "/v1/chat/completions"
	f.Fuzz(func(t *testing.T, data []byte) {
		err := scanLines(bytes.NewReader(data), func(number int, line []byte) error {
			item, err := parseItem(number, line, chat)
			if err != nil {
				if e := result.FromError(err); e.Code != result.BadBatchLine || e.Verdict != result.NotRun {
					t.Errorf("line %q is rejected with %v, verdict %v", line, e, e.Verdict)
				}
				return nil
			}
			if item.CustomID == "" || item.Model() == "" || item.URL != chat || !json.Valid(item.Body) {
				t.Errorf("line %q is accepted as %+v", line, item)
			}
			return nil
		})
		if err != nil {
			t.Errorf("scan: %v", err)
		}
	})
}
