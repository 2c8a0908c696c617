package limits

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/share"
)

// simulation runs the ledgers of several gateways on a fake clock, with messages that are
// delayed and lost. It uses the ledgers only as a Controller does.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	gateways []*simGateway
	view     *fleet.View
	faults   faults
	lending  bool          // false for an even static split
	loss     float64       // probability that a message is lost
	maxDelay time.Duration // of a message
	admitted []time.Time   // when each admitted request took its token
	rejected int
	messages int // sent, also those that were lost
	bytes    int // of these messages
}

// simGateway is a gateway of the simulation.
type simGateway struct {
	sim          *simulation
	index        int
	name         string
	address      string
	ledger       *Ledger
	incarnation  int // increased by start and kill, so that events of a killed process are dropped
	alive        bool
	pausedUntil  time.Time
	lastCollect  time.Time
	backoffUntil time.Time
	backoff      backoff
	cutOffFrom   map[int]bool // indexes of the gateways that it cannot exchange messages with
	view         *fleet.View
}

// event is a function to run on a process of a gateway. It is dropped if that process has
// been killed.
type event struct {
	at          time.Time
	seq         int
	to          *simGateway
	incarnation int
	run         func()
}

// eventQueue is a heap of events ordered by time. Events of the same time run in random
// order.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const simWorkspace = "w"

// simView returns a configuration with the gateways and one workspace.
func simView(version uint64, gateways []int, rate float64, burst int) *fleet.View {
	var inv fleet.Inventory
	for _, i := range gateways {
		inv.Gateways = append(inv.Gateways, fleet.Gateway{Name: fmt.Sprintf("g%d", i), PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	inv.Workspaces = []fleet.Workspace{{Name: simWorkspace, Rate: rate, Burst: burst}}
	return fleet.NewView(fleet.State{Version: version, Inventory: inv})
}

// newSimulation returns a simulation whose gateways have just started.
func newSimulation(seed int64, gateways int, rate float64, burst int, f faults) *simulation {
	s := &simulation{
		rng:      rand.New(rand.NewSource(seed)),
		now:      time.Unix(1000, 0),
		faults:   f,
		lending:  true,
		maxDelay: 3 * time.Millisecond,
	}
	s.view = simView(1, indexes(gateways), rate, burst)
	for i := range gateways {
		s.add(i)
	}
	return s
}

// indexes returns the numbers from 0 to n-1.
func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// add adds a gateway and starts its first process.
func (s *simulation) add(i int) *simGateway {
	g := &simGateway{sim: s, index: i, name: fmt.Sprintf("g%d", i), address: fmt.Sprintf("10.0.0.%d:1", i), cutOffFrom: map[int]bool{}}
	s.gateways = append(s.gateways, g)
	g.start()
	return g
}

// start starts a new process with an empty ledger.
func (g *simGateway) start() {
	g.incarnation++
	g.alive = true
	g.pausedUntil = time.Time{}
	g.ledger = NewLedger(fmt.Sprintf("%s-%d", g.name, g.incarnation), NewMetrics(prometheus.NewRegistry()), g.sim.now)
	g.ledger.faults = g.sim.faults
	g.ledger.askHome = func(*workspaceLimiter, int, bool) tokenResponse { return tokenResponse{} }
	g.configure(g.sim.view)
	g.tick()
}

func (g *simGateway) configure(view *fleet.View) {
	g.view = view
	g.ledger.Configure(view, g.name, g.sim.now)
}

func (g *simGateway) kill() {
	g.alive = false
	g.incarnation++
}

// after schedules a function on the gateway's current process after the delay. A paused
// process runs it when it resumes.
func (s *simulation) after(d time.Duration, to *simGateway, run func()) {
	heap.Push(&s.events, &event{at: s.now.Add(d), seq: s.rng.Int(), to: to, incarnation: to.incarnation, run: run})
}

// advance moves the clock forward and runs the events that are due.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		switch {
		case e.incarnation != e.to.incarnation:
		case e.to.pausedUntil.After(s.now):
			e.at = e.to.pausedUntil
			heap.Push(&s.events, e)
		default:
			e.run()
		}
	}
	s.now = end
}

// tick does what Controller.Run does at each tick.
func (g *simGateway) tick() {
	s := g.sim
	s.after(tickInterval, g, g.tick)
	g.ledger.Tick(s.now)
	g.announceStart()
	g.probe()
	if !s.lending {
		return
	}
	reachable := g.reachable()
	for _, call := range append(g.ledger.Returns(reachable, false, s.now), g.ledger.Renewals(reachable, s.now)...) {
		g.callLend(call, nil)
	}
	if s.now.Sub(g.lastCollect) < share.IdleRequestInterval(len(reachable)+1) {
		return
	}
	g.lastCollect = s.now
	for _, call := range g.ledger.CollectIdle(reachable, s.now) {
		g.callLend(call, nil)
	}
}

// reachable returns the addresses of the gateways in the configuration that can be called.
func (g *simGateway) reachable() []string {
	var all []string
	for _, o := range g.sim.gateways {
		if o != g && o.alive && !g.cutOffFrom[o.index] && !o.cutOffFrom[g.index] && slices.Contains(peerAddresses(g.view), o.address) {
			all = append(all, o.address)
		}
	}
	return all
}

// peerAddresses returns the peer addresses of the configuration's gateways.
func peerAddresses(view *fleet.View) []string {
	var all []string
	for _, g := range view.Inventory.Gateways {
		all = append(all, g.PeerAddress)
	}
	return all
}

// gatewayAt returns the gateway with the address, or nil.
func (s *simulation) gatewayAt(address string) *simGateway {
	for _, g := range s.gateways {
		if g.address == address {
			return g
		}
	}
	return nil
}

// envelopeBytes is the number of bytes that JSON-RPC adds to a message.
const envelopeBytes = 45

// deliver counts a message and, unless it is lost, schedules run on the receiver after a
// random delay.
func (g *simGateway) deliver(to *simGateway, message any, run func()) {
	s := g.sim
	s.messages++
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	s.bytes += len(data) + envelopeBytes
	if !to.alive || g.cutOffFrom[to.index] || to.cutOffFrom[g.index] || s.rng.Float64() < s.loss {
		return
	}
	s.after(time.Duration(s.rng.Int63n(int64(s.maxDelay))), to, run)
}

// callLend sends a Lend call and applies its response. Then done, which may be nil, gets
// the response, the time of sending and the time at which the lender took the tokens.
func (g *simGateway) callLend(call lendCall, done func(resp peer.LendResponse, sent, taken time.Time)) {
	s, to, sent := g.sim, g.sim.gatewayAt(call.to), g.sim.now
	g.deliver(to, call.request, func() {
		taken := s.now
		resp, err := to.ledger.HandleLend(call.request, s.now)
		to.deliver(g, resp, func() {
			if err != nil {
				g.ledger.RecordFenced(call.to)
				return
			}
			g.ledger.ApplyLendResponse(resp, sent, s.now)
			if done != nil {
				done(resp, sent, taken)
			}
		})
	})
}

// announceStart does what Controller.announceStart does.
func (g *simGateway) announceStart() {
	targets, req := g.ledger.Announcement()
	for _, address := range targets {
		to := g.sim.gatewayAt(address)
		if to == nil {
			continue
		}
		g.deliver(to, req, func() {
			resp, err := to.ledger.HandleRelease(req, g.sim.now)
			to.deliver(g, resp, func() {
				if err == nil {
					g.ledger.ApplyReleaseResponse(resp, g.sim.now)
				}
			})
		})
	}
}

// probe does what Controller.probe does: only gateways that are down refuse a connection.
func (g *simGateway) probe() {
	for _, address := range g.ledger.ProbeTargets() {
		if to := g.sim.gatewayAt(address); to != nil && !to.alive {
			g.ledger.RecordExit(address, g.sim.now, g.sim.now)
		}
	}
}

// request sends one request to the gateway, unless that is down or paused.
func (s *simulation) request(i int) {
	g := s.gateways[i]
	if !g.alive {
		return
	}
	if g.pausedUntil.After(s.now) {
		return
	}
	w := g.ledger.workspaces[simWorkspace]
	if ok, _ := w.Limiter.Take(s.now); ok {
		s.admitted = append(s.admitted, s.now)
		return
	}
	if !s.lending {
		s.rejected++
		return
	}
	g.askHome(w)
}

// askHome asks the home gateway for one token. The request is rejected if no response
// comes within askTimeout.
func (g *simGateway) askHome(w *workspaceLimiter) {
	s, open := g.sim, true
	if g.backoffUntil.After(s.now) {
		s.rejected++
		return
	}
	call, ok := g.ledger.TokenCall(w, 1, false, g.reachable(), s.now)
	if !ok {
		s.rejected++
		return
	}
	end := func() {
		if open {
			s.rejected++
			g.backoffUntil = s.now.Add(g.backoff.after(1, tokenResponse{}))
		}
		open = false
	}
	s.after(askTimeout, g, end)
	g.callLend(call, func(resp peer.LendResponse, sent, taken time.Time) {
		if !open || s.now.Sub(sent) > askTimeout {
			return
		}
		open = false
		token := tokenResponse{}
		if len(resp.Replies) > 0 {
			token = tokenResponse{tokens: resp.Replies[0].Tokens, wait: resp.Replies[0].Wait}
		}
		g.backoffUntil = s.now.Add(g.backoff.after(1, token))
		s.finish(w, resp, taken)
	})
}

// finish admits a request by the token of the response or by a loan that came with it, or
// rejects it.
func (s *simulation) finish(w *workspaceLimiter, resp peer.LendResponse, taken time.Time) {
	if len(resp.Replies) > 0 && resp.Replies[0].Tokens > 0 {
		s.admitted = append(s.admitted, taken)
		return
	}
	if ok, _ := w.Limiter.TakeUncounted(s.now); ok {
		s.admitted = append(s.admitted, s.now)
		return
	}
	s.rejected++
}

// excess returns by how many requests the worst time window exceeds the limit of burst plus
// rate times its length. It is at most 0 when the limit holds.
func excess(admitted []time.Time, rate, burst float64) float64 {
	sorted := slices.Clone(admitted)
	slices.SortFunc(sorted, time.Time.Compare)
	worst, lowest := -burst, 0.0
	for i, t := range sorted {
		x := float64(i) - rate*t.Sub(sorted[0]).Seconds()
		if i == 0 || x < lowest {
			lowest = x
		}
		worst = max(worst, x-lowest+1-burst)
	}
	return worst
}

// largeView returns a configuration with many workspaces.
func largeView(gateways, workspaces int) *fleet.View {
	view := simView(1, indexes(gateways), 1, 1)
	inv := view.Inventory
	inv.Workspaces = nil
	for i := range workspaces {
		inv.Workspaces = append(inv.Workspaces, fleet.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 2, Burst: 20})
	}
	return fleet.NewView(fleet.State{Version: 1, Inventory: inv})
}
