package jobs

import (
	"testing"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/relay"
)

// TestItemRestoredWithoutEventsHasOnlyItsEvents guards against an output that begins with a
// line feed because its item failed once, before its first event, at an earlier owner.
func TestItemRestoredWithoutEventsHasOnlyItsEvents(t *testing.T) {
	_, o := newTestController(0)
	s := o.waiting[0]
	s.failedAttempts++
	s.restore(s.checkpoint())
	if err := s.appendEvent(relay.Event{Number: 1, Data: []byte("a")}); err != nil {
		t.Fatal(err)
	}
	if got := s.result(job.Completed).Result.Output; got != "a" {
		t.Errorf("output %q, want %q", got, "a")
	}
}

// TestCheckpointOfADroppedOutputIsReplaced guards against a checkpoint whose events the next
// owner would join with those of another run.
func TestCheckpointOfADroppedOutputIsReplaced(t *testing.T) {
	_, o := newTestController(0)
	s := o.waiting[0]
	s.restore(job.Checkpoint{LastEvent: 5, Output: "a"})
	if err := s.appendEvent(relay.Event{Number: 6, Data: make([]byte, job.MaxOutputBytes)}); err == nil || s.lastEvent() != -1 {
		t.Fatalf("an output beyond the bound was kept up to event %d, %v", s.lastEvent(), err)
	}
	if n := len(o.unsavedItems(minCheckpointEvents)); n != 1 {
		t.Errorf("%d items are unsaved, want 1", n)
	}
}

// TestEngineThatFailsEverythingDoesNotUseUpAnItem guards against an item that is given up
// because the same broken engine, which looks idle, fails all of its attempts within
// milliseconds.
func TestEngineThatFailsEverythingDoesNotUseUpAnItem(t *testing.T) {
	c, o := newTestController(0)
	s := o.waiting[0]
	o.waiting = nil
	broken := &blackboard.Engine{Engine: &catalog.Engine{ID: "broken", Slots: 8}, Load: new(blackboard.EngineLoad)}
	c.runEnded(s, broken, failed, nil)
	now := clock.Now()
	if c.mayStart(s, now) || !c.mayStart(s, now.Add(firstFailurePause)) {
		t.Error("the item does not pause after a failed attempt, or too long")
	}
	if !s.failedRecently(broken) || !broken.Load.Health.IsSuspected(now) {
		t.Error("the engine that failed the item may get it again at once")
	}
	c.runEnded(s, broken, failed, nil)
	if now = clock.Now(); c.mayStart(s, now.Add(firstFailurePause)) || !c.mayStart(s, now.Add(2*firstFailurePause)) {
		t.Error("the pause does not double")
	}
}
