package job

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/baobablanding/baobablanding/history/seed"
)

// TestEncodedSizeIsNoLessThanJSON guards against results that are larger than their bound.
func TestEncodedSizeIsNoLessThanJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		data, err := json.Marshal(string(text))
		if err != nil {
			t.Fatal(err)
		}
		if got := EncodedSize(text); got < len(data)-len(`""`) {
			t.Errorf("%q takes %d bytes, at most %d were expected", text, len(data), got)
		}
	})
}
