package httpserve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

var (
	errNotFinalStatus = errors.New("httpserve: status is not from 200 to 599")
	// errBrokenOff reports a response whose connection ended before the whole request was written.
	errBrokenOff = fmt.Errorf("httpserve: response broke off while the request was written: %w", io.ErrUnexpectedEOF)
)

// transport is an http.Transport that returns no response with a status that is not final, and no
// part of a response as a whole one.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	written := newRequestWrite()
	resp, err := t.Transport.RoundTrip(req.WithContext(written.trace(req.Context())))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: %03d", errNotFinalStatus, resp.StatusCode)
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, unframed: EndsWithConnection(resp), written: written, ctx: req.Context()}
	return resp, nil
}

// EndsWithConnection reports whether the body of the response has neither a length nor chunks, so
// that it ends where its connection ends.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// checkedBody is the body of a response. The system tells of a reset only once: if a write of the
// request learns of it, a read shows a plain end, or that net/http has closed the connection because
// of the write. A body that ends with its connection is whole only if the whole request was written.
type checkedBody struct {
	io.ReadCloser
	unframed bool // the body ends with its connection
	written  *requestWrite
	ctx      context.Context // of the request
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF && b.unframed:
		// net/http has closed the connection, so that a write that still waits ends too.
		if writeErr := b.written.wait(b.ctx); writeErr != nil {
			return n, fmt.Errorf("%w: %w", errBrokenOff, writeErr)
		}
	case errors.Is(err, net.ErrClosed):
		return n, fmt.Errorf("%w: %w", errBrokenOff, err)
	}
	return n, err
}

// requestWrite tells how the write of a request ended. Its methods take no lock.
type requestWrite struct{ current atomic.Pointer[writeEnd] }

// writeEnd is the end of the write on one connection.
type writeEnd struct {
	ended atomic.Bool
	err   error         // set before done is closed
	done  chan struct{} // closed at the end
}

func newRequestWrite() *requestWrite {
	w := new(requestWrite)
	w.begin()
	return w
}

// trace returns a context for the request, which makes net/http report the write.
func (w *requestWrite) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { w.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { w.end(info.Err) },
	})
}

// begin forgets an earlier write: net/http sends a request again if a pooled connection failed.
func (w *requestWrite) begin() { w.current.Store(&writeEnd{done: make(chan struct{})}) }

// end records the end of the write. That on an earlier connection may be reported late.
func (w *requestWrite) end(err error) {
	e := w.current.Load()
	if e.ended.CompareAndSwap(false, true) {
		e.err = err
		close(e.done)
	}
}

// wait waits for the end of the write and returns its error, or that of ctx if it ends first.
func (w *requestWrite) wait(ctx context.Context) error {
	e := w.current.Load()
	select {
	case <-e.done:
		return e.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
