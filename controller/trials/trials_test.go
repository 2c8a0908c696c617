package trials

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/quarantine"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/store/storetest"
)

// clockedStore is a store whose clock the test sets.
type clockedStore struct {
	*storetest.Store
	now time.Duration
}

func newStore() *clockedStore { return &clockedStore{Store: storetest.New(), now: time.Hour} }

// Get implements store.Store.
func (s *clockedStore) Get(ctx context.Context, r store.Range) (store.Response, error) {
	response, err := s.Store.Get(ctx, r)
	response.StoreTime = s.now
	return response, err
}

// newController returns a controller of a daemon where an item waits for segments 1 and 2, which
// last crashed an engine that long ago.
func newController(t *testing.T, s store.Store, name string, crashed time.Duration) *Controller {
	board := blackboard.NewEntryBoard()
	board.SyncStoreClock(time.Hour, clock.Now())
	since := clock.Now().Add(-crashed)
	board.Quarantine.Publish(&blackboard.Quarantine{BySegment: map[blackboard.Segment]*blackboard.Quarantined{1: {Since: since}, 2: {Since: since}}})
	c := New(board, s, name, NewMetrics(prometheus.NewRegistry()), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	t.Cleanup(c.watchers.Wait)
	return c
}

var both = []blackboard.Segment{1, 2}

// tryNow lets the controller ask for a trial now, whatever the spread says, unless one is not due.
func (c *Controller) tryNow(ctx context.Context) *lease {
	for _, s := range both {
		if row, ok := c.rows[s]; ok {
			row.due = min(row.due, clock.Now())
			c.rows[s] = row
		}
	}
	c.takeDue(ctx, both)
	if len(c.leases) == 0 {
		return nil
	}
	return c.leases[len(c.leases)-1]
}

// storedTrials returns the number of trials in the rows of both segments, or -1 if they differ.
func storedTrials(t *testing.T, c *Controller) int {
	t.Helper()
	if _, _, err := c.read(t.Context(), both); err != nil {
		t.Fatal(err)
	}
	if c.rows[1].Trials != c.rows[2].Trials {
		return -1
	}
	return c.rows[1].Trials
}

// stoppedContext returns a context and the function that ends it before the cleanups.
func stoppedContext(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithCancel(t.Context())
}

// TestTrialsAreLimitedByTheRowAlone guards against daemons that crash an engine each after all of
// them restarted and forgot what they had tried.
func TestTrialsAreLimitedByTheRowAlone(t *testing.T) {
	s := newStore()
	var sent []time.Duration
	lastCrash := time.Duration(0)
	for at := time.Duration(0); at < 2*time.Minute; at += time.Second {
		s.now = time.Hour + at
		ctx, cancel := stoppedContext(t)
		c := newController(t, s, "a", at-lastCrash+spreadTime) // a daemon that has just started
		if l := c.tryNow(ctx); l != nil {
			l.state(t) // sent, and the engine crashed
			sent, lastCrash = append(sent, at), at
		}
		cancel()
	}
	if len(sent) != 3 || sent[0] < 9*time.Second || sent[1]-sent[0] < 19*time.Second || sent[2]-sent[1] < 39*time.Second {
		t.Errorf("trials at %v, want three in two minutes, 10, 20 and 40 s after the last crash", sent)
	}
}

// state takes the lease as an item does.
func (l *lease) state(t *testing.T) {
	t.Helper()
	gate := blackboard.SegmentGate{Segments: both}
	q := &blackboard.Quarantine{BySegment: map[blackboard.Segment]*blackboard.Quarantined{1: {}, 2: {}}}
	if !gate.EnterItem(q, &blackboard.ItemTrials{Leases: []*blackboard.TrialLease{l.TrialLease}}, clock.Now()) {
		t.Fatal("an item cannot use the lease")
	}
}

// TestOneOfTwoDaemonsGetsTheTrial guards against two daemons that both read that a trial is due,
// and against one that gets a part of the segments of an item.
func TestOneOfTwoDaemonsGetsTheTrial(t *testing.T) {
	s := newStore()
	ctx, cancel := stoppedContext(t)
	defer cancel()
	a, b := newController(t, s, "a", time.Minute), newController(t, s, "b", time.Minute)
	s.BeforeCommit = func() {
		s.BeforeCommit = nil
		if b.tryNow(ctx) == nil {
			t.Error("the faster daemon got no trial")
		}
	}
	if a.tryNow(ctx) != nil {
		t.Error("both daemons got the trial")
	}
	if n := storedTrials(t, a); n != 1 {
		t.Errorf("%d trials are stored, want 1 for both segments", n)
	}
	if a.tryNow(ctx) != nil {
		t.Error("the slower daemon got a trial at once after the other one")
	}
	s.now += 20*time.Second + spreadTime
	if a.tryNow(ctx) == nil {
		t.Error("the trial of a daemon that stopped blocks the others")
	}
}

// TestLostResponses guards against a trial that is lost because the store's response was, and
// against one that counts as held although its call took effect late or not at all.
func TestLostResponses(t *testing.T) {
	for name, c := range map[string]struct {
		failure     storetest.Failure
		late        time.Duration // until the next call
		first, next bool          // whether the daemon holds the lease then
	}{
		"response is lost":         {storetest.LoseResponse, time.Second, false, true},
		"lost and found too late":  {storetest.LoseResponse, quarantine.ItemTrialStartTime, false, false},
		"store is unavailable":     {storetest.RejectCalls, time.Second, false, true},
		"call takes effect late":   {storetest.DelayCommit, time.Second, false, true},
		"response arrives at once": {storetest.NoFailure, time.Second, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			ctx, cancel := stoppedContext(t)
			defer cancel()
			d := newController(t, s, "a", time.Minute)
			s.NextFailure = c.failure
			if got := d.tryNow(ctx) != nil; got != c.first {
				t.Errorf("holds a lease = %v after the first call", got)
			}
			s.NextFailure = storetest.NoFailure
			s.ApplyDelayed()
			s.now += c.late
			if got := d.tryNow(ctx) != nil; got != c.next {
				t.Errorf("holds a lease = %v later", got)
			}
			if n := storedTrials(t, d); n != 1 {
				t.Errorf("%d trials are stored, want 1", n)
			}
		})
	}
}

// TestLeaseIsSettled guards against a trial that counts although no engine had room for it, and
// against a segment that was answered and keeps its long wait.
func TestLeaseIsSettled(t *testing.T) {
	for outcome, want := range map[blackboard.TrialOutcome]int{blackboard.TrialNotSent: 1, blackboard.TrialAnswered: 0, blackboard.TrialSpent: 2} {
		s := newStore()
		ctx, cancel := stoppedContext(t)
		c := newController(t, s, "a", time.Minute)
		earlier := c.tryNow(ctx)
		c.leases, s.now = nil, s.now+time.Minute
		l := c.tryNow(ctx)
		if earlier == nil || l == nil {
			t.Fatal("no lease")
		}
		if outcome == blackboard.TrialNotSent {
			l.Expire()
		} else {
			l.state(t)
			l.End(outcome)
		}
		c.settle(t.Context(), l)
		if n := storedTrials(t, c); n != want {
			t.Errorf("outcome %d: %d trials are stored, want %d", outcome, n, want)
		}
		cancel()
	}
}

// TestUnusedLeaseEnds guards against a lease that nobody uses and that is never given back, and
// against one that ends while its item runs.
func TestUnusedLeaseEnds(t *testing.T) {
	unused := &lease{TrialLease: blackboard.NewTrialLease(both, clock.Now())}
	if !awaitEnd(t.Context(), unused) || unused.Outcome() != blackboard.TrialNotSent {
		t.Error("an unused lease did not end by its time")
	}
	used := &lease{TrialLease: blackboard.NewTrialLease(both, clock.Now().Add(10*time.Second))}
	used.state(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if awaitEnd(ctx, used) {
		t.Error("a lease ended while its item ran")
	}
}

// TestOldRowsAreRemoved guards against rows that stay for ever, and against the removal of one
// that still counts.
func TestOldRowsAreRemoved(t *testing.T) {
	s := newStore()
	ctx, cancel := stoppedContext(t)
	defer cancel()
	c := newController(t, s, "a", time.Minute)
	c.tryNow(ctx)
	for _, step := range []struct {
		pass time.Duration
		want int
	}{{20 * time.Minute, 0}, {20 * time.Minute, 2}, {0, 0}} {
		s.now += step.pass
		if n, err := c.removeOld(t.Context()); n != step.want || err != nil {
			t.Errorf("%d rows were removed, want %d: %v", n, step.want, err)
		}
	}
}
