package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
)

const (
	// firstEventTimeout bounds the time before the first event of a stream, and
	// eventTimeout the time between two events. After that the engine counts as
	// failed, and another engine may take the stream over if its route allows that.
	firstEventTimeout = 900 * time.Millisecond
	eventTimeout      = 600 * time.Millisecond
	// maxSilence bounds the time without an event of a stream that no other engine has
	// taken over.
	maxSilence = 30 * time.Second
)

// silenceWatch watches for a stream that has no event in time. The zero value watches
// nothing.
type silenceWatch struct {
	timer     *time.Timer  // nil for a response that is no stream
	recorded  atomic.Bool  // the silence was recorded as a failure of the engine
	lastEvent atomic.Int64 // number of the last event passed on, or -1
	stopped   atomic.Bool
	search    atomic.Pointer[successorSearch]
}

// watchSilence starts to watch the stream of an attempt. When no event comes in time, it
// records that the engine failed, and looks for another engine if that may go on with the
// stream. The silent engine keeps the stream until another one has it, or for maxSilence:
// it may only have paused. No other kind of response is watched, since an engine may take
// any time for these. ctx is that of the request.
func (r *activeRequest) watchSilence(ctx context.Context, a *attempt) *silenceWatch {
	w := new(silenceWatch)
	if r.Route.Kind != catalog.KindStreaming {
		return w
	}
	w.lastEvent.Store(r.lastEvent)
	fork := r.fork() // all fields of r belong to its goroutine
	fork.runs = max(fork.runs, r.runsWith(a))
	var timer atomic.Pointer[time.Timer]
	w.timer = time.AfterFunc(firstEventTimeout, func() {
		if w.recorded.Swap(true) {
			a.cancel()
			return
		}
		if t := timer.Load(); t != nil {
			t.Reset(maxSilence)
		}
		if old := w.search.Load(); old == nil || old.ended() { // else the fork is in use
			fork.logSilence(a)
			w.startSearch(ctx, fork, a)
		}
	})
	timer.Store(w.timer)
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
// search for another engine. lastEvent is the number of the last event passed on.
func (w *silenceWatch) eventArrived(lastEvent int64) {
	if w.timer == nil {
		return
	}
	w.lastEvent.Store(lastEvent)
	if search := w.search.Load(); search != nil {
		search.withdraw()
	}
	w.recorded.Store(false)
	w.timer.Reset(eventTimeout)
}

// stop ends the watch. No search starts after that.
func (w *silenceWatch) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
