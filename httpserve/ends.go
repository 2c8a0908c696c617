package httpserve

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
)

// endCause says why a request ended without a complete response of its handler. The values
// are those of the label cause and of the log field cause.
type endCause string

const (
	// endGivenUp means that the handler gave up a response that had begun.
	endGivenUp endCause = "given_up"
	// endCallerGone means that the handler gave up after the caller closed the connection.
	endCallerGone endCause = "caller_gone"
	// endPanic means that the handler panicked after its response had begun.
	endPanic endCause = "panic"
	// endPanicAnswered means that the handler panicked before that; OnPanic answered.
	endPanicAnswered endCause = "panic_answered"
	// endStopTimeout means that the request still ran at the end of a graceful shutdown.
	endStopTimeout endCause = "stop_timeout"
	// endClosed means that the server was closed without a graceful shutdown.
	endClosed endCause = "closed"
	// endHeaderTimeout means that the header did not arrive in time; net/http closes the
	// connection without an answer.
	endHeaderTimeout endCause = "header_timeout"
)

// endCauses lists all causes.
var endCauses = []endCause{endGivenUp, endCallerGone, endPanic, endPanicAnswered, endStopTimeout, endClosed, endHeaderTimeout}

// EndLog counts and logs the requests that end without a complete response of their handler.
// It may be used by several servers.
type EndLog struct {
	log       *log.Logger
	requestID func(*http.Request) string
	ended     *prometheus.CounterVec // by cause
}

// NewEndLog returns an EndLog whose counter is registered with reg. requestID returns the id
// of a request for the log. NewEndLog panics if reg has a metric of the same name.
func NewEndLog(reg prometheus.Registerer, logger *log.Logger, requestID func(*http.Request) string) *EndLog {
	l := &EndLog{log: logger, requestID: requestID, ended: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "baobab_http_ended_requests_total",
		Help: "Requests that ended without a complete response of their handler, by cause.",
	}, []string{"cause"})}
	for _, cause := range endCauses {
		l.ended.WithLabelValues(string(cause))
	}
	reg.MustRegister(l.ended)
	return l
}

// record counts and logs the end of a request. panicked is the value of the handler's panic,
// or nil. A nil EndLog does nothing.
func (l *EndLog) record(r *http.Request, resp *response, cause endCause, panicked any) {
	if l == nil {
		return
	}
	line := l.log.Warn().Str("request", l.requestID(r)).Str("cause", string(cause)).Str("method", r.Method).
		Bool("response_begun", resp.begun).Int64("bytes_written", resp.written).Dur("took", time.Since(resp.received))
	if cause == endPanic || cause == endPanicAnswered {
		line = line.Interface("panic", panicked).Bytes("stack", debug.Stack())
	}
	line.Msg("request ended without a complete response")
	l.ended.WithLabelValues(string(cause)).Inc()
}

// recordHeaderTimeout counts and logs a request whose header did not arrive in time. A nil
// EndLog does nothing.
func (l *EndLog) recordHeaderTimeout() {
	if l == nil {
		return
	}
	l.ended.WithLabelValues(string(endHeaderTimeout)).Inc()
	l.log.Warn().Str("cause", string(endHeaderTimeout)).Msg("header of a request did not arrive in time")
}
