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
	// maxQueue is the number of online requests that may wait at an engine.
	maxQueue = 1
	// maxRefusals bounds the engines that may refuse a request before it is
	// given up.
	maxRefusals = 6
	// busyRetry is when a caller should come back after all engines were full.
	busyRetry = 350 * time.Millisecond
	// firstEventSilence and eventSilence are how long a stream may be silent before
	// its engine counts as failing and the stream, if it can go on elsewhere, is
	// taken away from it.
	firstEventSilence = 900 * time.Millisecond
	eventSilence      = 600 * time.Millisecond
	// maxBufferedBytes bounds an answer that is no stream.
	maxBufferedBytes = 16 << 20
)

// Server runs requests.
type Server struct {
	board      *blackboard.Entry
	engines    Engines
	dataCentre string
	validity   time.Duration
	log        *log.Logger
	metrics    *Metrics
	random     func() float64
}

// NewServer returns a server of a daemon in the data centre. The configuration
// is used for at most validity after it was asked for.
func NewServer(board *blackboard.Entry, engines Engines, dataCentre string, validity time.Duration, metrics *Metrics, logger *log.Logger) *Server {
	return &Server{
		board: board, engines: engines, dataCentre: dataCentre, validity: validity,
		log: logger, metrics: metrics, random: rand.Float64,
	}
}

// run is one admitted request.
type run struct {
	*Request
	*Admission
	server   *Server
	sink     Sink
	deadline clock.Instant // 0 without one
	tried    []string
	refusals int
	runs     int   // engines that may have run the request
	started  bool  // the sink has the status
	last     int64 // number of the last event passed on

	admitted     clock.Instant // when the rate admitted it
	first        clock.Instant // when the answer began
	online, busy int           // load of the engine when it was chosen

	running, waiting int // load that the engine reported with its answer
}

// Serve runs an identified request and passes the answer to the sink. An error
// tells that the answer is not complete; started tells whether a part of it was
// passed on.
func (s *Server) Serve(ctx context.Context, admission *Admission, req *Request, sink Sink) (started bool, err error) {
	r := &run{Request: req, Admission: admission, server: s, sink: sink, last: -1}
	r.deadline = deadline(req, admission.Route)
	if err := s.takeToken(ctx, admission.Workspace); err != nil {
		return false, err
	}
	r.admitted = clock.Now()
	if r.deadline != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.deadline.Sub(clock.Now()))
		defer cancel()
	}
	err = r.attempts(ctx)
	if err == nil {
		r.served()
	} else if r.started {
		s.Refused(req.ID, err)
	}
	return r.started, err
}

// deadline returns when the request must have its answer.
func deadline(req *Request, route *catalog.Route) clock.Instant {
	left := req.Patience
	if route.Timeout > 0 && (left == 0 || route.Timeout < left) {
		left = route.Timeout
	}
	if left == 0 {
		return 0
	}
	return req.Received.Add(left)
}

// attempts sends the request to engines until one answers or no further attempt
// is allowed.
func (r *run) attempts(ctx context.Context) error {
	for {
		engine := r.choose()
		if engine == nil {
			return r.giveUp(result.New(result.NoUpstream, result.NotRun).After(busyRetry))
		}
		r.tried = append(r.tried, engine.ID)
		err := r.attempt(ctx, engine)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return r.ended(ctx)
		}
		if !r.again(err) {
			return r.giveUp(err)
		}
		r.server.metrics.retries.Inc()
	}
}

// giveUp returns the error with the verdict of all attempts together.
func (r *run) giveUp(err error) error {
	if r.runs == 0 {
		return err
	}
	coded := result.From(err)
	if coded.Verdict == result.NotRun {
		coded = result.New(result.OutcomeUnknown, result.MayHaveRun)
	}
	return coded
}

// ended returns the error of a request whose caller left or whose time is up.
func (r *run) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, result.MayHaveRun)
	}
	return result.New(result.CallerGone, result.MayHaveRun)
}

// again tells whether the request may be sent to another engine after err.
func (r *run) again(err error) bool {
	if result.From(err).Verdict == result.NotRun {
		r.refusals++
		return r.refusals <= maxRefusals
	}
	return r.Route.MayRepeat() && r.runs < r.Route.Attempts
}

func (r *run) choose() *blackboard.Engine {
	service, engines := r.server.candidates(r.Admission)
	if service == nil {
		return nil
	}
	query := placement.Query{
		DataCentre: r.server.dataCentre,
		Now:        clock.Now(),
		ColdRate:   service.ColdRate,
		Daemons:    r.server.board.Roster.Value().Size(),
		Tried:      r.wasTried,
		Random:     r.server.random,
		Homes:      r.server.board.Homes.Value(),
		MaxQueue:   maxQueue,
	}
	return placement.Choose(engines, &query)
}

func (r *run) wasTried(e *blackboard.Engine) bool {
	for _, id := range r.tried {
		if id == e.ID {
			return true
		}
	}
	return false
}

// attempt runs the request at the engine.
func (r *run) attempt(ctx context.Context, engine *blackboard.Engine) error {
	load := engine.Load
	r.online, r.busy = engine.OnlineBusy(), engine.Busy()
	load.Online.Add(1)
	defer load.Online.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.watch(engine, cancel)
	defer watch.Stop()
	answer, err := r.server.engines.Call(ctx, r.call(engine))
	if err != nil {
		return r.callFailed(ctx, engine, err)
	}
	defer answer.Body.Close()
	if answer.NotRun || answer.Misdirected {
		return r.refused(engine, answer)
	}
	r.runs++
	answer.note(engine)
	failed := answer.Class == Failed || answer.Class == Unavailable
	if failed {
		load.Health.Failed(clock.Now())
		r.decision(engine, "failed").Int("status", answer.Status).Bool("retry", r.mayRetryAnswer()).Msg("engine failed")
	}
	if failed && r.mayRetryAnswer() {
		return result.New(result.UpstreamFailed, result.Answered)
	}
	if err := r.pass(answer, engine, watch); err != nil {
		r.broken(ctx, engine, err)
		return err
	}
	if !failed {
		load.Health.Succeeded()
	}
	return nil
}

// mayRetryAnswer tells whether a failed answer may be replaced by another
// engine's.
func (r *run) mayRetryAnswer() bool {
	return r.Route.MayRepeat() && r.runs < r.Route.Attempts
}

// watch notes that the engine of a stream failed when it is silent, and ends the
// attempt if another one can go on. Other answers may take any time.
func (r *run) watch(engine *blackboard.Engine, cancel context.CancelFunc) *time.Timer {
	if r.Route.Kind != catalog.Streaming {
		timer := time.AfterFunc(time.Hour, func() {})
		timer.Stop()
		return timer
	}
	goOn := r.Route.Resumable && r.runs+1 < r.Route.Attempts
	id, logger := r.ID, r.server.log // the rest of the run belongs to its goroutine
	return time.AfterFunc(firstEventSilence, func() {
		engine.Load.Health.Failed(clock.Now())
		logger.Warn().Str("request", id).Str("engine", engine.ID).Int("engine_busy", engine.Busy()).
			Bool("goes_on_elsewhere", goOn).Msg("engine is silent")
		if goOn {
			cancel()
		}
	})
}

func (r *run) call(engine *blackboard.Engine) *Call {
	call := &Call{Message: r.Message, Workspace: r.WorkspaceName(), Engine: engine, After: r.last}
	if r.deadline != 0 {
		call.Left = max(r.deadline.Sub(clock.Now()), time.Millisecond)
	}
	return call
}

func (r *run) callFailed(ctx context.Context, engine *blackboard.Engine, err error) error {
	var failed *CallError
	sent := !errors.As(err, &failed) || failed.Sent
	if sent {
		r.runs++
	}
	r.broken(ctx, engine, err)
	if sent {
		return result.New(result.OutcomeUnknown, result.MayHaveRun)
	}
	return result.New(result.UpstreamUnreachable, result.NotRun).After(busyRetry)
}

// broken notes that the engine failed, unless the request was over.
func (r *run) broken(ctx context.Context, engine *blackboard.Engine, err error) {
	if result.CodeOf(err) == result.CallerGone {
		return
	}
	if ctx.Err() != nil && r.deadline != 0 && clock.Now() >= r.deadline {
		return
	}
	engine.Load.Health.Failed(clock.Now())
	r.decision(engine, "failed").Err(err).Msg("attempt failed")
}

func (r *run) refused(engine *blackboard.Engine, answer *Answer) error {
	if answer.Misdirected {
		engine.Load.Health.Failed(clock.Now())
	}
	r.decision(engine, "refused").Int("status", answer.Status).Msg("engine did not run the request")
	return result.New(result.UpstreamOverloaded, result.NotRun).After(busyRetry)
}
