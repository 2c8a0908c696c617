package httpserve

import (
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 30 * time.Second
	// maxResponseHeaderBytes bounds the head of a response, with all interim responses.
	maxResponseHeaderBytes = 64 << 10
)

// NewClient returns an HTTP client with its own connection pool, which is safe for
// concurrent use and does not follow redirects. It returns no response with a status that is not
// from 200 to 599, and fails at the end of one without a length if that may have broken off. The
// name identifies the remote service to go-zero. Its circuit breaker is disabled for the name,
// since the gateways decide when an upstream gets no requests.
func NewClient(name string) httpc.Service {
	service, _ := NewClientWithCloseIdle(name)
	return service
}

// NewSingleUseClient returns a client like that of NewClient, but with a new connection
// for each request. net/http may resend a request after a reused connection failed; it
// never resends one on a new connection.
func NewSingleUseClient(name string) httpc.Service {
	return NewSingleUseClientWithDialTimeout(name, dialTimeout)
}

// NewSingleUseClientWithDialTimeout is NewSingleUseClient with a limit on the time to
// establish a connection, instead of one second.
func NewSingleUseClientWithDialTimeout(name string, timeout time.Duration) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, newHTTPClient(true, timeout))
}

// NewClientWithCloseIdle returns a client like that of NewClient and a function that closes
// its idle connections, for use when the remote service no longer answers on one of
// them.
func NewClientWithCloseIdle(name string) (service httpc.Service, closeIdle func()) {
	breaker.NoBreakerFor(name)
	client := newHTTPClient(false, dialTimeout)
	return httpc.NewServiceWithClient(name, client), client.CloseIdleConnections
}

// newHTTPClient returns a client with its own connection pool, or with singleUse one
// that opens a new connection for each request. timeout limits the time to establish a
// connection. A response with a status that is not from 200 to 599 is an error, and so is the
// end of a response without a length before the whole request was written.
func newHTTPClient(singleUse bool, timeout time.Duration) *http.Client {
	base := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   singleUse,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &http.Client{
		Transport:     &transport{base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
