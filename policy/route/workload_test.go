package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
)

// workload describes a simulated fleet and the requests to it. Engines run as many
// requests at once as they have slots and queue the rest; a gateway learns an
// engine's load only from the responses it gets.
type workload struct {
	dataCentres, gateways, engines, slots int
	cached                                int     // prefixes that an engine keeps in its cache
	prefixes                              int     // different prefixes that callers use
	skew                                  float64 // of the Zipf distribution of prefixes
	prefill, decode                       time.Duration
	rate                                  float64 // requests per second
	length                                time.Duration
}

const (
	localLatency  = 250 * time.Microsecond // one way
	remoteLatency = 1500 * time.Microsecond
	cachedSpeedup = 4 // a cached prompt takes a quarter of its prefill
)

// policy picks an upstream from what one gateway knows.
type policy func(g *gatewayModel, req *Request) *blackboard.Upstream

// namedPolicy is a policy with the number of agents that reject a request for lack of
// a free slot before it waits in the queue of one.
type namedPolicy struct {
	name      string
	pick      policy
	maxNoWait int
}

// policies are the policies that are compared.
var policies = []namedPolicy{
	{"random", pickRandom, 0},
	{"least in-flight", pickLeastInFlight, 0},
	{"two choices", pickTwoChoices, 0},
	{"score of all", pickScore, 0},
	{"score and prefix", pickChosen, 0},
	{"random, asking", pickRandom, MaxNoWaitAttempts},
	{"least in-flight, asking", pickLeastInFlight, MaxNoWaitAttempts},
	{"two choices, asking", pickTwoChoices, MaxNoWaitAttempts},
	{"score of all, asking", pickScore, MaxNoWaitAttempts},
	{"score and prefix, asking", pickChosen, MaxNoWaitAttempts},
}

var (
	pickRandom policy = func(g *gatewayModel, req *Request) *blackboard.Upstream {
		return g.all[req.Random%uint64(len(g.all))]
	}
	pickLeastInFlight policy = func(g *gatewayModel, req *Request) *blackboard.Upstream {
		return g.lowest(req, func(u *blackboard.Upstream) float64 { return float64(u.Load.InFlight.Load()) })
	}
	pickTwoChoices policy = func(g *gatewayModel, req *Request) *blackboard.Upstream {
		a, b := g.all[req.Random%uint64(len(g.all))], g.all[(req.Random>>32)%uint64(len(g.all))]
		if Score(a, req) <= Score(b, req) {
			return a
		}
		return b
	}
	pickScore policy = func(g *gatewayModel, req *Request) *blackboard.Upstream {
		return g.lowest(req, func(u *blackboard.Upstream) float64 { return Score(u, req) })
	}
	pickChosen policy = func(g *gatewayModel, req *Request) *blackboard.Upstream {
		return Choose(g.all, g.group, req)
	}
)

// gatewayModel is the state of one simulated gateway.
type gatewayModel struct {
	dataCentre string
	all        []*blackboard.Upstream
	group      *blackboard.Group
}

// lowest returns the upstream with the lowest cost that the request has not tried.
func (g *gatewayModel) lowest(req *Request, cost func(*blackboard.Upstream) float64) *blackboard.Upstream {
	start := int(req.Random % uint64(len(g.all)))
	var best *blackboard.Upstream
	for i := range g.all {
		u := g.all[(start+i)%len(g.all)]
		if !req.Tried(u) && (best == nil || cost(u) < cost(best)) {
			best = u
		}
	}
	return best
}

// engineModel is one simulated engine with the queue of its agent. Its cache lists
// prefixes, the least recently used first.
type engineModel struct {
	running int
	waiting []*simRequest
	cache   []uint64
}

// lookup reports whether the prefix was cached, and caches it.
func (e *engineModel) lookup(prefix uint64, size int) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else if len(e.cache) >= size {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, prefix)
	return i >= 0
}

type simRequest struct {
	gateway, engine int
	prefix          uint64
	tried           []*blackboard.Upstream
	sent            time.Duration
	latency         time.Duration
	decode          time.Duration
	upstream        *blackboard.Upstream
}

// event is a function that runs at a simulated time. Events at the same time run in
// the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// run is one run of a workload under a policy.
type run struct {
	w          workload
	policy     namedPolicy
	rng        *rand.Rand // generates the workload, which is the same for all policies
	ties       *rand.Rand // random numbers of the policy
	zipf       *rand.Zipf
	now        time.Duration
	events     eventHeap
	seq        int
	gateways   []*gatewayModel
	engines    []*engineModel
	firstToken []time.Duration
	hits       int
	rejections int
}

// outcome is the result of a simulation.
type outcome struct {
	p50, p99   time.Duration
	hitRatio   float64
	rejections float64 // per request: attempts that an agent without a free slot rejected
	requests   int
}

func (w workload) run(p namedPolicy, seed uint64) outcome {
	r := &run{w: w, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), ties: rand.New(rand.NewPCG(seed, 2))}
	r.zipf = rand.NewZipf(r.rng, w.skew, 1, uint64(w.prefixes-1))
	r.build()
	r.scheduleArrival()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	slices.Sort(r.firstToken)
	n := len(r.firstToken)
	return outcome{
		p50:        r.firstToken[n/2],
		p99:        r.firstToken[n*99/100],
		hitRatio:   float64(r.hits) / float64(n),
		rejections: float64(r.rejections) / float64(n),
		requests:   n,
	}
}

// build creates the engines and the gateways with what they know of the engines.
func (r *run) build() {
	inv := fleet.Inventory{}
	for i := range r.w.dataCentres {
		inv.DataCentres = append(inv.DataCentres, fleet.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: "region"})
	}
	for i := range r.w.engines {
		name := fmt.Sprintf("engine-%d", i)
		inv.VMs = append(inv.VMs, fleet.VM{Name: name, DataCentre: fmt.Sprintf("dc-%d", i%r.w.dataCentres)})
		inv.Upstreams = append(inv.Upstreams, fleet.Upstream{Name: name, VM: name, Kind: fleet.KindEngine, Models: []string{"m"}, Slots: r.w.slots})
		r.engines = append(r.engines, new(engineModel))
	}
	view := fleet.NewView(fleet.State{Inventory: inv})
	for i := range r.w.gateways {
		dc := fmt.Sprintf("dc-%d", i%r.w.dataCentres)
		g := &gatewayModel{dataCentre: dc}
		for j := range view.Inventory.Upstreams {
			spec := &view.Inventory.Upstreams[j]
			g.all = append(g.all, &blackboard.Upstream{
				Spec: spec, DataCentre: view.DataCentreOf(spec), State: fleet.StateReady, Connected: true, Load: new(blackboard.UpstreamLoad),
			})
		}
		topology := blackboard.NewTopology(view, fmt.Sprintf("gateway-%d", i), dc)
		g.group = blackboard.NewGroupedUpstreams(g.all, topology).GroupForModel("m")
		r.gateways = append(r.gateways, g)
	}
}

func (r *run) schedule(d time.Duration, f func()) {
	r.seq++
	heap.Push(&r.events, event{r.now + d, r.seq, f})
}

// scheduleArrival schedules the next request, which schedules the one after it.
func (r *run) scheduleArrival() {
	gap := time.Duration(r.rng.ExpFloat64() / r.w.rate * float64(time.Second))
	if r.now+gap > r.w.length {
		return
	}
	r.schedule(gap, func() {
		r.send()
		r.scheduleArrival()
	})
}

func (r *run) clock() time.Time { return time.Unix(0, int64(r.now)) }

// send creates a request at a random gateway.
func (r *run) send() {
	r.attempt(&simRequest{
		gateway: r.rng.IntN(r.w.gateways),
		prefix:  blackboard.HashPair(r.zipf.Uint64()+1, 7),
		sent:    r.now,
		decode:  time.Duration(r.rng.ExpFloat64() * float64(r.w.decode)),
	})
}

// attempt sends the request to the engine that the policy picks.
func (r *run) attempt(s *simRequest) {
	g := r.gateways[s.gateway]
	req := &Request{
		DataCentre: g.dataCentre, Prefix: s.prefix, Random: r.ties.Uint64(), Now: r.clock(),
		Tried: func(u *blackboard.Upstream) bool { return slices.Contains(s.tried, u) },
	}
	s.upstream = r.policy.pick(g, req)
	s.engine = slices.Index(g.all, s.upstream)
	s.upstream.Load.InFlight.Add(1)
	s.latency = remoteLatency
	if s.upstream.DataCentre == g.dataCentre {
		s.latency = localLatency
	}
	r.schedule(s.latency, func() { r.receive(s) })
}

func (r *run) receive(s *simRequest) {
	e := r.engines[s.engine]
	switch {
	case e.running < r.w.slots:
		r.start(e, s)
	case len(s.tried) < r.policy.maxNoWait:
		r.schedule(s.latency, func() { r.resend(s) })
	default:
		e.waiting = append(e.waiting, s)
	}
}

// resend sends a request to another engine after one rejected it.
func (r *run) resend(s *simRequest) {
	r.rejections++
	s.tried = append(s.tried, s.upstream)
	s.upstream.Load.InFlight.Add(-1)
	s.upstream.Load.RejectedUntil.Store(r.clock().Add(MaxRejectionHold).UnixNano())
	r.attempt(s)
}

func (r *run) start(e *engineModel, s *simRequest) {
	e.running++
	prefill := r.w.prefill
	if e.lookup(s.prefix, r.w.cached) {
		prefill /= cachedSpeedup
		r.hits++
	}
	r.firstToken = append(r.firstToken, r.now+prefill+s.latency-s.sent)
	r.schedule(prefill+s.decode, func() { r.end(e, s) })
}

func (r *run) end(e *engineModel, s *simRequest) {
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.start(e, next)
	}
	report := blackboard.LoadReport{InFlight: e.running, Queued: len(e.waiting), Limit: r.w.slots}
	r.schedule(s.latency, func() {
		load := s.upstream.Load
		load.InFlight.Add(-1)
		report.ReceivedAt = r.clock()
		report.OwnInFlight = load.InFlight.Load()
		load.Report.Store(&report)
	})
}
