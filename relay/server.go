package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
	"github.com/baobablanding/baobablanding/result"
)

const (
	// maxQueuedOnline is the number of online requests that may wait at an engine.
	maxQueuedOnline = 1
	// maxRejections is the number of times that a request is sent to another engine
	// because an attempt ended without having run.
	maxRejections = 6
	// busyRetryAfter is the retry time given to a caller after all engines were full.
	busyRetryAfter = 350 * time.Millisecond
	// firstEventTimeout bounds the time before the first event of a stream, and
	// eventTimeout the time between two events. After that the engine counts as
	// failed, and the stream resumes at another engine if its route allows that.
	firstEventTimeout = 900 * time.Millisecond
	eventTimeout      = 600 * time.Millisecond
	// maxSilence bounds the time without an event of a stream that cannot resume at
	// another engine.
	maxSilence = 30 * time.Second
	// maxRequestTime bounds a request that has no other time limit.
	maxRequestTime = 10 * time.Minute
)

// Server runs requests of callers at engines. It may be used by several goroutines.
type Server struct {
	board        *blackboard.EntryBoard
	engines      EngineClient
	dataCentre   string
	maxConfigAge time.Duration
	log          *log.Logger
	metrics      *Metrics
	random       func() float64
}

// NewServer returns the server of a daemon in the data centre. The server uses the
// configuration only while the latest read of it was sent at most maxConfigAge ago.
func NewServer(board *blackboard.EntryBoard, engines EngineClient, dataCentre string, maxConfigAge time.Duration, metrics *Metrics, logger *log.Logger) *Server {
	return &Server{
		board: board, engines: engines, dataCentre: dataCentre, maxConfigAge: maxConfigAge,
		log: logger, metrics: metrics, random: rand.Float64,
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
	tried           []string // ids of engines that got an attempt
	rejections      int      // attempts that did not run
	runs            int      // attempts that may have run
	responseStarted bool     // the sink has the status
	lastEvent       int64    // number of the last event passed on, or -1

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
	if err := s.takeToken(ctx, identity.Workspace); err != nil {
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

// tryEngines sends the request to one engine after the other until one responds or
// no further attempt is allowed.
func (r *activeRequest) tryEngines(ctx context.Context) error {
	for {
		engine := r.chooseEngine()
		if engine == nil {
			return r.finalError(result.New(result.NoUpstream, result.NotRun).WithRetryAfter(busyRetryAfter))
		}
		r.tried = append(r.tried, engine.ID)
		err := r.attempt(ctx, engine)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return r.contextError(ctx)
		}
		if !r.allowRetry(err) {
			return r.finalError(err)
		}
		r.server.metrics.retries.Inc()
	}
}

// finalError returns err, or OutcomeUnknown if the last attempt did not run but an
// earlier one may have.
func (r *activeRequest) finalError(err error) error {
	if r.runs == 0 {
		return err
	}
	coded := result.FromError(err)
	if coded.Verdict == result.NotRun {
		coded = result.New(result.OutcomeUnknown, result.MayHaveRun)
	}
	return coded
}

// contextError returns the error of a request whose deadline passed or whose caller
// closed the connection.
func (r *activeRequest) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, result.MayHaveRun)
	}
	return result.New(result.CallerGone, result.MayHaveRun)
}

// allowRetry counts the attempt that failed with err if it did not run, and reports
// whether the request may be sent to another engine.
func (r *activeRequest) allowRetry(err error) bool {
	if result.FromError(err).Verdict == result.NotRun {
		r.rejections++
		return r.rejections <= maxRejections
	}
	if r.responseStarted && r.Route.Kind != catalog.KindStreaming {
		return false // only a stream of events can go on after a part of it
	}
	return r.Route.CanRepeat() && r.runs < r.Route.MaxAttempts
}

// chooseEngine returns the engine for the next attempt, or nil if no engine can take
// the request.
func (r *activeRequest) chooseEngine() *blackboard.Engine {
	service, engines := r.server.candidates(r.Identity)
	if service == nil {
		return nil
	}
	query := placement.NewQuery(r.server.board, service, r.server.random)
	query.Tried, query.MaxQueue = r.wasTried, maxQueuedOnline
	return placement.Choose(engines, &query)
}

func (r *activeRequest) wasTried(e *blackboard.Engine) bool {
	for _, id := range r.tried {
		if id == e.ID {
			return true
		}
	}
	return false
}

// attempt sends the request to the engine, passes its response on and records what
// it shows of the engine's health.
func (r *activeRequest) attempt(ctx context.Context, engine *blackboard.Engine) error {
	load := engine.Load
	r.engineOnline, r.engineBusy = engine.OnlineRequestCount(), engine.RequestCount()
	load.Online.Add(1)
	defer load.Online.Add(-1)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := r.watchSilence(engine, cancel)
	defer silence.stop()
	response, err := r.server.engines.Send(attemptCtx, r.engineRequest(engine))
	if err != nil {
		r.recordEngineFailure(ctx, silence, engine, err)
		return r.noResponse(err)
	}
	defer response.Body.Close()
	if response.NotRun || response.Misdirected {
		return r.rejected(engine, response)
	}
	r.runs++
	response.recordLoad(engine)
	failed := response.Class == Failed || response.Class == Unavailable
	if failed {
		load.Health.RecordFailure(clock.Now())
		r.logAttempt(engine, "failed").Int("status", response.Status).Bool("retry", r.mayReplaceResponse()).Msg("engine returned an error")
	}
	if failed && (r.mayReplaceResponse() || r.responseStarted) {
		return result.New(result.UpstreamFailed, result.Answered)
	}
	if err := r.forward(response, engine, silence); err != nil {
		r.recordEngineFailure(ctx, silence, engine, err)
		return err
	}
	if !failed {
		load.Health.RecordSuccess()
	}
	return nil
}

// mayReplaceResponse reports whether another engine may be tried instead of passing
// on the error response of this one.
func (r *activeRequest) mayReplaceResponse() bool {
	return r.Route.CanRepeat() && r.runs < r.Route.MaxAttempts
}

// engineRequest returns what is sent to the engine. A stream resumes after the last
// event that the caller has.
func (r *activeRequest) engineRequest(engine *blackboard.Engine) *EngineRequest {
	return &EngineRequest{
		Message: r.Message, Workspace: r.WorkspaceName(), Engine: engine, AfterEvent: r.lastEvent,
		Timeout: max(r.deadline.Sub(clock.Now()), time.Millisecond),
	}
}

// noResponse returns the error of an attempt that got no response. The request counts as
// sent unless err is a NoResponseError that says otherwise.
func (r *activeRequest) noResponse(err error) error {
	var failed *NoResponseError
	if errors.As(err, &failed) && !failed.Sent {
		return result.New(result.UpstreamUnreachable, result.NotRun).WithRetryAfter(busyRetryAfter)
	}
	r.runs++
	return result.New(result.OutcomeUnknown, result.MayHaveRun)
}

// recordEngineFailure records that the engine failed, unless its silence was recorded
// already or the attempt ended because the deadline passed or the caller disconnected. The
// context is that of the request.
func (r *activeRequest) recordEngineFailure(ctx context.Context, silence *silenceWatch, engine *blackboard.Engine, err error) {
	if ctx.Err() != nil || result.CodeOf(err) == result.CallerGone || silence.recorded.Load() {
		return
	}
	engine.Load.Health.RecordFailure(clock.Now())
	r.logAttempt(engine, "failed").Err(err).Msg("attempt failed")
}

// rejected returns the error of an attempt that the engine did not run. The attempt
// counts against the engine's health only if another engine has its address.
func (r *activeRequest) rejected(engine *blackboard.Engine, response *Response) error {
	if response.Misdirected {
		engine.Load.Health.RecordFailure(clock.Now())
	}
	r.logAttempt(engine, "refused").Int("status", response.Status).Msg("engine did not run the request")
	return result.New(result.UpstreamOverloaded, result.NotRun).WithRetryAfter(busyRetryAfter)
}
