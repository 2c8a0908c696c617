package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
)

const (
	// firstEventTimeout bounds the time before the first event of a stream, and
	// eventTimeout the time between two events. After that the engine counts as
	// failed, and another engine may take the stream over if its route allows that.
	firstEventTimeout = 900 * time.Millisecond
	eventTimeout      = 600 * time.Millisecond
)

// silenceWatch watches for a stream that has no event in time. The zero value watches
// nothing.
type silenceWatch struct {
	timer       *time.Timer  // nil for a response that is no stream
	recorded    atomic.Bool  // the silence was recorded as a failure of the engine
	lastEvent   atomic.Int64 // number of the last event passed on, or -1
	lastEventAt atomic.Int64 // clock.Instant of the last event, or 0
	unnumbered  atomic.Bool  // an event without a number was passed on
	stopped     atomic.Bool
	search      atomic.Pointer[successorSearch]
}

// watchSilence starts to watch the stream of an attempt. When no event comes in time, it
// records that the engine failed, and looks for another engine if that may go on with the
// stream. The silent engine keeps the stream until another one has it: it may only have
// paused. No other kind of response is watched, since an engine may take any time for these.
// ctx is that of the request.
func (r *activeRequest) watchSilence(ctx context.Context, a *attempt) *silenceWatch {
	w := new(silenceWatch)
	if r.Route.Kind != catalog.KindStreaming {
		return w
	}
	w.lastEvent.Store(r.lastEvent)
	fork := r.fork() // all fields of r belong to its goroutine
	fork.runs = max(fork.runs, r.runsWith(a))
	w.timer = time.AfterFunc(firstEventTimeout, func() {
		old := w.search.Load()
		if w.recorded.Swap(true) || old != nil && !old.ended() { // the fork is in use
			return
		}
		fork.logSilence(a)
		w.startSearch(ctx, fork, a)
	})
	return w
}

// runsWith returns the number of attempts that may have run, with a.
func (r *activeRequest) runsWith(a *attempt) int {
	if a.response != nil {
		return r.runs // counted when its response began
	}
	return r.runs + 1
}

// eventArrived restarts the time within which the next event must come, and ends the
// search for another engine. The events were passed on before.
func (w *silenceWatch) eventArrived(r *activeRequest) {
	if w.timer == nil {
		return
	}
	w.lastEvent.Store(r.lastEvent)
	w.unnumbered.Store(r.unnumbered)
	w.lastEventAt.Store(int64(clock.Now()))
	if search := w.search.Load(); search != nil {
		search.withdraw()
	}
	w.recorded.Store(false)
	w.timer.Reset(eventTimeout)
}

// eventJustArrived reports whether an event came while the timer fired.
func (w *silenceWatch) eventJustArrived() bool {
	return clock.Since(clock.Instant(w.lastEventAt.Load())) < eventTimeout/2
}

// stop ends the watch. No search starts after that.
func (w *silenceWatch) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
