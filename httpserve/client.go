package httpserve

import (
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	dialTimeout     = time.Second
	maxIdlePerHost  = 256
	idleConnTimeout = 30 * time.Second
)

// NewClient returns an HTTP client with its own connection pool. The name
// identifies the remote service. The library's circuit breaker is off, since
// the system decides itself when an upstream gets no requests.
func NewClient(name string) httpc.Service {
	service, _ := NewResettableClient(name)
	return service
}

// NewSingleUseClient returns an HTTP client that uses a new connection for each
// request. Such a request is never sent again by the library.
func NewSingleUseClient(name string) httpc.Service {
	return NewSingleUseClientWithin(name, dialTimeout)
}

// NewSingleUseClientWithin is NewSingleUseClient with a bound on the time until a
// connection is established.
func NewSingleUseClientWithin(name string, dial time.Duration) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, newHTTPClient(true, dial))
}

// NewResettableClient returns an HTTP client with its own connection pool and a
// function that closes the pool's idle connections, for use when one of them
// has gone silent.
func NewResettableClient(name string) (service httpc.Service, closeIdle func()) {
	breaker.NoBreakerFor(name)
	client := newHTTPClient(false, dialTimeout)
	return httpc.NewServiceWithClient(name, client), client.CloseIdleConnections
}

func newHTTPClient(singleUse bool, dial time.Duration) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   singleUse,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
