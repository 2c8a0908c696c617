package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	_ "github.com/baobablanding/baobablanding/history/seed"
)

// newModel returns the model of one gateway of a fleet of the given size.
func newModel(engines, dataCentres int) *gatewayModel {
	r := &run{w: workload{dataCentres: dataCentres, gateways: 1, engines: engines, slots: 8}}
	r.build()
	return r.gateways[0]
}

func request(prefix, random uint64, tried ...*blackboard.Upstream) *Request {
	return &Request{
		DataCentre: "dc-0", Prefix: prefix, Random: random, Now: time.Unix(0, 0),
		Tried: func(u *blackboard.Upstream) bool {
			for _, t := range tried {
				if t == u {
					return true
				}
			}
			return false
		},
	}
}

func TestChooseNeverReturnsAnUnusableOrTriedUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newModel(rapid.IntRange(1, 90).Draw(t, "engines"), 3)
		var tried []*blackboard.Upstream
		left := 0
		for _, u := range g.all {
			u.State = rapid.SampledFrom([]fleet.UpstreamState{fleet.StateReady, fleet.StateCold, fleet.StateDown, fleet.StateLeaving, fleet.StateUnknown}).Draw(t, "state")
			u.TakenOut = rapid.IntRange(0, 4).Draw(t, "out") == 0
			u.Connected = rapid.IntRange(0, 4).Draw(t, "lost") > 0
			switch {
			case rapid.IntRange(0, 3).Draw(t, "tried") == 0:
				tried = append(tried, u)
			case u.IsUsable():
				left++
			}
		}
		req := request(rapid.Uint64().Draw(t, "prefix"), rapid.Uint64().Draw(t, "random"), tried...)
		got := Choose(g.all, g.group, req)
		switch {
		case got == nil && left > 0:
			t.Fatalf("no upstream chosen, %d usable", left)
		case got != nil && (!got.IsUsable() || req.Tried(got)):
			t.Fatalf("chose %+v", got)
		}
	})
}

func TestChooseSendsAPrefixToTheSameEnginesFromEveryGateway(t *testing.T) {
	r := &run{w: workload{dataCentres: 2, gateways: 20, engines: 400, slots: 8}}
	r.build()
	for prefix := range uint64(50) {
		req := request(blackboard.HashPair(prefix+1, 1), prefix)
		seen := map[string]bool{}
		for _, g := range r.gateways {
			req.DataCentre = g.dataCentre
			seen[Choose(g.all, g.group, req).Spec.Name] = true
		}
		if len(seen) > upstreamsPerPrefix {
			t.Errorf("prefix %d went to %d engines, too many", prefix, len(seen))
		}
	}
}

func TestChooseAvoidsALoadedEngineThatHasThePrefix(t *testing.T) {
	g := newModel(20, 1)
	req := request(blackboard.HashPair(1, 1), 5)
	cached := Choose(g.all, g.group, req)
	cached.Load.Report.Store(&blackboard.LoadReport{ReceivedAt: req.Now, InFlight: 16, Limit: 8})
	if got := Choose(g.all, g.group, req); got == cached {
		t.Error("a loaded engine was chosen because of its cache")
	}
}

func TestRejectionOutweighsAReport(t *testing.T) {
	g := newModel(20, 1)
	req := request(blackboard.HashPair(1, 1), 5)
	cached := Choose(g.all, g.group, req)
	cached.Load.Report.Store(&blackboard.LoadReport{ReceivedAt: req.Now, Limit: 8})
	cached.Load.RejectedUntil.Store(req.Now.Add(time.Second).UnixNano())
	if got := Choose(g.all, g.group, req); got == cached {
		t.Error("an engine was chosen by its report although it rejected a request")
	}
	req.Now = req.Now.Add(2 * time.Second)
	if got := Choose(g.all, g.group, req); got != cached {
		t.Error("a rejection counts after its time")
	}
}

func TestChoosePrefersItsDataCentreUntilItIsLoaded(t *testing.T) {
	g := newModel(4, 2)
	for i := range uint64(10) {
		if got := Choose(g.all, g.group, request(0, i)); got.DataCentre != "dc-0" {
			t.Fatalf("chose %s in %s from dc-0", got.Spec.Name, got.DataCentre)
		}
	}
	for _, u := range g.all {
		if u.DataCentre == "dc-0" {
			u.Load.InFlight.Store(8)
		}
	}
	if got := Choose(g.all, g.group, request(0, 1)); got.DataCentre != "dc-1" {
		t.Errorf("chose loaded %s", got.Spec.Name)
	}
}

func TestOldReportsHaveLessWeight(t *testing.T) {
	u := newModel(1, 1).all[0]
	req := request(0, 0)
	u.Load.Report.Store(&blackboard.LoadReport{ReceivedAt: req.Now, InFlight: 16, Limit: 8})
	fresh := Score(u, req)
	req.Now = req.Now.Add(time.Minute)
	if old := Score(u, req); old >= fresh {
		t.Errorf("score %.2f with an old report, %.2f with a fresh one", old, fresh)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{14, 300, 1800} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			g := newModel(engines, 3)
			for i, u := range g.all {
				u.Load.Report.Store(&blackboard.LoadReport{ReceivedAt: time.Unix(0, 0), InFlight: i % 9, Limit: 8})
			}
			req := request(1, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				req.Prefix = blackboard.HashPair(uint64(i), 3)
				req.Random = req.Prefix
				if Choose(g.all, g.group, req) == nil {
					b.Fatal("nothing chosen")
				}
			}
		})
	}
}

// BenchmarkChooseWithoutPreferred measures Choose when none of the upstreams that the
// gateway prefers is usable, so that it searches all members.
func BenchmarkChooseWithoutPreferred(b *testing.B) {
	g := newModel(1800, 3)
	for _, m := range g.group.Preferred {
		g.all[m].TakenOut = true
	}
	req := request(0, 1)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if Choose(g.all, g.group, req) == nil {
			b.Fatal("nothing chosen")
		}
	}
}
