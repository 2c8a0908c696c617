package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
)

// TestCheckLeak checks that a key is found in every forwarded part of a request and in
// every encoding, without false alarms, and that the error does not repeat the key.
func TestCheckLeak(t *testing.T) {
	const key = "bl-secret_Key.1"
	cases := []struct {
		name, method, target, accept, contentType, body string
		leaks                                           bool
	}{
		{name: "nothing", target: "/orders/1?a=%62l", body: `{"text":"a \n \u00e9 100% \\ bl-"}`},
		{name: "malformed escapes", target: "/orders/1?a=b", body: `%zz \u12 \uzzzz %6 \`},
		{name: "in the path", target: "/orders/" + key, leaks: true},
		{name: "percent-encoded path", target: "/orders/%62%6C-secret_Key.1", leaks: true},
		{name: "in the query", target: "/orders/1?k=" + key, leaks: true},
		{name: "percent-encoded query", target: "/orders/1?k=bl%2dsecret%5FKey%2e1", leaks: true},
		{name: "twice percent-encoded", target: "/orders/1?k=%2562l-secret_Key.1", leaks: true},
		{name: "in the method", method: key, target: "/orders/1", leaks: true},
		{name: "in Accept", accept: "text/html; q=" + key, target: "/orders/1", leaks: true},
		{name: "in Content-Type", contentType: "text/plain; x=" + key, target: "/orders/1", leaks: true},
		{name: "in the body", target: "/orders/1", body: "a" + key + "b", leaks: true},
		{name: "JSON-escaped", target: "/orders/1", body: `{"t":"\u0062\u006C-secret_Key.1"}`, leaks: true},
		{name: "all of it JSON-escaped", target: "/orders/1", body: jsonEscaped(key), leaks: true},
		{name: "JSON within JSON", target: "/orders/1", body: `{"t":"{\"u\":\"\\u0062l-secret_Key.1\"}"}`, leaks: true},
		{name: "form in the body", target: "/orders/1", body: "a=b&k=%62l-secret_Key.1", leaks: true},
		{name: "percent within JSON", target: "/orders/1", body: `{"t":"\u002562l-secret_Key.1"}`, leaks: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, c.target, nil)
			if c.method != "" {
				r.Method = c.method
			}
			r.Header.Set("Authorization", "Bearer "+key)
			r.Header.Set("Accept", c.accept)
			r.Header.Set("Content-Type", c.contentType)
			credential, err := readCredential(r.Header)
			if err != nil {
				t.Fatal(err)
			}
			if err := credential.checkLeak(r, []byte(c.body)); (err != nil) != c.leaks {
				t.Errorf("checkLeak = %v, want an error: %t", err, c.leaks)
			}
			if err := credential.checkLeak(r, []byte(c.body)); err != nil && strings.Contains(err.Error(), key) {
				t.Errorf("the error %q shows the key", err)
			}
		})
	}
}

// TestLeakReaderFindsKeyAcrossReads checks that a key is found wherever a file is split
// into reads, and that a file without it is passed on unchanged.
func TestLeakReaderFindsKeyAcrossReads(t *testing.T) {
	const key = "bl-secret_Key.1"
	c := credential{text: key}
	padding := strings.Repeat(`{"custom_id":"a \\n"}`+"\n", 100)
	for _, encodedKey := range []string{key, jsonEscaped(key), "%62l-secret_Key.1"} {
		for size := 1; size <= 64; size *= 2 {
			r := c.newLeakReader(iotest.DataErrReader(strings.NewReader(padding + encodedKey + padding)))
			if _, err := io.CopyBuffer(onlyWriter{io.Discard}, onlyReader{r}, make([]byte, size)); err == nil || !r.foundKey {
				t.Errorf("%q was not found with reads of %d bytes", encodedKey, size)
			}
		}
	}
	data, err := io.ReadAll(c.newLeakReader(strings.NewReader(padding)))
	if err != nil || string(data) != padding {
		t.Errorf("a file without the key was changed or rejected: %v", err)
	}
}

// onlyReader and onlyWriter hide all other methods, so that io.CopyBuffer uses the given
// buffer.
type onlyReader struct{ io.Reader }
type onlyWriter struct{ io.Writer }

// jsonEscaped returns the text with each byte as a JSON escape.
func jsonEscaped(text string) string {
	const digits = "0123456789abcdef"
	var b strings.Builder
	for _, c := range []byte(text) {
		b.WriteString(`\u00`)
		b.WriteByte(digits[c>>4])
		b.WriteByte(digits[c&15])
	}
	return b.String()
}
