package relay

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/result"
)

// minTrialRetryAfter is the shortest retry time given to a caller whose request has a
// quarantined segment.
const minTrialRetryAfter = time.Second

// checkQuarantine returns the error of a request with a quarantined segment, or nil for one
// that may run.
func (r *activeRequest) checkQuarantine() error {
	wait, blocked := r.gate.Blocked(r.server.board.Quarantine.Value(), clock.Now())
	if !blocked {
		return nil
	}
	return quarantinedError(wait)
}

func quarantinedError(wait time.Duration) error {
	return result.New(result.SegmentQuarantined, result.NotRun).WithRetryAfter(max(wait, minTrialRetryAfter))
}

// chooseAllowedEngine is chooseEngine, except that it fails while the request has a
// quarantined segment. With an engine, it takes the trial of that segment if the request
// needs it.
func (r *activeRequest) chooseAllowedEngine() (*blackboard.Engine, error) {
	if err := r.checkQuarantine(); err != nil {
		return nil, err
	}
	engine := r.chooseEngine()
	if engine != nil && !r.gate.Enter(r.server.board.Quarantine.Value(), clock.Now()) {
		return nil, quarantinedError(0)
	}
	return engine, nil
}

// recordWritten records that the engine of the attempt wrote a response to the request.
func (r *activeRequest) recordWritten(a *attempt) {
	a.written = true
	r.server.crashes.RecordWritten(&r.Message)
}

// countEvents counts events that the attempt received.
func (r *activeRequest) countEvents(a *attempt, n int) {
	a.events += n
	a.tracker.Observe(n, clock.Now())
	if !a.written && a.events >= WrittenEvents {
		r.recordWritten(a)
	}
}

// checkCrash finds out whether the engine of the failed attempt crashed with the request.
// If so, the request may not be sent to another engine, and its outcome is unknown. The
// caller must not have cancelled the attempt.
func (r *activeRequest) checkCrash(ctx context.Context, a *attempt, err error) error {
	if a.written && a.cause != nil {
		r.server.crashes.ObserveEnd(&r.Message, a.engine, a.cause)
	}
	if a.written || a.cause == nil || result.FromError(err).Verdict == result.NotRun || !r.server.crashes.Check(ctx, &r.Message, a.engine, a.cause) {
		return err
	}
	r.crashed = true
	return result.New(result.OutcomeUnknown, result.MayHaveRun)
}
