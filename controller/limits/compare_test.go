package limits

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"
)

// traffic is one case in which the ways to divide a rate are compared.
type traffic struct {
	name     string
	gateways int
	rate     float64
	burst    int
	load     float64 // part of the rate that is offered
	skew     float64 // part of the requests that go to the first gateway
	kill     bool    // end one gateway in the middle
	restart  bool    // and start it again after 5 s
	pause    bool    // pause one gateway, the workspace's home, for 8 s
	allowed  float64 // part of the requests that may be refused wrongly
}

const (
	warmUp   = 10 * time.Second
	duration = 60 * time.Second
)

// Parts of the requests that lending may refuse although one bucket for the
// whole fleet would admit them: usually, and near the limit, where the tokens
// that other gateways hold are missed.
const (
	usually   = 0.001
	nearLimit = 0.01
	// pausedHome is the part while the home of the workspace is paused and its
	// loans have not ended.
	pausedHome = 0.02
	// pausedSmallBurst is the same when no other gateway holds a whole token.
	pausedSmallBurst = 0.15
)

var traffics = []traffic{
	{name: "even, 50%", gateways: 3, rate: 40, burst: 20, load: 0.5, allowed: usually},
	{name: "even, 90%", gateways: 3, rate: 40, burst: 20, load: 0.9, allowed: nearLimit},
	{name: "80% to one, 50%", gateways: 3, rate: 40, burst: 20, load: 0.5, skew: 0.8, allowed: usually},
	{name: "80% to one, 90%", gateways: 3, rate: 40, burst: 20, load: 0.9, skew: 0.8, allowed: nearLimit},
	{name: "burst 3, 8 gateways, 50%", gateways: 8, rate: 20, burst: 3, load: 0.5, allowed: nearLimit},
	{name: "burst 3, 8 gateways, 80% to one", gateways: 8, rate: 20, burst: 3, load: 0.5, skew: 0.8, allowed: nearLimit},
	{name: "0.5/s, burst 5, 8 gateways", gateways: 8, rate: 0.5, burst: 5, load: 0.5, allowed: usually},
	{name: "one killed, 50%", gateways: 3, rate: 40, burst: 20, load: 0.5, kill: true, allowed: usually},
	{name: "one restarted, 50%", gateways: 3, rate: 40, burst: 20, load: 0.5, kill: true, restart: true, allowed: usually},
	{name: "home paused 8 s, 30%", gateways: 3, rate: 40, burst: 20, load: 0.3, pause: true, allowed: pausedHome},
	{name: "home paused 8 s, burst 3, 8 gateways", gateways: 8, rate: 20, burst: 3, load: 0.3, pause: true, allowed: pausedSmallBurst},
	{name: "overload, 500%", gateways: 3, rate: 40, burst: 20, load: 5, allowed: nearLimit},
}

// outcome is what one run shows.
type outcome struct {
	offered, admitted int
	rightly, wrongful int // refused
	excess            float64
	messages, bytes   float64 // a second and gateway
}

// runs adds up runs with several seeds.
func (tr traffic) runs(lending bool) outcome {
	const seeds = 10
	sum := outcome{excess: -float64(tr.burst)}
	for seed := range int64(seeds) {
		o := tr.run(lending, seed)
		sum.offered += o.offered
		sum.admitted += o.admitted
		sum.rightly += o.rightly
		sum.wrongful += o.wrongful
		sum.excess = max(sum.excess, o.excess)
		sum.messages += o.messages / seeds
		sum.bytes += o.bytes / seeds
	}
	return sum
}

// run offers the traffic and compares the admissions with those of one bucket
// for the whole fleet.
func (tr traffic) run(lending bool, seed int64) outcome {
	arrivals := rand.New(rand.NewSource(seed))
	s := newSimulation(seed, tr.gateways, tr.rate, tr.burst, faults{})
	s.lending = lending
	s.advance(warmUp)
	s.messages, s.bytes = 0, 0
	central := newCentral(tr.rate, float64(tr.burst), s.now)
	start, o := s.now, outcome{}
	killAt, restartAt := start.Add(duration/2), start.Add(duration/2+5*time.Second)
	for s.now.Sub(start) < duration {
		s.advance(time.Duration(arrivals.ExpFloat64() / (tr.rate * tr.load) * float64(time.Second)))
		last := s.gateways[tr.gateways-1]
		if tr.kill && last.life == 1 && s.now.After(killAt) {
			last.kill()
		}
		if tr.restart && !last.alive && s.now.After(restartAt) {
			last.start()
		}
		if tr.pause && s.now.After(killAt) && s.now.Before(restartAt) {
			s.pauseHome()
		}
		i := tr.pick(arrivals)
		if !s.gateways[i].alive || s.gateways[i].paused.After(s.now) {
			continue
		}
		o.offered++
		central.take(s.now)
		s.request(i)
	}
	s.advance(time.Second)
	o.admitted = len(s.admitted)
	o.rightly = o.offered - central.admitted
	o.wrongful = max(0, central.admitted-o.admitted)
	o.excess = excess(s.admitted, tr.rate, float64(tr.burst))
	seconds := duration.Seconds() * float64(tr.gateways)
	o.messages, o.bytes = float64(s.messages)/seconds, float64(s.bytes)/seconds
	return o
}

// pauseHome pauses the gateway that gathers the workspace's shares, unless one
// is paused.
func (s *simulation) pauseHome() {
	const length = 8 * time.Second
	for _, g := range s.gateways {
		if !g.paused.IsZero() {
			return
		}
	}
	for _, g := range s.gateways {
		if len(g.ledger.spaces[simWorkspace].Account().In) > 0 {
			g.paused = s.now.Add(length)
			return
		}
	}
}

func (tr traffic) pick(arrivals *rand.Rand) int {
	if arrivals.Float64() < tr.skew {
		return 0
	}
	return arrivals.Intn(tr.gateways)
}

// central is one token bucket for the whole fleet.
type central struct {
	rate, burst, level float64
	at                 time.Time
	admitted           int
}

func newCentral(rate, burst float64, now time.Time) *central {
	return &central{rate: rate, burst: burst, level: burst, at: now}
}

func (c *central) take(now time.Time) {
	c.level = min(c.burst, c.level+c.rate*now.Sub(c.at).Seconds())
	c.at = now
	if c.level >= 1 {
		c.level--
		c.admitted++
	}
}

// TestLendingAgainstEvenSplit prints what an even static split and lending do
// with the same traffic. No way may exceed the limit, and lending may
// refuse wrongly no more than the case allows.
func TestLendingAgainstEvenSplit(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "| traffic | way | offered | refused by one bucket | wrongly refused | worst window over the limit | messages/s | bytes/s |\n")
	fmt.Fprintf(&table, "|---|---|---|---|---|---|---|---|\n")
	for _, tr := range traffics {
		for _, lending := range []bool{false, true} {
			o := tr.runs(lending)
			way := map[bool]string{false: "even split", true: "lending"}[lending]
			fmt.Fprintf(&table, "| %s | %s | %d | %d | %d (%.2f%%) | %.3f | %.1f | %.0f |\n", tr.name, way, o.offered, o.rightly,
				o.wrongful, 100*float64(o.wrongful)/float64(o.offered), o.excess, o.messages, o.bytes)
			if o.excess > tolerance {
				t.Errorf("%s, %s: the limit was exceeded by %.3f", tr.name, way, o.excess)
			}
			if lending && float64(o.wrongful) > tr.allowed*float64(o.offered) {
				t.Errorf("%s: %d of %d requests were wrongly refused", tr.name, o.wrongful, o.offered)
			}
		}
	}
	t.Log("\n" + table.String())
}
