package gateway

import (
	"net/http"
	"strings"
	"testing"
)

// FuzzReadCredential checks that readCredential rejects two keys, and otherwise returns
// part of the header that was sent.
func FuzzReadCredential(f *testing.F) {
	f.Add("Bearer a", "")
	f.Add("bearer  a b", "")
	f.Add("", "a")
	f.Add("Basic a", "")
	f.Add("Bearer a", "b")
	f.Add("Bearer", "")
	f.Fuzz(func(t *testing.T, authorization, apiKey string) {
		h := http.Header{}
		if authorization != "" {
			h.Set("Authorization", authorization)
		}
		if apiKey != "" {
			h.Set("X-Api-Key", apiKey)
		}
		key, err := readCredential(h)
		if err != nil {
			return
		}
		if authorization != "" && apiKey != "" {
			t.Errorf("two keys were accepted: %q and %q", authorization, apiKey)
		}
		if !strings.Contains(authorization+apiKey, key.text) {
			t.Errorf("the key %q is not in the header", key.text)
		}
	})
}
