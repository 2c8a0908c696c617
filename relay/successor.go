package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

// handOverTime is how long a silent engine keeps its stream after another engine got the
// request and did not reject it. An engine that rejects does so at once; one that does not
// keeps the request from then on, whenever it begins to respond.
const handOverTime = 300 * time.Millisecond

// States of a successorSearch.
const (
	searching  int32 = iota
	handedOver       // the attempt at the silent engine was cancelled
	withdrawn        // the silent engine went on, or nobody waits for the search
)

// successorSearch looks for an engine that takes over the stream of a silent one. The
// silent engine keeps the stream until then, and goes on with it if it sends an event
// before.
type successorSearch struct {
	request *activeRequest // a fork, which belongs to the search until done is closed
	silent  *attempt
	ctx     context.Context // of the attempts
	cancel  context.CancelFunc
	state   atomic.Int32
	timer   *time.Timer   // of the hand-over; nil while no engine has the request
	done    chan struct{} // closed when the search has ended
	found   *attempt      // valid once done is closed; nil if the search was withdrawn
}

// newSearch returns a search that was not started. The fork r belongs to it.
func (r *activeRequest) newSearch(ctx context.Context, silent *attempt) *successorSearch {
	s := &successorSearch{request: r, silent: silent, done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// run looks for an engine until one takes the stream over, no further attempt is allowed,
// or the search is withdrawn. It leaves out ejected engines, since the silent one may be
// better than these.
func (s *successorSearch) run() {
	defer close(s.done)
	for s.ctx.Err() == nil && s.request.mayRunAgain() {
		engine, err := s.request.chooseAllowedEngine()
		if err != nil {
			return
		}
		if engine == nil || engine.Load.Health.IsEjected(clock.Now()) {
			timer.Sleep(s.ctx, placeInterval)
			continue
		}
		if s.found = s.try(engine); s.found != nil {
			return
		}
	}
}

// try sends the request to the engine and returns the attempt if the engine takes the
// stream over, else nil. The response may not have begun then.
func (s *successorSearch) try(engine *blackboard.Engine) *attempt {
	a := s.request.newAttempt(s.ctx, engine)
	s.request.start(a)
	if s.timer == nil {
		s.timer = time.NewTimer(handOverTime)
	}
	select {
	case sent := <-a.sent:
		return s.answered(a, sent)
	case <-s.timer.C:
		if s.handOver() {
			return a
		}
	case <-s.ctx.Done():
	}
	a.end()
	s.request.runs++ // withdrawn, and may have run
	return nil
}

// answered returns the attempt if its engine goes on with the stream. Otherwise it ends the
// attempt, records what it shows and returns nil.
func (s *successorSearch) answered(a *attempt, sent sendResult) *attempt {
	err := s.request.received(a, sent)
	if err == nil && a.response.IsEventStream && a.response.Class == Succeeded && s.handOver() {
		return a
	}
	cancelled := a.ctx.Err() != nil
	a.end()
	if err == nil && a.response.failed() {
		err = result.New(result.UpstreamFailed, result.Answered) // recorded by received
	} else if err == nil {
		err = a.incomplete(errNoStream)
	}
	s.recordFailure(a, err, cancelled)
	return nil
}

// recordFailure records an attempt that failed with err, and lets the next one wait if too many
// engines rejected the request.
func (s *successorSearch) recordFailure(a *attempt, err error, cancelled bool) {
	s.request.recordVersion(s.ctx, a, err, false)
	if !cancelled {
		s.request.recordEngineFailure(a, err)
		err = s.request.checkCrash(s.ctx, a, err)
	}
	s.request.avoidAfter(a.engine, err)
	if result.FromError(err).Verdict != result.NotRun {
		return
	}
	s.timer.Stop()
	s.timer = nil // no engine has the request
	s.request.rejections++
	s.request.pauseAfterRejections(s.ctx)
}

// handOver cancels the attempt at the silent engine. It reports false if the search was
// withdrawn.
func (s *successorSearch) handOver() bool {
	if s.state.CompareAndSwap(searching, handedOver) {
		s.silent.cancel()
	}
	return s.state.Load() == handedOver
}

// withdraw ends the search unless the stream was handed over.
func (s *successorSearch) withdraw() {
	if s.state.CompareAndSwap(searching, withdrawn) {
		s.cancel()
	}
}

// ended reports whether the search has ended.
func (s *successorSearch) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// startSearch starts a search for another engine, unless the watch has stopped.
func (w *silenceWatch) startSearch(ctx context.Context, fork *activeRequest, a *attempt) {
	if !fork.mayRunAgain() || w.unnumbered.Load() {
		return
	}
	fork.lastEvent = w.lastEvent.Load()
	search := fork.newSearch(ctx, a)
	w.search.Store(search)
	if w.stopped.Load() || w.eventJustArrived() { // neither may have seen the search
		search.withdraw()
	}
	go search.run()
}

// successor waits for the search, if one was started, and returns the attempt that takes
// the stream over, or nil. It counts the attempts of the search in r.
func (w *silenceWatch) successor(r *activeRequest) *attempt {
	search := w.search.Load()
	if search == nil {
		return nil
	}
	<-search.done
	r.runs, r.rejections, r.tried = max(r.runs, search.request.runs), search.request.rejections, search.request.tried
	r.crashed = r.crashed || search.request.crashed
	return search.found
}

// dropSuccessor ends the search, if one was started, and the attempt that it found.
func (w *silenceWatch) dropSuccessor() {
	search := w.search.Load()
	if search == nil {
		return
	}
	search.cancel()
	<-search.done
	search.found.drop()
}

// logSilence logs that the engine is silent, and records that as its failure.
func (r *activeRequest) logSilence(a *attempt) {
	a.engine.Load.Health.RecordFailure(clock.Now())
	r.logAttempt(a.engine, "silent").Bool("goes_on_elsewhere", r.mayRunAgain()).Msg("engine sent no event in time")
}
