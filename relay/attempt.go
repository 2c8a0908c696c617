package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/rollout"
	"github.com/baobablanding/baobablanding/result"
)

// attempt is one sending of a request to an engine, until the response ends.
type attempt struct {
	engine   *blackboard.Engine
	sentAt   clock.Instant
	tokens   int64 // of the request, counted at the engine until end is called
	ctx      context.Context
	cancel   context.CancelFunc
	sent     chan sendResult // has what came of a send in the background; nil without one
	response *Response       // nil until the engine begins to respond
	cause    error           // why it failed, or nil
	events   int             // received so far
	written  bool            // the engine wrote a response to the request
	board    *blackboard.EntryBoard

	tracker  rollout.Tracker // counts it for the comparison of versions
	mustMove atomic.Bool     // it should go on at another version
	cut      atomic.Bool     // it was cancelled since its engine may be stopped
	moved    bool            // it ended to go on at another version
}

// newAttempt returns an attempt at the engine that is not sent yet. It counts as a request
// at the engine until end is called.
func (r *activeRequest) newAttempt(ctx context.Context, engine *blackboard.Engine) *attempt {
	r.engineOnline, r.engineBusy = engine.OnlineRequestCount(), engine.RequestCount()
	r.markTried(engine.ID)
	engine.Load.Online.Add(1)
	engine.Load.Tokens.Add(r.Tokens)
	a := &attempt{engine: engine, board: r.server.board, tokens: r.Tokens, sentAt: clock.Now()}
	a.ctx, a.cancel = context.WithCancel(ctx)
	r.trackVersion(a)
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
	a.engine.Load.Tokens.Add(-a.tokens)
	a.freePlace()
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

// run sends the attempt unless it was sent before, passes its response on and records what
// it shows of the engine's health. After an error it returns the attempt that goes on
// instead, if one was begun while the engine was silent.
func (r *activeRequest) run(ctx context.Context, a *attempt) (successor *attempt, err error) {
	silence := r.watchSilence(ctx, a)
	err = r.sendAndForward(a, silence)
	silence.stop()
	cancelled := a.ctx.Err() != nil
	a.end()
	r.recordVersion(ctx, a, err, cancelled && !a.cut.Load() || silence.recorded.Load())
	if err == nil {
		silence.dropSuccessor()
		return nil, nil
	}
	if ctx.Err() == nil && !silence.recorded.Load() && !a.moved && !a.cut.Load() {
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
		a.engine.Load.Health.RecordGoodAnswer(a.sentAt)
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
	if !response.IsEventStream {
		a.tracker.Observe(1, clock.Now())
	}
	if response.RecordLeaving(a.engine) {
		r.logAttempt(a.engine, "leaving").Int("status", response.Status).Msg("engine shuts down and gets no more requests")
	}
	if response.NotRun || response.Misdirected {
		response.RecordPace(a.engine)
		return r.rejected(a.engine, response)
	}
	r.runs++
	response.RecordLoad(a.engine)
	if response.failed() {
		a.engine.Load.Health.RecordFailure(clock.Now())
		if response.Class == Failed && r.runs == 1 { // a request that fails everywhere counts once
			a.engine.Load.Health.RecordFailedAnswer(clock.Now())
		}
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
