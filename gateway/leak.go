package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/baobablanding/baobablanding/result"
)

// maxDecodings bounds how often an encoding may be wrapped in another one.
const maxDecodings = 4

// checkLeak refuses a request that would carry the caller's key to an upstream
// in what is passed on: its method, path, query, types or body, plain or in
// percent or JSON escapes.
func (c credential) checkLeak(r *http.Request, body []byte) error {
	if !c.present() {
		return nil
	}
	parts := []struct {
		name string
		text []byte
	}{
		{"method", []byte(r.Method)},
		{"path or query", []byte(r.URL.RequestURI())},
		{"Accept header", []byte(r.Header.Get("Accept"))},
		{"Content-Type header", []byte(r.Header.Get("Content-Type"))},
		{"body", body},
	}
	for _, part := range parts {
		if containsEncoded(part.text, []byte(c.text)) {
			return result.Errorf(result.BadRequest, "the %s contains the key", part.name)
		}
	}
	return nil
}

// errFileLeaks refuses a batch file whose items would carry the caller's key.
var errFileLeaks = result.Errorf(result.BadRequest, "the file contains the key")

// overlapPerByte is how many bytes an encoded byte of a key may take.
const overlapPerByte = 16

// guardedReader reads a file and fails when it contains the key.
type guardedReader struct {
	from  io.Reader
	key   []byte
	seen  []byte // the end of what was read
	leaks bool
}

// guard returns a reader of the file that fails when it contains the key.
func (c credential) guard(file io.Reader) *guardedReader {
	return &guardedReader{from: file, key: []byte(c.text)}
}

// Read implements io.Reader.
func (g *guardedReader) Read(p []byte) (int, error) {
	n, err := g.from.Read(p)
	g.seen = append(g.seen, p[:n]...)
	if containsEncoded(g.seen, g.key) {
		g.leaks = true
		return 0, errFileLeaks
	}
	overlap := min(len(g.seen), len(g.key)*overlapPerByte)
	g.seen = append(g.seen[:0], g.seen[len(g.seen)-overlap:]...)
	return n, err
}

// containsEncoded tells whether text contains the key, plain or encoded.
func containsEncoded(text, key []byte) bool {
	for range maxDecodings {
		if bytes.Contains(text, key) {
			return true
		}
		plain := unescape(text)
		if len(plain) == len(text) {
			return false // nothing was encoded
		}
		text = plain
	}
	return bytes.Contains(text, key)
}

// unescape decodes percent escapes and JSON escapes and leaves malformed ones
// as they are. The result is shorter than text if anything was decoded.
func unescape(text []byte) []byte {
	if bytes.IndexByte(text, '%') < 0 && bytes.IndexByte(text, '\\') < 0 {
		return text
	}
	plain := make([]byte, 0, len(text))
	for i := 0; i < len(text); {
		b, n := unescapeAt(text[i:])
		plain = append(plain, b)
		i += n
	}
	return plain
}

const (
	percentLength = len("%62")
	unicodeLength = len("\\u0062")
)

// unescapeAt decodes the byte at the start of text and returns its encoded
// length. Characters above one byte become a byte that no key contains.
func unescapeAt(text []byte) (byte, int) {
	switch {
	case text[0] == '%' && len(text) >= percentLength:
		if v, ok := hexValue(text[1:percentLength]); ok {
			return byte(v), percentLength
		}
	case text[0] == '\\' && len(text) >= unicodeLength && text[1] == 'u':
		if v, ok := hexValue(text[2:unicodeLength]); ok {
			return byte(min(v, 0xff)), unicodeLength
		}
	case text[0] == '\\' && len(text) > 1 && bytes.IndexByte([]byte(`"\/`), text[1]) >= 0:
		return text[1], 2
	}
	return text[0], 1
}

// hexValue returns the value of hexadecimal digits.
func hexValue(digits []byte) (int, bool) {
	value := 0
	for _, d := range digits {
		switch {
		case d >= '0' && d <= '9':
			value = value<<4 | int(d-'0')
		case d|0x20 >= 'a' && d|0x20 <= 'f':
			value = value<<4 | int(d|0x20-'a'+10)
		default:
			return 0, false
		}
	}
	return value, true
}
