package httpserve

import (
	"io"
	"net/http"
	"time"
)

// restTimeout bounds the time to read the rest of a body before a response that does not
// need it.
const restTimeout = 2 * time.Second

// requestBody is the body of a request. It belongs to the goroutine of the handler.
type requestBody struct {
	io.ReadCloser
	ended bool // no more can be read
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// readRest reads and drops the rest of the request's body, at most limit bytes and for at
// most restTimeout. Otherwise net/http closes the connection while a long body still
// arrives, and the reset may keep the response from the caller.
func (b *requestBody) readRest(w http.ResponseWriter, limit int64) {
	if b.ended {
		return
	}
	control := http.NewResponseController(w)
	if control.SetReadDeadline(time.Now().Add(restTimeout)) != nil {
		return // the connection is closed
	}
	_, err := io.CopyN(io.Discard, b, limit)
	if err == nil || err == io.EOF { // after a timeout, net/http must not wait for the rest
		_ = control.SetReadDeadline(time.Time{})
	}
}
