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
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, newHTTPClient(false))
}

// NewSingleUseClient returns an HTTP client that uses a new connection for each
// request. Such a request is never sent again by the library.
func NewSingleUseClient(name string) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, newHTTPClient(true))
}

func newHTTPClient(singleUse bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
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
