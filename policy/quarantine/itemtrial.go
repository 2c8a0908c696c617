package quarantine

import (
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

const (
	// itemTrialTime is the time from the last crash to the first trial by a batch item. It
	// doubles with each trial, up to maxQuarantineTime. A job is due 18 s after its
	// submission; with 10, 20, 40 and 80 s a segment that crashes engines gets three trials
	// in two minutes.
	itemTrialTime = 10 * time.Second
	// ItemTrialStartTime is how long after it asked for a lease a daemon may send an item as a
	// trial. An engine with room is usually found within one pass of the scheduler.
	ItemTrialStartTime = 3 * time.Second
	// ItemTrialRunTime is the longest time from the start of an item's run to its first event,
	// after which the run is cancelled.
	ItemTrialRunTime = 12 * time.Second
	// itemLeaseTime is the time after which a lease ends by itself. The second covers the
	// question whether the engine ended.
	itemLeaseTime = ItemTrialStartTime + ItemTrialRunTime + time.Second
)

// ItemTrials is the state of the trials of one segment by batch items, which all daemons
// share. Its times are those of the store's clock. The zero value allows a trial.
type ItemTrials struct {
	// Trials is the number of trials so far.
	Trials int `json:"trials"`
	// LastTrial is when the last one was taken.
	LastTrial time.Duration `json:"last"`
	// Holder is the incarnation of the daemon that took it.
	Holder string `json:"holder"`
	// LeaseEnd is when another daemon may take the next one at the earliest.
	LeaseEnd time.Duration `json:"lease_end"`
}

// itemTrialTimeAfter returns the time from a crash or trial to the next trial by an item
// after the given number of trials.
func itemTrialTimeAfter(trials int) time.Duration {
	return min(itemTrialTime<<min(max(trials, 0), 8), maxQuarantineTime)
}

// ItemTrialDue returns when the next trial by an item is due after the last crash and the given
// number of trials.
func ItemTrialDue(lastCrash clock.Instant, trials int) clock.Instant {
	return lastCrash.Add(itemTrialTimeAfter(trials))
}

// Wait returns the time until the state allows another trial. It is 0 for a state that is
// too old to count.
func (t ItemTrials) Wait(now time.Duration) time.Duration {
	if t.Trials <= 0 || t.IsOld(now) {
		return 0
	}
	// A time after the present one is from before the store's clock was set back.
	last := min(t.LastTrial, now)
	end := min(t.LeaseEnd, now+itemLeaseTime)
	return max(last+itemTrialTimeAfter(t.Trials)-now, end-now, 0)
}

// Take returns the state after the holder took a trial.
func (t ItemTrials) Take(holder string, now time.Duration) ItemTrials {
	trials := max(t.Trials, 0)
	if t.IsOld(now) {
		trials = 0
	}
	return ItemTrials{Trials: trials + 1, LastTrial: now, Holder: holder, LeaseEnd: now + itemLeaseTime}
}

// IsOld reports whether the state is too old to count, so that its row may be removed. By then
// a decision is forgotten too.
func (t ItemTrials) IsOld(now time.Duration) bool { return (now - t.LastTrial).Abs() > forgetTime }
