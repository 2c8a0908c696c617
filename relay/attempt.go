package relay

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// placeInterval is the time after which a request that found no engine with a place
	// looks again.
	placeInterval = 50 * time.Millisecond
	// maxPause is the longest pause after a rejection.
	maxPause = 200 * time.Millisecond
	// rejectedAvoidance and failedAvoidance are how long a request avoids an engine that
	// rejected it, or failed it.
	rejectedAvoidance = 200 * time.Millisecond
	failedAvoidance   = time.Second
)

// attempt is one sending of a request to an engine, until the response ends.
type attempt struct {
	engine   *blackboard.Engine
	ctx      context.Context
	cancel   context.CancelFunc
	sent     chan sendResult // has what came of a send in the background; nil without one
	response *Response       // nil until the engine begins to respond
	cause    error           // why it failed, or nil
	events   int             // received so far
	written  bool            // the engine wrote a response to the request
}

// newAttempt returns an attempt at the engine that is not sent yet. It counts as a request
// at the engine until end is called.
func (r *activeRequest) newAttempt(ctx context.Context, engine *blackboard.Engine) *attempt {
	r.engineOnline, r.engineBusy = engine.OnlineRequestCount(), engine.RequestCount()
	r.markTried(engine.ID)
	engine.Load.Online.Add(1)
	a := &attempt{engine: engine}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// sendResult is what came of sending an attempt.
type sendResult struct {
	response *Response
	err      error
}

// start sends the attempt in the background.
func (r *activeRequest) start(a *attempt) {
	a.sent = make(chan sendResult, 1)
	req := r.engineRequest(a.engine)
	go func() {
		response, err := r.server.engines.Send(a.ctx, req)
		a.sent <- sendResult{response, err}
	}()
}

// end cancels the attempt, which closes its connection.
func (a *attempt) end() {
	a.cancel()
	if a.response != nil {
		a.response.Body.Close()
	} else if a.sent != nil {
		go closeLate(a.sent)
	}
	a.engine.Load.Online.Add(-1)
}

// closeLate closes a response that comes after its attempt was cancelled.
func closeLate(sent <-chan sendResult) {
	if late := <-sent; late.response != nil {
		late.response.Body.Close()
	}
}

// drop ends the attempt. It does nothing if there is none.
func (a *attempt) drop() {
	if a != nil {
		a.end()
	}
}

// triedEngine is an engine that got an attempt. While that lasts, avoidUntil lies beyond
// every instant.
type triedEngine struct {
	id         string
	avoidUntil clock.Instant
}

// markTried notes that the engine gets an attempt, once for each engine.
func (r *activeRequest) markTried(id string) {
	r.tried = slices.DeleteFunc(r.tried, func(t triedEngine) bool { return t.id == id })
	r.tried = append(r.tried, triedEngine{id: id, avoidUntil: math.MaxInt64})
}

// avoid lets the request avoid an engine that it tried for d.
func (r *activeRequest) avoid(e *blackboard.Engine, d time.Duration) {
	until := clock.Now().Add(d)
	for i := range r.tried {
		if r.tried[i].id == e.ID {
			r.tried[i].avoidUntil = until
		}
	}
}

// avoidAfter lets the request avoid the engine at which an attempt ended with err.
func (r *activeRequest) avoidAfter(e *blackboard.Engine, err error) {
	if result.CodeOf(err) == result.UpstreamOverloaded {
		r.avoid(e, rejectedAvoidance)
		return
	}
	r.avoid(e, failedAvoidance)
}

// tryEngines sends the request to one engine after the other until one responds or no
// further attempt is allowed.
func (r *activeRequest) tryEngines(ctx context.Context) error {
	var next *attempt // sent already, or nil
	for {
		if next == nil {
			engine, err := r.chooseAllowedEngine()
			if err != nil {
				return r.finalError(err)
			}
			if engine == nil && r.mayWaitForPlace() && timer.Sleep(ctx, placeInterval) {
				continue
			}
			if engine == nil {
				return r.noPlaceError(ctx)
			}
			next = r.newAttempt(ctx, engine)
		}
		successor, err := r.run(ctx, next)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			successor.drop()
			return r.contextError(ctx)
		}
		if successor == nil && !r.allowRetry(err) {
			return r.finalError(err)
		}
		next = successor
		r.pauseAfterRejections(ctx)
		r.server.metrics.retries.Inc()
	}
}

// pauseAfterRejections pauses a request that more than maxRejections engines rejected, so
// that it does not ask one after the other without end. The pause grows up to maxPause.
func (r *activeRequest) pauseAfterRejections(ctx context.Context) {
	if over := r.rejections - maxRejections; over > 0 {
		timer.Sleep(ctx, min(time.Duration(over)*placeInterval, maxPause))
	}
}

// mayWaitForPlace reports whether the request waits until an engine has a place. One that
// did not run is rejected at once instead, since its caller may send it again.
func (r *activeRequest) mayWaitForPlace() bool { return r.runs > 0 && r.mayRunAgain() }

// mayRunAgain reports whether the request may be sent to one more engine that may run it.
func (r *activeRequest) mayRunAgain() bool {
	if r.crashed || r.runs > 0 && r.gate.IsTrial() {
		return false
	}
	if r.responseStarted && r.Route.Kind != catalog.KindStreaming {
		return false // only a stream of events can go on after a part of it
	}
	if r.unnumbered || r.bodyStarted {
		return false // no engine can be told where to go on
	}
	return r.Route.CanRepeat() && r.runs < r.Route.MaxAttempts
}

// noPlaceError returns the error of a request for which no engine has a place.
func (r *activeRequest) noPlaceError(ctx context.Context) error {
	if r.runs > 0 && ctx.Err() != nil {
		return r.contextError(ctx)
	}
	return r.finalError(result.New(result.NoUpstream, result.NotRun).WithRetryAfter(busyRetryAfter))
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
		return r.rejections <= maxRejections || r.mayWaitForPlace()
	}
	return r.mayRunAgain()
}

// chooseEngine returns the engine for the next attempt, or nil if no engine can take
// the request.
func (r *activeRequest) chooseEngine() *blackboard.Engine {
	service, engines := r.server.candidates(r.Identity)
	if service == nil {
		return nil
	}
	query := placement.NewQuery(r.server.board, service, r.server.random)
	query.Tried, query.MaxQueue = r.avoids, maxQueuedOnline
	return placement.Choose(engines, &query)
}

// avoids reports whether the engine rejected or failed the request lately.
func (r *activeRequest) avoids(e *blackboard.Engine) bool {
	now := clock.Now()
	for _, t := range r.tried {
		if t.id == e.ID && now < t.avoidUntil {
			return true
		}
	}
	return false
}

// fork returns a copy of the request for another goroutine, which must not pass anything on
// to the sink.
func (r *activeRequest) fork() *activeRequest {
	f := *r
	f.tried = slices.Clone(r.tried)
	f.gate = r.gate.Fork()
	return &f
}

// triedIDs returns the ids of the engines that got an attempt.
func (r *activeRequest) triedIDs() []string {
	ids := make([]string, len(r.tried))
	for i, t := range r.tried {
		ids[i] = t.id
	}
	return ids
}

// run sends the attempt unless it was sent before, passes its response on and records what
// it shows of the engine's health. After an error it returns the attempt that goes on
// instead, if one was begun while the engine was silent.
func (r *activeRequest) run(ctx context.Context, a *attempt) (successor *attempt, err error) {
	silence := r.watchSilence(ctx, a)
	err = r.sendAndForward(a, silence)
	silence.stop()
	cancelled := a.ctx.Err() != nil
	a.end()
	if err == nil {
		silence.dropSuccessor()
		return nil, nil
	}
	if ctx.Err() == nil && !silence.recorded.Load() {
		r.recordEngineFailure(a, err)
	}
	if !cancelled {
		err = r.checkCrash(ctx, a, err)
	}
	if r.crashed {
		silence.dropSuccessor()
		return nil, err
	}
	successor = silence.successor(r)
	r.avoidAfter(a.engine, err)
	return successor, err
}

// sendAndForward sends the attempt unless it was sent before, and passes its response on.
func (r *activeRequest) sendAndForward(a *attempt, silence *silenceWatch) error {
	if a.response == nil {
		if err := r.send(a); err != nil {
			return err
		}
	}
	failed := a.response.failed()
	if failed && (r.mayRunAgain() || r.responseStarted) {
		return result.New(result.UpstreamFailed, result.Answered)
	}
	if err := r.forward(a, silence); err != nil {
		return err
	}
	if !failed {
		a.engine.Load.Health.RecordSuccess()
	}
	return nil
}

// send sends the attempt, unless it was started before, and waits until the engine begins to
// respond. It fails if the engine does not, or rejects the request.
func (r *activeRequest) send(a *attempt) error {
	if a.sent != nil {
		return r.received(a, <-a.sent)
	}
	response, err := r.server.engines.Send(a.ctx, r.engineRequest(a.engine))
	return r.received(a, sendResult{response, err})
}

// received records what came of sending the attempt. It fails as send does.
func (r *activeRequest) received(a *attempt, sent sendResult) error {
	a.sent = nil
	response, err := sent.response, sent.err
	if err != nil {
		a.cause = err
		return r.noResponse(err)
	}
	a.response = response
	if response.RecordLeaving(a.engine) {
		r.logAttempt(a.engine, "leaving").Int("status", response.Status).Msg("engine shuts down and gets no more requests")
	}
	if response.NotRun || response.Misdirected {
		return r.rejected(a.engine, response)
	}
	r.runs++
	response.recordLoad(a.engine)
	if response.failed() {
		a.engine.Load.Health.RecordFailure(clock.Now())
		r.logAttempt(a.engine, "failed").Int("status", response.Status).Bool("retry", r.mayRunAgain()).Msg("engine returned an error")
	}
	return nil
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

// recordEngineFailure records that the engine failed if the attempt ended with one of the
// errors that show it. The others were recorded before, or come from the caller.
func (r *activeRequest) recordEngineFailure(a *attempt, err error) {
	switch result.CodeOf(err) {
	case result.UpstreamUnreachable, result.OutcomeUnknown, result.AnswerIncomplete:
		a.engine.Load.Health.RecordFailure(clock.Now())
		r.logAttempt(a.engine, "failed").Str("result", result.CodeOf(err).String()).AnErr("cause", a.cause).Msg("attempt failed")
	}
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
