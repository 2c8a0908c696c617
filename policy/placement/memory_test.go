package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// TestRequestsGoOnlyWhereMemoryHoldsThem guards against engines that preempt a stream, or
// crash, because they hold more tokens than they have memory for, and against items that take
// all of it.
func TestRequestsGoOnlyWhereMemoryHoldsThem(t *testing.T) {
	const memory = 72_000
	crowded := newEngine("a", 1, 2)
	crowded.Load.Tokens.Store(69_000)
	if !PreemptForMemory(crowded, memory, 0.5) || PreemptForMemory(crowded, 75_000, 0.5) || PreemptForMemory(crowded, 0, 0.5) {
		t.Error("items do not leave half of a usual request's memory to online requests")
	}
	for name, c := range map[string]struct {
		own, peers, tokens int64
		daemons            int
		age                time.Duration
		want, wantItem     bool
	}{
		"empty":                          {0, 0, memory, 2, 0, true, true},
		"never fits":                     {0, 0, memory + 1, 2, 0, false, false},
		"size unknown":                   {memory, memory, 0, 2, 0, true, true},
		"room for online only":           {30_000, 25_000, 10_000, 2, 0, true, false},
		"to the last token, alone":       {62_000, 0, 10_000, 1, 0, true, false},
		"to the last token, with others": {62_000, 0, 10_000, 2, 0, false, false},
		"others were not heard lately":   {30_000, 15_000, 10_000, 2, time.Second, false, false},
	} {
		e := newEngine("a", 1, 0)
		e.Load.Tokens.Store(c.own)
		e.Load.PeerTokens.Store(c.peers)
		q := query()
		q.Tokens, q.MemoryTokens, q.PeerReportAge = c.tokens, memory, c.age
		q.Roster = &blackboard.Roster{Self: q.Roster.Self, Members: make([]blackboard.Peer, c.daemons)}
		q.PreferredEngines = map[string]bool{"a": true}
		online, item := Choose([]*blackboard.Engine{e}, q) == e, ChooseForBatch([]*blackboard.Engine{e}, &BatchQuery{Query: *q}) == e
		if online != c.want || item != c.wantItem || !online && !WouldTakeWithMemory([]*blackboard.Engine{e}, q) {
			t.Errorf("%s: chosen for a request: %v, for an item: %v", name, online, item)
		}
	}
}

// TestPeakOfLargePromptsFitsIntoMemory plays a peak in which one request in eight is large,
// so that the slots suffice and the memory of single engines does not, in a fleet of each
// way to report. At most 2 in 1,000 requests may meet an engine that cannot hold them.
func TestPeakOfLargePromptsFitsIntoMemory(t *testing.T) {
	sizes := func(rng *rand.Rand) int64 {
		return 500 + rng.Int64N(4_000) + max(1-rng.Int64N(8), 0)*(18_000+rng.Int64N(10_000))
	}
	for daemons, rate := range map[int]float64{2: 110, 9: 350} {
		w := workload{dataCentres: 4, daemonsEach: daemons, enginesEach: 4, rate: rate, runTime: 700 * time.Millisecond, nearDelay: 20 * time.Millisecond, farDelay: 20 * time.Millisecond}
		if daemons > 2 { // the fleet reports by sums
			w.enginesEach, w.nearDelay, w.farDelay = 13, 30*time.Millisecond, 250*time.Millisecond
		}
		w.length, w.tokens, w.memoryTokens = 20*time.Second, sizes, 72_000
		out := w.run(1)
		w.ignoresMemory = true
		before := w.run(1)
		t.Logf("%+v; without memory %+v", out, before)
		if 1000*out.overfilled > 2*out.requests || 10*out.overfilled > before.overfilled || 100*out.rejected > 2*out.requests {
			t.Errorf("%d daemons: %+v; when memory is ignored: %+v", 4*daemons, out, before)
		}
	}
}
