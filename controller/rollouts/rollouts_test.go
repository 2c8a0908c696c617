package rollouts

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

const orderTime = 12 * time.Second

// TestOwnerIsKilledBetweenTwoWrites guards against a roll-out that nobody carries on after its
// owner ended in one of the stages.
func TestOwnerIsKilledBetweenTwoWrites(t *testing.T) {
	t.Parallel()
	for _, state := range []string{stateCanary, stateSwitch} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(t, 4)
			time.Sleep(time.Second)
			f.command(7, "v2", orderTime)
			owner := f.owner(state)
			owner.isKilled.Store(true)
			owner.cancel()
			if finals := f.await(1, orderTime); !slices.Equal(finals, []string{stateCompleted}) {
				t.Errorf("final states %v", finals)
			}
			f.checkBounds(false)
			if took := f.finalAt.Sub(f.orderAt); took > orderTime {
				t.Errorf("completed after %v", took)
			}
		})
	}
}

// TestAllDaemonsRestart guards against requests to old engines by daemons that have just read
// the stage, and against a good version that is reverted because nobody knows its answers.
func TestAllDaemonsRestart(t *testing.T) {
	t.Parallel()
	for i := range 8 {
		state, pause := []string{stateCanary, stateSwitch}[i%2], time.Duration(100+i/2*600)*time.Millisecond
		t.Run(fmt.Sprint(state, " ", pause), func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(t, 4)
			time.Sleep(time.Second)
			f.command(7, "v2", orderTime)
			f.owner(state)
			time.Sleep(pause)
			f.restart()
			if finals := f.await(1, orderTime); !slices.Equal(finals, []string{stateCompleted}) {
				t.Errorf("final states %v", finals)
			}
			f.checkBounds(false)
		})
	}
}

// TestStoreIsUnavailableAtEachStage guards against a version in use that changes without the
// store, two final states, and requests that are refused while nobody can change the stage.
func TestStoreIsUnavailableAtEachStage(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		state string // "" for before the order
		isBad bool
	}{
		"before": {"", false}, "canary": {stateCanary, false}, "canary, bad": {stateCanary, true}, "switch": {stateSwitch, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(t, 4)
			if c.isBad {
				f.bad = func(time.Duration, string) bool { return true }
			}
			time.Sleep(time.Second)
			f.command(7, "v2", orderTime)
			if c.state != "" {
				f.owner(c.state)
			}
			for _, d := range f.daemons {
				d.noStore.Store(true)
			}
			time.Sleep(4 * time.Second)
			f.mu.Lock()
			all, served := f.all, f.sent[0]+f.sent[1]
			f.mu.Unlock()
			time.Sleep(6 * time.Second)
			f.mu.Lock()
			if got, want := f.sent[0]+f.sent[1]-served, f.all-all; got < want*95/100 {
				t.Errorf("%d of %d requests were served in the outage", got, want)
			}
			f.mu.Unlock()
			for _, d := range f.daemons {
				d.noStore.Store(false)
			}
			finals := f.await(1, 10*time.Second)
			if len(finals) != 1 || c.isBad && finals[0] != stateReverted || c.state == stateSwitch && finals[0] != stateCompleted {
				t.Errorf("final states %v", finals)
			}
			f.checkBounds(c.isBad)
		})
	}
}

// TestTimeInStageBeginsAnewAfterAnOutage guards against an owner that gives the old engines up as
// soon as it reads the store again, while other daemons still go on with the stage before.
func TestTimeInStageBeginsAnewAfterAnOutage(t *testing.T) {
	board := blackboard.NewEntryBoard()
	board.Roster.Publish(&blackboard.Roster{Members: make([]blackboard.Peer, 4), Loaded: true})
	c := New(board, nil, statusRows{}, Bounds{}, nil)
	start := clock.Now()
	s := &serviceState{ownership: ownership{stageFrom: start}}
	board.ConfigRead.Publish(blackboard.ConfigRead{SentAt: start})
	board.RolloutOrders.Publish(blackboard.RolloutOrders{ReadAt: start})
	c.readAt = start
	board.ReportingDaemons.Store(4)
	for now := start; now < start.Add(10*time.Second); now = now.Add(tickInterval) {
		board.ReportsAt.Store(int64(now))
		c.validUntil(now)
	}
	end := start.Add(10 * time.Second)
	board.ConfigRead.Publish(blackboard.ConfigRead{SentAt: end})
	c.validUntil(end)
	if got := c.timeInStage(s, end.Add(time.Second)); got < time.Second || got > 2*time.Second {
		t.Errorf("one second after an outage of ten the time in the stage is %v", got)
	}
}

// TestDaemonThatIsCutOffStopsUsingOldEngines guards against requests to old engines after
// their version was given up, by a daemon that hears neither the store nor others.
func TestDaemonThatIsCutOffStopsUsingOldEngines(t *testing.T) {
	t.Parallel()
	for _, state := range []string{"", stateCanary, stateSwitch} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(t, 4)
			time.Sleep(time.Second)
			cut := f.daemons[3]
			if state == "" {
				cut.isCutOff.Store(true)
			}
			f.command(7, "v2", 10*time.Second)
			if state != "" {
				if owner := f.owner(state); owner == cut {
					cut = f.daemons[2]
				}
				cut.isCutOff.Store(true)
			}
			if finals := f.await(1, 10*time.Second); !slices.Equal(finals, []string{stateCompleted}) {
				t.Errorf("final states %v", finals)
			}
			f.checkBounds(false)
		})
	}
}

// TestLateTransactionOfAnEarlierOwner guards against two final states, or a stage that is
// undone, when a transaction of an owner is applied after another daemon took over.
func TestLateTransactionOfAnEarlierOwner(t *testing.T) {
	t.Parallel()
	f := newSimulatedFleet(t, 4)
	time.Sleep(time.Second)
	f.command(7, "v2", orderTime)
	owner := f.owner(stateSwitch)
	held := make(chan store.Tx, 100)
	owner.held = func(tx store.Tx) { held <- tx }
	finals := f.await(1, orderTime)
	close(held)
	for tx := range held {
		if _, err := f.commit(t.Context(), tx); err == nil {
			t.Error("a late transaction was applied")
		}
	}
	if !slices.Equal(finals, []string{stateCompleted}) || len(f.finals) != 1 {
		t.Errorf("final states %v", f.finals)
	}
	f.checkBounds(false)
}

// TestVersionThatTurnsBad guards against a version that stays although it turns bad before or
// after it got all requests, or is bad on one route.
func TestVersionThatTurnsBad(t *testing.T) {
	t.Parallel()
	for name, bad := range map[string]func(time.Duration, string) bool{
		"from the start": func(time.Duration, string) bool { return true },
		"after 3 s":      func(d time.Duration, _ string) bool { return d > 3*time.Second },
		"on one route":   func(_ time.Duration, route string) bool { return route == "b" },
		"after 8 s":      func(d time.Duration, _ string) bool { return d > 8*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(t, 4)
			f.bad = bad
			time.Sleep(time.Second)
			f.command(7, "v2", orderTime)
			if finals := f.await(1, orderTime); !slices.Equal(finals, []string{stateReverted}) {
				t.Errorf("final states %v", finals)
			}
			f.checkBounds(name != "after 8 s") // it had all requests by then
		})
	}
}

// TestManyDaemonsWithFewRequests guards against a fleet in which no daemon has enough requests
// to send one to the new version.
func TestManyDaemonsWithFewRequests(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]string{"good": stateCompleted, "bad": stateReverted} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(t, 120)
			f.bad = func(time.Duration, string) bool { return want == stateReverted }
			time.Sleep(time.Second)
			f.command(7, "v2", orderTime)
			if finals := f.await(1, orderTime); !slices.Equal(finals, []string{want}) {
				t.Errorf("final states %v, want %v", finals, want)
			}
			f.checkBounds(want == stateReverted)
		})
	}
}

// TestOrdersThatCannotBeCarriedOut guards against orders without a final state, and against
// requests that are refused when an order begins or ends.
func TestOrdersThatCannotBeCarriedOut(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		to       string
		duration time.Duration
		change   func(*simulatedFleet)
		want     []string
	}{
		"no duration":              {"v2", 0, func(*simulatedFleet) {}, []string{stateReverted}},
		"a version without engine": {"v3", 6 * time.Second, func(*simulatedFleet) {}, []string{stateReverted}},
		"the version in use":       {"v1", 6 * time.Second, func(*simulatedFleet) {}, []string{stateCompleted}},
		"removed": {"v2", 10 * time.Second, func(f *simulatedFleet) {
			f.owner(stateCanary)
			f.mu.Lock()
			f.order = nil
			f.mu.Unlock()
		}, []string{stateReverted}},
		"replaced": {"v2", 10 * time.Second, func(f *simulatedFleet) {
			f.owner(stateSwitch)
			f.command(9, "v3", 5*time.Second)
		}, []string{stateReverted, stateReverted}},
		"written again": {"v2", 10 * time.Second, func(f *simulatedFleet) {
			f.owner(stateCanary)
			f.mu.Lock()
			again := *f.order
			again.Version = 9
			f.order = &again
			f.mu.Unlock()
		}, []string{stateCompleted}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSimulatedFleet(t, 2)
			time.Sleep(time.Second)
			f.command(7, c.to, c.duration)
			c.change(f)
			if finals := f.await(len(c.want), 11*time.Second); !slices.Equal(finals, c.want) {
				t.Errorf("final states %v, want %v", finals, c.want)
			}
			if f.refused > 0 {
				t.Errorf("%d of %d requests were refused", f.refused, f.all)
			}
			f.checkBounds(false)
		})
	}
}
