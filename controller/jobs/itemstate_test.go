package jobs

import (
	"testing"

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
