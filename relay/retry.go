package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// placeInterval is the time after which a request that found no engine with a place
	// looks again.
	placeInterval = 50 * time.Millisecond
	// maxPause is the longest pause after a rejection.
	maxPause = 200 * time.Millisecond
)

// tryEngines sends the request to one engine after the other until one responds or no
// further attempt is allowed.
func (r *activeRequest) tryEngines(ctx context.Context) error {
	var next *attempt // sent already, or nil
	for {
		if next == nil {
			if err := r.checkDraining(); err != nil {
				return err
			}
			engine, err := r.chooseOrWait(ctx)
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
			r.endTurn()
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
	return r.Route.CanRepeat() && r.runs-r.moves < r.Route.MaxAttempts
}

// noPlaceError returns the error of a request for which no engine has a place.
func (r *activeRequest) noPlaceError(ctx context.Context) error {
	if r.runs > 0 && ctx.Err() != nil {
		return r.contextError(ctx)
	}
	if r.runs == 0 {
		r.server.countPlaceRefusal(r.WorkspaceName(), reasonFull)
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

// contextError returns the error of a request whose deadline passed, whose caller closed
// the connection, or that still ran when the daemon had to end.
func (r *activeRequest) contextError(ctx context.Context) error {
	if stopped := StopError(ctx); stopped != nil {
		return r.finalError(stopped)
	}
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
