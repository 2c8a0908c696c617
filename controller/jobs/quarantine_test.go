package jobs

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/relay"
)

// silentClient is an engine client whose engines never respond.
type silentClient struct{}

// Send implements relay.EngineClient.
func (silentClient) Send(ctx context.Context, _ *relay.EngineRequest) (*relay.Response, error) {
	<-ctx.Done()
	return nil, &relay.NoResponseError{Sent: true, Err: errors.New("cancelled")}
}

// Refuses implements relay.EngineClient.
func (silentClient) Refuses(context.Context, *blackboard.Engine) bool { return false }

// newSegmentController returns a controller with an engine, and a job of that age whose
// items wait. Each item has the segment that its number names, or none for 0.
func newSegmentController(age time.Duration, segments ...int) (*Controller, *ownedJob) {
	c, o := newTestController(age)
	c.engines.Client = silentClient{}
	service := &catalog.Service{Name: "s"}
	route := &catalog.Route{Name: "r", MaxAge: time.Minute, Split: []catalog.WeightedService{{Service: "s", Weight: 1}}}
	c.board.Catalog.Publish(catalog.New(catalog.Content{Routes: []*catalog.Route{route}, Services: []*catalog.Service{service}}))
	c.board.Engines.Publish(blackboard.NewEngines([]*blackboard.Engine{{
		Engine: &catalog.Engine{ID: "e", Service: "s", Slots: 8}, Load: new(blackboard.EngineLoad),
	}}))
	c.board.ConfigRead.Publish(blackboard.ConfigRead{SentAt: clock.Now()})
	c.board.SyncStoreClock(time.Hour, clock.Now())
	var items []job.Item
	for _, s := range segments {
		items = append(items, job.Item{ID: "i", Header: map[string]string{"segment": "aaaaaaaa"[:s]}})
	}
	o.waiting = nil
	c.itemsLoaded(o, items, nil)
	return c, o
}

// quarantine publishes a quarantine of segment 1.
func quarantine(c *Controller, due clock.Instant, mayTry bool) {
	c.board.Quarantine.Publish(&blackboard.Quarantine{BySegment: map[blackboard.Segment]*blackboard.Quarantined{
		1: {TrialDue: due, MayTry: mayTry},
	}})
}

// TestQuarantinedItemsHoldUpNoOthers guards against items with a quarantined segment that
// run, that hold up the items behind them, or that are never given up.
func TestQuarantinedItemsHoldUpNoOthers(t *testing.T) {
	c, o := newSegmentController(0, 1, 1, 2, 0)
	quarantine(c, clock.Now().Add(time.Minute), true)
	c.startItems(t.Context())
	c.publishDemand()
	if len(o.running) != 2 || o.running[2] == nil || o.running[3] == nil {
		t.Errorf("running items: %v, want those with the indexes 2 and 3", o.running)
	}
	if n := c.board.BatchDemand.Value().WaitingItems; n != 0 {
		t.Errorf("demand of %d items, want none that can't start", n)
	}
	if len(o.waiting) != 2 {
		t.Errorf("%d items wait, want 2", len(o.waiting))
	}
	c, o = newSegmentController(time.Minute+5*time.Second, 1)
	quarantine(c, clock.Now().Add(time.Minute), true)
	c.startItems(t.Context())
	c.board.ConfigRead.Publish(blackboard.ConfigRead{SentAt: clock.Now()}) // confirms what the read before showed
	if c.startItems(t.Context()); len(o.finished) != 1 {
		t.Errorf("%d items were given up, want 1, whose job is too old", len(o.finished))
	}
}

// TestOneItemRunsAsTrial guards against several items that run as the trial of one segment,
// against one that runs without a lease, which the rest of the fleet would not know of, and
// against a trial that a late job leaves unused while items wait on other daemons.
func TestOneItemRunsAsTrial(t *testing.T) {
	for name, want := range map[string]int{"lease": 1, "lease for a late job": 1, "lease of another segment": 0, "lease that ended": 0, "trial of online requests": 0} {
		c, o := newSegmentController(0, 1, 1, 1)
		quarantine(c, clock.Now(), name == "trial of online requests")
		lease := blackboard.NewTrialLease([]blackboard.Segment{1}, clock.Now().Add(time.Minute))
		switch name {
		case "lease for a late job":
			c.board.PeersWithBatchDemand.Store(1)
		case "lease of another segment":
			lease.Segments = []blackboard.Segment{2}
		case "lease that ended":
			lease.StartBefore = clock.Now()
		case "trial of online requests":
			lease.Expire()
		}
		c.board.ItemTrials.Publish(&blackboard.ItemTrials{Leases: []*blackboard.TrialLease{lease}})
		if c.startItems(t.Context()); len(o.running) != want {
			t.Errorf("%s: %d items run, want %d", name, len(o.running), want)
		}
	}
}

// TestTrialGoesToAnItemThatDidNotCrash guards against a trial that waits behind other items of
// its job, and against items that never run because one item gets all trials.
func TestTrialGoesToAnItemThatDidNotCrash(t *testing.T) {
	c, o := newSegmentController(0, 0, 1, 1)
	quarantine(c, clock.Now(), false)
	o.waiting[1].crashedAt = clock.Now().Add(-time.Minute)
	c.board.ItemTrials.Publish(&blackboard.ItemTrials{
		Leases: []*blackboard.TrialLease{blackboard.NewTrialLease([]blackboard.Segment{1}, clock.Now().Add(time.Minute))},
	})
	if !c.selectNext(o) || o.waiting[0].index != 2 {
		t.Errorf("item %d is next, want the one with the index 2", o.waiting[0].index)
	}
}

// TestTrialIsNotPreempted guards against a trial that is lost to preemption, so that held items
// wait for the next one, and against one that keeps its slot after it was answered.
func TestTrialIsNotPreempted(t *testing.T) {
	c, o := newSegmentController(0, 1)
	quarantine(c, clock.Now(), false)
	lease := blackboard.NewTrialLease([]blackboard.Segment{1}, clock.Now().Add(time.Minute))
	c.board.ItemTrials.Publish(&blackboard.ItemTrials{Leases: []*blackboard.TrialLease{lease}})
	c.startItems(t.Context())
	if c.preemptItems(c.board.Engines.Value().All[0], 1, "test"); len(o.running) != 1 || o.running[0].cancelled {
		t.Error("a trial without an answer was preempted, or did not run")
	}
	c.board.SoundSegments.Record([]blackboard.Segment{1}, clock.Now())
	if c.preemptItems(c.board.Engines.Value().All[0], 1, "test"); !o.running[0].cancelled {
		t.Error("a trial was not preempted after its answer")
	}
	c.runEnded(o.running[0], c.board.Engines.Value().All[0], interrupted, nil)
	select {
	case <-lease.Ended():
	default:
		t.Error("the lease did not end with the run")
	}
	if lease.Outcome() != blackboard.TrialAnswered {
		t.Errorf("outcome %d, want that the segment was answered", lease.Outcome())
	}
}

// TestHeldItemsAreCounted guards against items that wait without any sign of it, and against
// segments for whose trial nobody asks.
func TestHeldItemsAreCounted(t *testing.T) {
	c, o := newSegmentController(0, 1, 1, 2, 0)
	quarantine(c, clock.Now().Add(time.Minute), false)
	o.waiting[2].crashedAt, o.head.DueAfter = clock.Now(), 18*time.Second
	c.publishDemand()
	held := c.board.BatchDemand.Value().Held
	if held[blackboard.HeldByQuarantine] != 2 || held[blackboard.HeldAfterCrash] != 1 || held[blackboard.HeldForEngine] != 1 {
		t.Errorf("held items by reason: %v", held)
	}
	if sets := c.board.HeldSegments.Value().Sets; len(sets) != 1 || len(sets[0]) != 1 || sets[0][0] != 1 {
		t.Errorf("segments that wait for a trial: %v, want segment 1 once", sets)
	}
	var logged strings.Builder
	c.log.Writer = &log.IOWriter{Writer: &logged}
	o.head.Submitted -= o.head.DueAfter + time.Second
	c.publishDemand()
	c.publishDemand()
	if n := strings.Count(logged.String(), "held beyond its due time"); n != 1 || !strings.Contains(logged.String(), `"segment":"1"`) {
		t.Errorf("logged %d times, want once with the segment: %s", n, logged.String())
	}
	c.draining.Store(true)
	if c.publishDemand(); len(c.board.HeldSegments.Value().Sets) != 0 {
		t.Error("a daemon that stops asks for trials")
	}
}

// TestNewOwnerPausesItemsOfSuspectedSegments guards against a new owner of a job that runs an
// item at once under which an engine crashed at the previous owner.
func TestNewOwnerPausesItemsOfSuspectedSegments(t *testing.T) {
	for age, want := range map[time.Duration]int{0: 1, 2 * claimDelay: 0} {
		c, o := newSegmentController(age, 1)
		c.board.Quarantine.Publish(&blackboard.Quarantine{Suspected: map[blackboard.Segment]bool{1: true}})
		items := o.items
		o.waiting, o.takenOver = nil, c.board.StoreNow()-o.head.Submitted > claimDelay
		c.itemsLoaded(o, items, nil)
		if c.startItems(t.Context()); len(o.running) != want {
			t.Errorf("job of age %v: %d items run at once, want %d", age, len(o.running), want)
		}
	}
}

// TestItemPausesAfterACrash guards against an item that crashes one engine after the other
// before anything is known of its segments.
func TestItemPausesAfterACrash(t *testing.T) {
	for name, c := range map[string]struct {
		ago                time.Duration
		sound, quarantined bool
		waits              bool
	}{
		"sound within a second":       {900 * time.Millisecond, true, false, true},
		"sound after a second":        {1100 * time.Millisecond, true, false, false},
		"unknown after a second":      {1100 * time.Millisecond, false, false, true},
		"unknown after two seconds":   {2100 * time.Millisecond, false, false, false},
		"quarantined after 2 seconds": {2100 * time.Millisecond, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			controller, o := newSegmentController(0, 1)
			o.waiting[0].crashedAt = clock.Now().Add(-c.ago)
			if c.sound {
				controller.board.SoundSegments.Record([]blackboard.Segment{1}, clock.Now())
			}
			if c.quarantined {
				quarantine(controller, clock.Now().Add(time.Minute), true)
			}
			if controller.startItems(t.Context()); (len(o.running) == 0) != c.waits {
				t.Errorf("item waits = %v, want %v", len(o.running) == 0, c.waits)
			}
		})
	}
}
