package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// maxQueuedOnline is the number of online requests that may wait at an engine.
	maxQueuedOnline = 1
	// maxRejections is the number of times that a request is sent to another engine
	// because an attempt ended without having run.
	maxRejections = 6
	// busyRetryAfter is the retry time given to a caller after all engines were full.
	busyRetryAfter = 350 * time.Millisecond
	// maxRequestTime bounds a request that has no other time limit.
	maxRequestTime = 10 * time.Minute
)

// Server runs requests of callers at engines. It may be used by several goroutines.
type Server struct {
	board        *blackboard.EntryBoard
	engines      EngineClient
	crashes      *CrashDetector
	dataCentre   string
	maxConfigAge time.Duration
	log          *log.Logger
	metrics      *Metrics
	random       func() float64
	memoryLog    memoryLog
}

// NewServer returns the server of a daemon in the data centre. The server uses the
// configuration only while the latest read of it was sent at most maxConfigAge ago.
func NewServer(board *blackboard.EntryBoard, engines EngineClient, dataCentre string, maxConfigAge time.Duration, metrics *Metrics, logger *log.Logger) *Server {
	return &Server{
		board: board, engines: engines, dataCentre: dataCentre, maxConfigAge: maxConfigAge,
		log: logger, metrics: metrics, random: rand.Float64,
		crashes: NewCrashDetector(board, engines, metrics, logger),
	}
}

// activeRequest is an identified request while it runs. It belongs to the goroutine
// of Serve.
type activeRequest struct {
	*Request
	*Identity
	server          *Server
	sink            Sink
	deadline        clock.Instant
	tried           []triedEngine
	rejections      int   // attempts that did not run
	runs            int   // attempts that may have run
	moves           int   // of these, attempts that ended to go on at another version
	responseStarted bool  // the sink has the status
	lastEvent       int64 // number of the last event passed on, or -1
	gate            blackboard.SegmentGate
	crashed         bool // an engine crashed with it
	unnumbered      bool // an event without a number was passed on
	bodyStarted     bool // a part of a body that is no stream was passed on

	service string                     // that the request waits for, or "" to pick one
	turn    *blackboard.WaitingRequest // in which it chose an engine that does not count it yet, or nil

	admittedAt               clock.Instant // when the rate admitted it
	responseStartedAt        clock.Instant
	engineOnline, engineBusy int // load of the last engine when it was chosen

	reportedRunning, reportedWaiting int // load that the engine reported with its response
}

// Serve runs an identified request and passes the response to the sink. After an
// error the response is incomplete; responseStarted reports whether a part of it was
// passed on. Serve logs and counts an error only if the response has started;
// otherwise its caller does.
func (s *Server) Serve(ctx context.Context, identity *Identity, req *Request, sink Sink) (responseStarted bool, err error) {
	r := &activeRequest{Request: req, Identity: identity, server: s, sink: sink, lastEvent: -1}
	r.deadline = deadline(req, identity.Route)
	r.gate.Segments = req.Segments
	if err := r.checkDraining(); err != nil {
		return false, err
	}
	if err := r.checkQuarantine(); err != nil {
		return false, err
	}
	if err := s.admitByRate(ctx, identity.Workspace, req); err != nil {
		return false, err
	}
	r.admittedAt = clock.Now()
	ctx, cancel := context.WithTimeout(ctx, r.deadline.Sub(clock.Now()))
	defer cancel()
	err = r.tryEngines(ctx)
	if err == nil {
		r.recordServed()
	} else if r.responseStarted {
		r.recordIncomplete(err)
		s.RecordFailure(req.ID, err)
	}
	return r.responseStarted, err
}

// deadline returns when the response must be complete, by the earlier of the
// caller's and the route's time limits, and by maxRequestTime.
func deadline(req *Request, route *catalog.Route) clock.Instant {
	timeout := maxRequestTime
	for _, limit := range []time.Duration{req.CallerTimeout, route.Timeout} {
		if limit > 0 {
			timeout = min(timeout, limit)
		}
	}
	return req.Received.Add(timeout)
}
