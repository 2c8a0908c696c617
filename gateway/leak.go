package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/baobablanding/baobablanding/result"
)

// maxDecodings is how many times a text is decoded in search of the key: a key in more
// nested encodings is not found.
const maxDecodings = 4

// checkLeak rejects a request that would carry the caller's key to an upstream. It
// returns an error with code result.BadRequest if one of the forwarded parts contains the
// key: the method, path, query, Accept and Content-Type headers or body. It finds the key
// as it is and in percent or JSON escapes. The error does not contain the key.
func (c credential) checkLeak(r *http.Request, body []byte) error {
	if !c.isPresent() {
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
			return result.Errorf(result.BadRequest, "the %s contains the caller's key; send it in the Authorization or X-Api-Key header only", part.name)
		}
	}
	return nil
}

// errFileContainsKey rejects a batch file whose items would carry the caller's key to an
// upstream.
var errFileContainsKey = result.Errorf(result.BadRequest, "the file contains the caller's key; remove it from the file")

// maxBytesPerEncodedByte is the longest encoding of one byte of a key, in bytes, that is
// found for certain across several reads.
const maxBytesPerEncodedByte = 16

// leakReader reads a file and fails if the file contains the key. It is not safe for
// concurrent use.
type leakReader struct {
	source   io.Reader
	key      []byte
	tail     []byte // the last bytes read, where a key may have started
	foundKey bool
}

// newLeakReader returns a reader of the file that fails if the file contains the key. The
// credential must not be the zero value, whose empty key every text contains.
func (c credential) newLeakReader(file io.Reader) *leakReader {
	return &leakReader{source: file, key: []byte(c.text)}
}

// Read implements io.Reader. Once the key was found, it returns errFileContainsKey
// instead of the data that was read.
func (r *leakReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.tail = append(r.tail, p[:n]...)
	if containsEncoded(r.tail, r.key) {
		r.foundKey = true
		return 0, errFileContainsKey
	}
	keep := min(len(r.tail), len(r.key)*maxBytesPerEncodedByte)
	r.tail = append(r.tail[:0], r.tail[len(r.tail)-keep:]...)
	return n, err
}

// containsEncoded reports whether text contains the key, either as it is or in up to
// maxDecodings nested encodings.
func containsEncoded(text, key []byte) bool {
	for range maxDecodings {
		if bytes.Contains(text, key) {
			return true
		}
		plain := unescape(text)
		if len(plain) == len(text) {
			return false // nothing left to decode
		}
		text = plain
	}
	return bytes.Contains(text, key)
}

// unescape decodes percent and JSON escapes once and leaves malformed ones as they are.
// The result is shorter than text if anything was decoded, and otherwise equal to it.
// JSON escapes of control characters, such as \n, are left as they are.
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
	percentEscapeLen = len("%62")
	unicodeEscapeLen = len("\\u0062")
)

// unescapeAt decodes the escape or the plain byte at the start of text, and returns the
// decoded byte and the encoded length. Characters above 0xff become 0xff, which no key
// contains.
func unescapeAt(text []byte) (byte, int) {
	switch {
	case text[0] == '%' && len(text) >= percentEscapeLen:
		if v, ok := hexValue(text[1:percentEscapeLen]); ok {
			return byte(v), percentEscapeLen
		}
	case text[0] == '\\' && len(text) >= unicodeEscapeLen && text[1] == 'u':
		if v, ok := hexValue(text[2:unicodeEscapeLen]); ok {
			return byte(min(v, 0xff)), unicodeEscapeLen
		}
	case text[0] == '\\' && len(text) > 1 && bytes.IndexByte([]byte(`"\/`), text[1]) >= 0:
		return text[1], 2
	}
	return text[0], 1
}

// hexValue returns the value of hexadecimal digits, and false if one of them is no such
// digit.
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
