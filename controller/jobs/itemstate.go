package jobs

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/policy/confirm"
	"github.com/baobablanding/baobablanding/relay"
)

// itemState is the state of an item without a result. The goroutine of a run replaces
// output, and that of Run reads it; job and index never change. All other fields belong
// to the goroutine of Run.
type itemState struct {
	job            *ownedJob
	index          int
	output         atomic.Pointer[itemOutput] // replaced by the goroutine of the item's run
	savedEvent     int64                      // number of the last event in the stored checkpoint, or -1
	failedAttempts int
	emptyRuns      int                      // runs in a row that ended because their first event did not come in time
	savedFailures  int                      // failedAttempts in the stored checkpoint
	giveUp         confirm.Decision         // to give the item up after failedAttempts
	failedAt       map[string]clock.Instant // by engine: when the item was last rejected or interrupted
	failedBy       map[string]clock.Instant // by engine: when it last failed the item
	retryAt        clock.Instant            // when the item may run again after a failed attempt, or 0

	tokens    int64 // that it takes in an engine's memory, or 0 if not known
	gate      blackboard.SegmentGate
	crashedAt clock.Instant // when an engine last crashed with the item, or 0

	earlierRuns time.Duration // total time of the runs before the current one

	engine    string             // id of the engine where the item runs
	cancel    context.CancelFunc // nil while it does not run
	startedAt clock.Instant      // of the current run
	cancelled bool               // the current run was cancelled by a preemption or a hand-over
}

// itemOutput is the output of an item so far. It is never modified after it is published:
// appendEvent writes only behind the end of text.
type itemOutput struct {
	text        []byte // data of the events, separated by line feeds
	encodedSize int    // see job.EncodedSize
	lastEvent   int64  // number of the last event, or -1
}

// newItemState returns the state of an item that was not run yet.
func newItemState(job *ownedJob, index int) *itemState {
	s := &itemState{job: job, index: index, savedEvent: -1, failedAt: make(map[string]clock.Instant), failedBy: make(map[string]clock.Instant)}
	s.output.Store(&itemOutput{lastEvent: -1})
	return s
}

// restore sets the state to a checkpoint.
func (s *itemState) restore(saved job.Checkpoint) {
	text := []byte(saved.Output)
	s.output.Store(&itemOutput{text: text, encodedSize: job.EncodedSize(text), lastEvent: saved.LastEvent})
	s.savedEvent, s.failedAttempts, s.earlierRuns = saved.LastEvent, saved.FailedAttempts, saved.RunTime
	s.savedFailures = saved.FailedAttempts
}

// item returns the item. The job's items must be loaded.
func (s *itemState) item() *job.Item { return &s.job.items[s.index] }

// lastEvent returns the number of the last event, or -1 if there is none.
func (s *itemState) lastEvent() int64 { return s.output.Load().lastEvent }

// errOutputTooLarge reports an output that does not fit into a result.
var errOutputTooLarge = errors.New("output of an item is larger than 256 KiB")

// appendEvent appends the event to the output unless its number shows that the output has
// it. If the output then is too large, appendEvent drops all of it, so that the item runs
// from its start, and fails. Only the goroutine of the item's run may call it.
func (s *itemState) appendEvent(e relay.Event) error {
	old := s.output.Load()
	if e.Number < 0 || e.Number <= old.lastEvent {
		return nil
	}
	size := old.encodedSize + job.EncodedSize(e.Data)
	text := old.text
	if old.lastEvent >= 0 {
		text = append(text, '\n')
		size += job.EncodedSize([]byte("\n"))
	}
	if size > job.MaxOutputBytes {
		s.output.Store(&itemOutput{lastEvent: -1})
		return errOutputTooLarge
	}
	s.output.Store(&itemOutput{text: append(text, e.Data...), encodedSize: size, lastEvent: e.Number})
	return nil
}

const (
	// interruptedAvoidance and failedAvoidance are how long an item avoids an engine that
	// rejected or interrupted it, or failed it. An engine that fails items at once looks idle
	// and would get the same item for all of its attempts.
	interruptedAvoidance = time.Second
	failedAvoidance      = 2 * time.Second
	// firstFailurePause is the pause after an item's first failed attempt. It doubles with
	// each further one, so that the fleet ejects engines that fail everything before they
	// use up the attempts of an item that others can do.
	firstFailurePause = 500 * time.Millisecond
	maxPauseDoublings = 3
)

// failedRecently reports whether the engine rejected, interrupted or failed the item so
// lately that the item avoids it.
func (s *itemState) failedRecently(e *blackboard.Engine) bool {
	at, ok := s.failedAt[e.ID]
	if ok && clock.Since(at) < interruptedAvoidance {
		return true
	}
	at, ok = s.failedBy[e.ID]
	return ok && clock.Since(at) < failedAvoidance
}

// recordFailedAttempt counts an attempt that the engine failed, and delays the next one.
func (s *itemState) recordFailedAttempt(engine string, now clock.Instant) {
	s.failedBy[engine] = now
	s.retryAt = now.Add(firstFailurePause << min(s.failedAttempts, maxPauseDoublings))
	s.failedAttempts++
}

// elapsed returns how long the item ran, including its current run.
func (s *itemState) elapsed() time.Duration {
	if s.cancel == nil {
		return s.earlierRuns
	}
	return s.earlierRuns + clock.Since(s.startedAt)
}

// checkpoint returns the state as it is stored.
func (s *itemState) checkpoint() job.Checkpoint {
	r := s.output.Load()
	return job.Checkpoint{
		Index: s.index, LastEvent: r.lastEvent, Output: string(r.text), FailedAttempts: s.failedAttempts, RunTime: s.elapsed(),
	}
}

// result returns the item's result with the given state.
func (s *itemState) result(state job.State) job.ItemResult {
	r := job.Result{ID: s.item().ID, State: state}
	if state == job.Completed {
		r.Output = string(s.output.Load().text)
	}
	return job.ItemResult{Index: s.index, Tokens: s.item().Tokens, Result: r}
}
