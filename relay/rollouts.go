package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/rollout"
	"github.com/baobablanding/baobablanding/result"
)

// errMoved is the cause of an attempt that this daemon ends so that the request goes on at an
// engine of the new version.
var errMoved = errors.New("relay: request moves to another version of the engine")

// trackVersion counts the attempt for the comparison of versions, and begins to watch whether
// its engine may be used on. It does nothing unless the settings ask for roll-outs.
func (r *activeRequest) trackVersion(a *attempt) {
	view := rollout.NewView(r.server.board, a.engine.Service, clock.Now())
	if view == nil {
		return
	}
	a.tracker = view.Track(a.engine, r.Route.Name)
	go a.watchVersion(r.server.board)
}

// watchVersion ends the attempt when its engine may be stopped at any time, and tells it when
// it should move, until the attempt ends.
func (a *attempt) watchVersion(board *blackboard.EntryBoard) {
	for {
		snap := board.Rollouts.Load()
		now := clock.Now()
		duty, until := rollout.NewView(board, a.engine.Service, now).Duty(a.engine)
		if duty == rollout.Cut {
			a.cut.Store(true)
			a.cancel()
			return
		}
		a.mustMove.Store(duty == rollout.Move)
		if !waitForVersions(a.ctx, snap, until.Sub(now)) {
			return
		}
	}
}

// waitForVersions waits for a newer snapshot, at most for d unless it is 0 or less. It
// reports false when ctx is done.
func waitForVersions(ctx context.Context, snap *blackboard.Snapshot[*blackboard.Rollouts], d time.Duration) bool {
	var expired <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-snap.Changed():
	case <-expired:
	case <-ctx.Done():
		return false
	}
	return true
}

// checkMove returns an error if the stream should go on at another version and can.
func (r *activeRequest) checkMove(a *attempt) error {
	if !a.mustMove.Load() {
		return nil
	}
	r.moves++ // it is no attempt that failed
	if !r.mayRunAgain() {
		r.moves--
		return nil
	}
	a.moved = true
	r.logAttempt(a.engine, "moved").Int64("event", r.lastEvent).Msg("request goes on at another version of the engine")
	return a.incomplete(errMoved)
}

// recordVersion counts how the attempt ended. err is its error, and silent reports whether
// another engine took the request over since this one sent no event.
func (r *activeRequest) recordVersion(ctx context.Context, a *attempt, err error, silent bool) {
	if a.cut.Load() {
		r.logAttempt(a.engine, "cut").Int64("event", r.lastEvent).Msg("request was cut, since its engine may be stopped")
	}
	a.tracker.End(r.versionOutcome(ctx, a, err, silent), clock.Now())
}

// versionOutcome returns what the end of the attempt shows of the engine's version.
func (r *activeRequest) versionOutcome(ctx context.Context, a *attempt, err error, silent bool) rollout.Outcome {
	switch {
	case a.moved || a.cut.Load():
		return rollout.NotCounted
	case err == nil && !a.response.failed():
		return rollout.Answered
	case err == nil:
		return rollout.Failed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return rollout.TimedOut
	case ctx.Err() != nil:
		return rollout.NotCounted // the caller left, or the daemon ends
	case silent:
		return rollout.TimedOut
	}
	switch result.CodeOf(err) {
	case result.UpstreamFailed:
		return rollout.Failed
	case result.OutcomeUnknown, result.AnswerIncomplete:
		return rollout.Lost
	default:
		return rollout.NotCounted
	}
}
