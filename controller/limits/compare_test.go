package limits

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"
)

// trafficCase is a traffic pattern for which lending and an even split are compared.
type trafficCase struct {
	name                 string
	gateways             int
	rate                 float64
	burst                int
	loadFactor           float64 // offered rate as a fraction of the limit
	firstGatewayFraction float64 // fraction of the requests sent to the first gateway beside its even part
	kill                 bool    // kill the last gateway after half the run
	restart              bool    // and start it again 5 s later
	pause                bool    // pause the workspace's home gateway for 8 s after half the run
	maxWrongFraction     float64 // largest fraction of the requests that lending may reject wrongly
}

const (
	warmUp      = 10 * time.Second
	runDuration = 60 * time.Second
)

// Fractions of the requests that lending may reject although one bucket for the whole
// fleet would admit them.
const (
	wrongFractionUsual = 0.001
	// wrongFractionNearLimit applies near the limit, where tokens that other gateways hold
	// are missing.
	wrongFractionNearLimit = 0.01
	// wrongFractionHomePaused applies while the workspace's home gateway is paused and its
	// loans have not ended.
	wrongFractionHomePaused = 0.02
	// wrongFractionHomePausedSmallBurst is the same when no other gateway holds a whole
	// token.
	wrongFractionHomePausedSmallBurst = 0.15
)

var trafficCases = []trafficCase{
	{name: "even, 50%", gateways: 3, rate: 40, burst: 20, loadFactor: 0.5, maxWrongFraction: wrongFractionUsual},
	{name: "even, 90%", gateways: 3, rate: 40, burst: 20, loadFactor: 0.9, maxWrongFraction: wrongFractionNearLimit},
	{name: "80% to one, 50%", gateways: 3, rate: 40, burst: 20, loadFactor: 0.5, firstGatewayFraction: 0.8, maxWrongFraction: wrongFractionUsual},
	{name: "80% to one, 90%", gateways: 3, rate: 40, burst: 20, loadFactor: 0.9, firstGatewayFraction: 0.8, maxWrongFraction: wrongFractionNearLimit},
	{name: "burst 3, 8 gateways, 50%", gateways: 8, rate: 20, burst: 3, loadFactor: 0.5, maxWrongFraction: wrongFractionNearLimit},
	{name: "burst 3, 8 gateways, 80% to one", gateways: 8, rate: 20, burst: 3, loadFactor: 0.5, firstGatewayFraction: 0.8, maxWrongFraction: wrongFractionNearLimit},
	{name: "0.5/s, burst 5, 8 gateways", gateways: 8, rate: 0.5, burst: 5, loadFactor: 0.5, maxWrongFraction: wrongFractionUsual},
	{name: "one killed, 50%", gateways: 3, rate: 40, burst: 20, loadFactor: 0.5, kill: true, maxWrongFraction: wrongFractionUsual},
	{name: "one restarted, 50%", gateways: 3, rate: 40, burst: 20, loadFactor: 0.5, kill: true, restart: true, maxWrongFraction: wrongFractionUsual},
	{name: "home paused 8 s, 30%", gateways: 3, rate: 40, burst: 20, loadFactor: 0.3, pause: true, maxWrongFraction: wrongFractionHomePaused},
	{name: "home paused 8 s, burst 3, 8 gateways", gateways: 8, rate: 20, burst: 3, loadFactor: 0.3, pause: true, maxWrongFraction: wrongFractionHomePausedSmallBurst},
	{name: "overload, 500%", gateways: 3, rate: 40, burst: 20, loadFactor: 5, maxWrongFraction: wrongFractionNearLimit},
}

// runResult is the result of one run, or the sum over several.
type runResult struct {
	offered, admitted                  int
	rejectedByCentral, wronglyRejected int
	excess                             float64
	messages, bytes                    float64 // per second and gateway
}

// runSeeds runs the case with several seeds and adds up the results; messages and bytes
// are averaged, and excess is the largest.
func (tr trafficCase) runSeeds(lending bool) runResult {
	const seeds = 10
	total := runResult{excess: -float64(tr.burst)}
	for seed := range int64(seeds) {
		o := tr.run(lending, seed)
		total.offered += o.offered
		total.admitted += o.admitted
		total.rejectedByCentral += o.rejectedByCentral
		total.wronglyRejected += o.wronglyRejected
		total.excess = max(total.excess, o.excess)
		total.messages += o.messages / seeds
		total.bytes += o.bytes / seeds
	}
	return total
}

// run offers the traffic and compares the admissions with those of one bucket
// for the whole fleet.
func (tr trafficCase) run(lending bool, seed int64) runResult {
	arrivals := rand.New(rand.NewSource(seed))
	s := newSimulation(seed, tr.gateways, tr.rate, tr.burst, faults{})
	s.lending = lending
	s.advance(warmUp)
	s.messages, s.bytes = 0, 0
	central := newCentralBucket(tr.rate, float64(tr.burst), s.now)
	start, o := s.now, runResult{}
	killAt, restartAt := start.Add(runDuration/2), start.Add(runDuration/2+5*time.Second)
	for s.now.Sub(start) < runDuration {
		s.advance(time.Duration(arrivals.ExpFloat64() / (tr.rate * tr.loadFactor) * float64(time.Second)))
		last := s.gateways[tr.gateways-1]
		if tr.kill && last.incarnation == 1 && s.now.After(killAt) {
			last.kill()
		}
		if tr.restart && !last.alive && s.now.After(restartAt) {
			last.start()
		}
		if tr.pause && s.now.After(killAt) && s.now.Before(restartAt) {
			s.pauseHome()
		}
		i := tr.pickGateway(arrivals)
		if !s.gateways[i].alive || s.gateways[i].pausedUntil.After(s.now) {
			continue
		}
		o.offered++
		central.take(s.now)
		s.request(i)
	}
	s.advance(time.Second)
	o.admitted = len(s.admitted)
	o.rejectedByCentral = o.offered - central.admitted
	o.wronglyRejected = max(0, central.admitted-o.admitted)
	o.excess = excess(s.admitted, tr.rate, float64(tr.burst))
	seconds := runDuration.Seconds() * float64(tr.gateways)
	o.messages, o.bytes = float64(s.messages)/seconds, float64(s.bytes)/seconds
	return o
}

// pauseHome pauses the gateway that collects the workspace's shares, unless a gateway was
// paused before.
func (s *simulation) pauseHome() {
	const length = 8 * time.Second
	for _, g := range s.gateways {
		if !g.pausedUntil.IsZero() {
			return
		}
	}
	for _, g := range s.gateways {
		if len(g.ledger.workspaces[simWorkspace].Account().Borrowed) > 0 {
			g.pausedUntil = s.now.Add(length)
			return
		}
	}
}

// pickGateway returns the index of the gateway that gets the next request.
func (tr trafficCase) pickGateway(arrivals *rand.Rand) int {
	if arrivals.Float64() < tr.firstGatewayFraction {
		return 0
	}
	return arrivals.Intn(tr.gateways)
}

// centralBucket is one token bucket for the whole fleet, the reference for both ways.
type centralBucket struct {
	rate, burst, level float64
	lastTake           time.Time
	admitted           int
}

// newCentralBucket returns a full bucket.
func newCentralBucket(rate, burst float64, now time.Time) *centralBucket {
	return &centralBucket{rate: rate, burst: burst, level: burst, lastTake: now}
}

// take admits a request if the bucket holds a token.
func (c *centralBucket) take(now time.Time) {
	c.level = min(c.burst, c.level+c.rate*now.Sub(c.lastTake).Seconds())
	c.lastTake = now
	if c.level >= 1 {
		c.level--
		c.admitted++
	}
}

// TestLendingAgainstEvenSplit compares lending with an even static split of the rate under
// the same traffic and prints a table. Neither may exceed the limit, and lending may
// wrongly reject no more requests than the case allows.
func TestLendingAgainstEvenSplit(t *testing.T) {
	var table strings.Builder
	fmt.Fprintf(&table, "| traffic | way | offered | rejected by one bucket | wrongly rejected | worst window over the limit | messages/s | bytes/s |\n")
	fmt.Fprintf(&table, "|---|---|---|---|---|---|---|---|\n")
	for _, tr := range trafficCases {
		for _, lending := range []bool{false, true} {
			o := tr.runSeeds(lending)
			way := map[bool]string{false: "even split", true: "lending"}[lending]
			fmt.Fprintf(&table, "| %s | %s | %d | %d | %d (%.2f%%) | %.3f | %.1f | %.0f |\n", tr.name, way, o.offered, o.rejectedByCentral,
				o.wronglyRejected, 100*float64(o.wronglyRejected)/float64(o.offered), o.excess, o.messages, o.bytes)
			if o.excess > tolerance {
				t.Errorf("%s, %s: the limit was exceeded by %.3f", tr.name, way, o.excess)
			}
			if lending && float64(o.wronglyRejected) > tr.maxWrongFraction*float64(o.offered) {
				t.Errorf("%s: %d of %d requests were wrongly rejected", tr.name, o.wronglyRejected, o.offered)
			}
		}
	}
	t.Log("\n" + table.String())
}
