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
	s.appendEvent(relay.Event{Number: 1, Data: []byte("a")})
	if got := s.result(job.Completed).Result.Output; got != "a" {
		t.Errorf("output %q, want %q", got, "a")
	}
}
