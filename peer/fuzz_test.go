package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/baobablanding/baobablanding/result"
)

// FuzzReadObject checks that ReadObject returns a message or an error for any input, and
// that a message is the same after it was written and read again.
func FuzzReadObject(f *testing.F) {
	var wire bytes.Buffer
	if err := new(codec).WriteObject(&wire, &rawMessage{json.RawMessage(`{"id":"a"}`)}); err != nil {
		f.Fatal(err)
	}
	f.Add(wire.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{200, 1, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var first rawMessage
		if new(codec).ReadObject(bufio.NewReader(bytes.NewReader(data)), &first) != nil {
			return
		}
		var wire bytes.Buffer
		if err := new(codec).WriteObject(&wire, &first); err != nil {
			t.Fatal(err)
		}
		var second rawMessage
		if err := new(codec).ReadObject(bufio.NewReader(&wire), &second); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first.RawMessage, second.RawMessage) {
			t.Errorf("%q became %q", first.RawMessage, second.RawMessage)
		}
	})
}

// FuzzDecode checks that DecodeParams returns a value, or an error with the verdict
// "not run".
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"a","class":1,"timeout":5}`))
	f.Add([]byte(`{"id":1}`))
	f.Add([]byte(`{"class":300}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, decode := range []func(json.RawMessage) error{
			func(m json.RawMessage) error { _, err := DecodeParams[RunRequest](m); return err },
			func(m json.RawMessage) error { _, err := DecodeParams[AgentStatus](m); return err },
			func(m json.RawMessage) error { _, err := DecodeParams[Gossip](m); return err },
		} {
			if err := decode(data); err != nil && result.FromError(err).Verdict != result.NotRun {
				t.Errorf("rejected with verdict %v: %v", result.FromError(err).Verdict, err)
			}
		}
	})
}
