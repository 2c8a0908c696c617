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

// simulation runs the ledgers of several gateways on a fake clock with messages
// that are delayed and lost. It drives only what a Controller drives.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	gateways []*simGateway
	view     *fleet.View
	faults   faults
	lending  bool
	loss     float64
	maxDelay time.Duration
	admitted []time.Time
	refused  int
	messages int
	bytes    int
}

type simGateway struct {
	sim      *simulation
	index    int
	name     string
	address  string
	ledger   *Ledger
	life     int // counts the processes
	alive    bool
	paused   time.Time
	gathered time.Time
	quiet    time.Time
	backoff  backoff
	cut      map[int]bool
	view     *fleet.View
}

type event struct {
	at   time.Time
	seq  int
	to   *simGateway
	life int
	run  func()
}

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
		inv.Gateways = append(inv.Gateways, fleet.Gateway{Name: fmt.Sprintf("g%d", i), Peer: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	inv.Workspaces = []fleet.Workspace{{Name: simWorkspace, Rate: rate, Burst: burst}}
	return fleet.NewView(fleet.State{Version: version, Inventory: inv})
}

func newSimulation(seed int64, gateways int, rate float64, burst int, f faults) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewSource(seed)),
		now:      time.Unix(1000, 0),
		faults:   f,
		lending:  true,
		maxDelay: 3 * time.Millisecond,
	}
	s.view = simView(1, upTo(gateways), rate, burst)
	for i := range gateways {
		s.add(i)
	}
	return s
}

func upTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// add starts the first process of a gateway.
func (s *simulation) add(i int) *simGateway {
	g := &simGateway{sim: s, index: i, name: fmt.Sprintf("g%d", i), address: fmt.Sprintf("10.0.0.%d:1", i), cut: map[int]bool{}}
	s.gateways = append(s.gateways, g)
	g.start()
	return g
}

func (g *simGateway) start() {
	g.life++
	g.alive = true
	g.paused = time.Time{}
	g.ledger = NewLedger(fmt.Sprintf("%s-%d", g.name, g.life), NewMetrics(prometheus.NewRegistry()), g.sim.now)
	g.ledger.faults = g.sim.faults
	g.ledger.ask = func(*workspace, int, bool) answer { return answer{} }
	g.configure(g.sim.view)
	g.tick()
}

func (g *simGateway) configure(view *fleet.View) {
	g.view = view
	g.ledger.Configure(view, g.name, g.sim.now)
}

func (g *simGateway) kill() {
	g.alive = false
	g.life++
}

// after runs a function on the gateway's present process. A paused process
// runs it when it continues.
func (s *simulation) after(d time.Duration, to *simGateway, run func()) {
	heap.Push(&s.events, &event{at: s.now.Add(d), seq: s.random.Int(), to: to, life: to.life, run: run})
}

// advance lets the time pass.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		switch {
		case e.life != e.to.life:
		case e.to.paused.After(s.now):
			e.at = e.to.paused
			heap.Push(&s.events, e)
		default:
			e.run()
		}
	}
	s.now = end
}

// tick does what the controller does at each tick.
func (g *simGateway) tick() {
	s := g.sim
	s.after(tickInterval, g, g.tick)
	g.ledger.Tick(s.now)
	g.announce()
	g.probe()
	if !s.lending {
		return
	}
	reachable := g.reachable()
	for _, out := range append(g.ledger.Returns(reachable, false, s.now), g.ledger.Renewals(reachable, s.now)...) {
		g.lend(out, nil)
	}
	if s.now.Sub(g.gathered) < share.IdlePeriod(len(reachable)+1) {
		return
	}
	g.gathered = s.now
	for _, out := range g.ledger.Gather(reachable, s.now) {
		g.lend(out, nil)
	}
}

func (g *simGateway) reachable() []string {
	var all []string
	for _, o := range g.sim.gateways {
		if o != g && o.alive && !g.cut[o.index] && !o.cut[g.index] && slices.Contains(inventory(g.view), o.address) {
			all = append(all, o.address)
		}
	}
	return all
}

func inventory(view *fleet.View) []string {
	var all []string
	for _, g := range view.Inventory.Gateways {
		all = append(all, g.Peer)
	}
	return all
}

func (s *simulation) at(address string) *simGateway {
	for _, g := range s.gateways {
		if g.address == address {
			return g
		}
	}
	return nil
}

// envelope is the number of bytes that JSON-RPC adds to a message.
const envelope = 45

// carry delivers a message to the gateway unless it is lost.
func (g *simGateway) carry(to *simGateway, message any, run func()) {
	s := g.sim
	s.messages++
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	s.bytes += len(data) + envelope
	if !to.alive || g.cut[to.index] || to.cut[g.index] || s.random.Float64() < s.loss {
		return
	}
	s.after(time.Duration(s.random.Int63n(int64(s.maxDelay))), to, run)
}

// lend sends a request. The function done gets the answer and the time at which
// the lender took the tokens.
func (g *simGateway) lend(out outgoing, done func(resp peer.LendResponse, sent, taken time.Time)) {
	s, to, sent := g.sim, g.sim.at(out.to), g.sim.now
	g.carry(to, out.request, func() {
		taken := s.now
		resp, err := to.ledger.Lend(out.request, s.now)
		to.carry(g, resp, func() {
			if err != nil {
				g.ledger.Refused(out.to)
				return
			}
			g.ledger.Borrow(resp, sent, s.now)
			if done != nil {
				done(resp, sent, taken)
			}
		})
	})
}

func (g *simGateway) announce() {
	waiting, req := g.ledger.Releases()
	for _, address := range waiting {
		to := g.sim.at(address)
		if to == nil {
			continue
		}
		g.carry(to, req, func() {
			resp, err := to.ledger.Release(req, g.sim.now)
			to.carry(g, resp, func() {
				if err == nil {
					g.ledger.Released(resp, g.sim.now)
				}
			})
		})
	}
}

func (g *simGateway) probe() {
	for _, address := range g.ledger.Unconfirmed() {
		if to := g.sim.at(address); to != nil && !to.alive {
			g.ledger.Ended(address, g.sim.now, g.sim.now)
		}
	}
}

// request sends one request to the gateway.
func (s *simulation) request(i int) {
	g := s.gateways[i]
	if !g.alive {
		return
	}
	if g.paused.After(s.now) {
		return
	}
	w := g.ledger.spaces[simWorkspace]
	if ok, _ := w.Limiter.Take(s.now); ok {
		s.admitted = append(s.admitted, s.now)
		return
	}
	if !s.lending {
		s.refused++
		return
	}
	g.question(w)
}

// question asks for one token. The request is refused when no answer comes in
// time.
func (g *simGateway) question(w *workspace) {
	s, open := g.sim, true
	if g.quiet.After(s.now) {
		s.refused++
		return
	}
	out, ok := g.ledger.Question(w, 1, false, g.reachable(), s.now)
	if !ok {
		s.refused++
		return
	}
	end := func() {
		if open {
			s.refused++
			g.quiet = s.now.Add(g.backoff.after(1, answer{}))
		}
		open = false
	}
	s.after(questionTimeout, g, end)
	g.lend(out, func(resp peer.LendResponse, sent, taken time.Time) {
		if !open || s.now.Sub(sent) > questionTimeout {
			return
		}
		open = false
		a := answer{}
		if len(resp.Grants) > 0 {
			a = answer{tokens: resp.Grants[0].Tokens, wait: resp.Grants[0].Wait}
		}
		g.quiet = s.now.Add(g.backoff.after(1, a))
		s.settle(w, resp, taken)
	})
}

// settle admits a request by the answer, or by a loan that came with it.
func (s *simulation) settle(w *workspace, resp peer.LendResponse, taken time.Time) {
	if len(resp.Grants) > 0 && resp.Grants[0].Tokens > 0 {
		s.admitted = append(s.admitted, taken)
		return
	}
	if ok, _ := w.Limiter.TakeAgain(s.now); ok {
		s.admitted = append(s.admitted, s.now)
		return
	}
	s.refused++
}

// excess returns by how many requests the worst window exceeds the burst and
// the rate: at most 0 when the limit holds.
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
	view := simView(1, upTo(gateways), 1, 1)
	inv := view.Inventory
	inv.Workspaces = nil
	for i := range workspaces {
		inv.Workspaces = append(inv.Workspaces, fleet.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 2, Burst: 20})
	}
	return fleet.NewView(fleet.State{Version: 1, Inventory: inv})
}
