package rollouts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
	"github.com/baobablanding/baobablanding/policy/rollout"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/store/storetest"
)

// simulatedFleet is a fleet of daemons with real boards and controllers, one store, and
// engines that are functions. It does what other controllers do: it copies orders, totals and
// reads from board to board.
type simulatedFleet struct {
	t       *testing.T
	ctx     context.Context
	start   clock.Instant
	store   *storetest.Store
	daemons []*simulatedDaemon

	mu       sync.Mutex // guards the fields below and the store
	order    *blackboard.RolloutOrder
	finals   []string // final states that were written
	finalAt  clock.Instant
	lateOld  int // requests sent to old engines after completed was written
	sent     [2]int
	badSends int
	bad      func(sinceOrder time.Duration, route string) bool // of the new version
	orderAt  clock.Instant
	all      int // requests since the order
	refused  int // of these, without an engine
}

// simulatedDaemon is one daemon. It implements store.Store with the outages of its own link.
type simulatedDaemon struct {
	fleet      *simulatedFleet
	board      *blackboard.EntryBoard
	controller *Controller
	cancel     context.CancelFunc
	isCutOff   atomic.Bool // from the store and from other daemons
	noStore    atomic.Bool
	isKilled   atomic.Bool
	opReadAt   clock.Instant
	held       func(store.Tx) // takes a transaction instead of the store; may be nil
}

type statusRows struct{}

func (statusRows) RolloutStatus(service, state, to string) store.Row {
	return store.Row{Key: store.Key{Table: "status", Name: service}, Value: []byte(state)}
}

func (d *simulatedDaemon) reaches() bool { return !d.isCutOff.Load() && !d.noStore.Load() }

func (d *simulatedDaemon) Commit(ctx context.Context, tx store.Tx) (store.Response, error) {
	if d.held != nil {
		d.held(tx)
		return store.Response{}, store.ErrOutcomeUnknown
	}
	if !d.reaches() || d.isKilled.Load() {
		return store.Response{}, store.ErrNotExecuted
	}
	return d.fleet.commit(ctx, tx)
}

// commit applies the transaction and notes a final state.
func (f *simulatedFleet) commit(ctx context.Context, tx store.Tx) (store.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	response, err := f.store.Commit(ctx, tx)
	if err != nil {
		return response, err
	}
	for _, row := range tx.Put {
		if state := string(row.Value); row.Table == "status" && state != stateActive {
			f.finals = append(f.finals, state)
			f.finalAt = clock.Now()
		}
	}
	return response, nil
}

func (d *simulatedDaemon) Get(ctx context.Context, r store.Range) (store.Response, error) {
	if !d.reaches() {
		return store.Response{}, store.ErrNotExecuted
	}
	return d.fleet.store.Get(ctx, r)
}

func (d *simulatedDaemon) Parts(ctx context.Context, table string) ([]string, error) {
	if !d.reaches() {
		return nil, store.ErrNotExecuted
	}
	return d.fleet.store.Parts(ctx, table)
}

func (d *simulatedDaemon) Changes(context.Context, string, int64, time.Duration) (store.Response, error) {
	return store.Response{}, store.ErrHistoryGone
}

// newSimulatedFleet starts n daemons with six engines of each version and two routes. It ends
// with the test.
func newSimulatedFleet(t *testing.T, n int) *simulatedFleet {
	t.Helper()
	f := &simulatedFleet{t: t, ctx: t.Context(), start: clock.Now(), store: storetest.New(), bad: func(time.Duration, string) bool { return false }}
	var members []blackboard.Peer
	for i := range n {
		members = append(members, blackboard.Peer{Name: fmt.Sprint("vm", i), Incarnation: fmt.Sprint("vm", i, "/1"), DataCentre: "dc"})
	}
	for i := range n {
		f.daemons = append(f.daemons, f.newDaemon(members, i))
	}
	for _, d := range f.daemons {
		d.run()
	}
	go f.pump()
	return f
}

func (f *simulatedFleet) newDaemon(members []blackboard.Peer, i int) *simulatedDaemon {
	d := &simulatedDaemon{fleet: f, board: blackboard.NewEntryBoard()}
	d.board.Rollouts.Publish(new(blackboard.Rollouts))
	d.board.Roster.Publish(&blackboard.Roster{Self: members[i], Members: members, Loaded: true})
	d.board.Catalog.Publish(catalog.New(catalog.Content{
		Services: []*catalog.Service{{Name: "svc"}},
		Routes: []*catalog.Route{
			{Name: "a", Kind: catalog.KindOnce, Timeout: 3 * time.Second, Split: []catalog.WeightedService{{Service: "svc", Weight: 1}}},
			{Name: "b", Kind: catalog.KindRepeatable, Timeout: 3 * time.Second, Split: []catalog.WeightedService{{Service: "svc", Weight: 1}}},
		},
	}))
	var engines []*blackboard.Engine
	for e := range 12 {
		engines = append(engines, &blackboard.Engine{
			Engine: &catalog.Engine{ID: fmt.Sprintf("i-%02d", e), Service: "svc", DataCentre: "dc", Slots: 64, Version: fmt.Sprint("v", 1+e/6), StartedAtMs: int64(e)},
			Load:   new(blackboard.EngineLoad),
		})
	}
	d.board.Engines.Publish(blackboard.NewEngines(engines))
	d.controller = New(d.board, d, statusRows{}, Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	return d
}

// run starts the daemon until the test ends or it is cancelled.
func (d *simulatedDaemon) run() {
	ctx, cancel := context.WithCancel(d.fleet.ctx)
	d.cancel = cancel
	d.fleet.t.Cleanup(cancel)
	go d.controller.RunFollower(ctx)
	go d.controller.Run(ctx)
	go d.serve(ctx)
}

// restart kills all daemons and starts others on their VMs.
func (f *simulatedFleet) restart() {
	var members []blackboard.Peer
	for i, d := range f.daemons {
		d.isKilled.Store(true)
		d.cancel()
		members = append(members, blackboard.Peer{Name: fmt.Sprint("vm", i), Incarnation: fmt.Sprint("vm", i, "/2"), DataCentre: "dc"})
	}
	daemons := make([]*simulatedDaemon, len(members))
	for i := range members {
		daemons[i] = f.newDaemon(members, i)
	}
	f.mu.Lock()
	f.daemons = daemons
	f.mu.Unlock()
	for _, d := range daemons {
		d.run()
	}
}

// pump copies from board to board what other controllers would.
func (f *simulatedFleet) pump() {
	for f.ctx.Err() == nil {
		now := clock.Now()
		daemons := f.running()
		for _, d := range daemons {
			d.board.SyncStoreClock(now.Sub(f.start), now)
			f.readOrders(d, now)
		}
		f.exchange(daemons, now)
		time.Sleep(30 * time.Millisecond)
	}
}

func (f *simulatedFleet) readOrders(d *simulatedDaemon, now clock.Instant) {
	if !d.reaches() || d.isKilled.Load() || now.Sub(d.opReadAt) < 600*time.Millisecond {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	orders := blackboard.RolloutOrders{ByService: make(map[string]*blackboard.RolloutOrder), ReadAt: now}
	if f.order != nil {
		order := *f.order
		order.SeenAt = now.Sub(f.start)
		if d.opReadAt != 0 {
			order.NotBefore = f.orderAt.Sub(f.start)
		}
		orders.ByService["svc"] = &order
	}
	d.opReadAt = now
	d.board.ConfigRead.Publish(blackboard.ConfigRead{SentAt: now})
	d.board.RolloutOrders.Publish(orders)
}

// running returns the daemons that run.
func (f *simulatedFleet) running() []*simulatedDaemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons
}

// exchange gives each daemon the totals of the others that it hears.
func (f *simulatedFleet) exchange(daemons []*simulatedDaemon, now clock.Instant) {
	own := make(map[*simulatedDaemon]*blackboard.RolloutTotals)
	for _, d := range daemons {
		if v := d.board.Rollouts.Value().ByService["svc"]; v != nil && v.Counts != nil {
			totals := rollout.OwnTotals(v, d.board.Engines.Value().OfService("svc"))
			own[d] = &totals
		}
	}
	for _, d := range daemons {
		heard, readAt := int64(1), clock.Instant(0)
		var sum *blackboard.RolloutTotals
		for _, p := range daemons {
			if p == d || p.isCutOff.Load() || p.isKilled.Load() || d.isCutOff.Load() {
				continue
			}
			heard++
			readAt = max(readAt, p.board.ConfigRead.Value().SentAt)
			next := own[p]
			if next != nil && sum != nil && sum.Order == next.Order {
				added := rollout.AddTotals(*sum, *next)
				next = &added
			}
			if next != nil {
				sum = next
			}
		}
		d.board.ReportingDaemons.Store(heard)
		d.board.ReportsAt.Store(int64(now))
		d.board.PeerReadAt.Store(int64(readAt))
		d.board.PeerRollouts.Publish(map[string]*blackboard.RolloutTotals{"svc": sum})
	}
}

// serve sends requests to engines; all daemons together send 160 a second.
func (d *simulatedDaemon) serve(ctx context.Context) {
	f := d.fleet
	for i := 0; ctx.Err() == nil; i++ {
		d.request([]string{"a", "b"}[i%2])
		time.Sleep(time.Duration(len(f.running())) * 6 * time.Millisecond)
	}
}

// request sends one request at once and notes to which version it went.
func (d *simulatedDaemon) request(route string) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	view := rollout.NewView(d.board, "svc", now)
	query := placement.NewQuery(d.board, &catalog.Service{Name: "svc"}, rand.Float64)
	view.Admit()
	f.all++
	engines := d.board.Engines.Value().OfService("svc")
	e := view.Choose(&query, engines, true, func() *blackboard.Engine { return placement.Choose(engines, &query) })
	if e == nil {
		if f.orderAt != 0 {
			f.refused++
		}
		return
	}
	tracker := view.Track(e, route)
	outcome := rollout.Answered
	if e.Version == "v2" {
		f.sent[1]++
		if f.bad(now.Sub(f.orderAt), route) && rand.Float64() < 0.4 {
			outcome = rollout.Failed
			f.badSends++
		}
	} else {
		f.sent[0]++
		if len(f.finals) > 0 && f.finals[len(f.finals)-1] == stateCompleted && f.order.To == "v2" {
			f.lateOld++
		}
	}
	tracker.Observe(1, now.Add(50*time.Millisecond))
	tracker.End(outcome, now.Add(60*time.Millisecond))
}

// command writes an order.
func (f *simulatedFleet) command(version int64, to string, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = &blackboard.RolloutOrder{Service: "svc", To: to, Duration: duration, Version: version}
	f.orderAt, f.all = clock.Now(), 0
}

// await waits for n final states, at most for the given time, and returns all of them.
func (f *simulatedFleet) await(n int, within time.Duration) []string {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		done := len(f.finals) >= n
		f.mu.Unlock()
		if done {
			break
		}
	}
	time.Sleep(time.Second) // a second final state would be an error
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.finals...)
}

// checkBounds checks what must hold whatever failed.
func (f *simulatedFleet) checkBounds(isBad bool) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lateOld > 0 {
		f.t.Errorf("%d requests went to old engines after they were given up", f.lateOld)
	}
	if allowed := 0.1*float64(f.all) + 50; isBad && float64(f.sent[1]) > allowed {
		f.t.Errorf("the bad version got %d of %d requests, want at most %.0f", f.sent[1], f.all, allowed)
	}
	f.t.Logf("finals %v after %v, old %d new %d bad %d of %d", f.finals, f.finalAt.Sub(f.orderAt), f.sent[0], f.sent[1], f.badSends, f.all)
}

// record returns the row of the roll-out.
func (f *simulatedFleet) record() record {
	row, ok, err := store.GetRow(f.ctx, f.store, key("svc"))
	var r record
	if err == nil && ok {
		err = json.Unmarshal(row.Value, &r)
	}
	if err != nil {
		f.t.Error(err)
	}
	return r
}

// owner returns the daemon that owns the roll-out once it is in the state.
func (f *simulatedFleet) owner(state string) *simulatedDaemon {
	f.t.Helper()
	for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if r := f.record(); r.State == state {
			for _, d := range f.daemons {
				if d.board.Roster.Value().Self.Incarnation == r.Owner {
					return d
				}
			}
		}
	}
	f.t.Fatalf("the roll-out does not come to the state %s", state)
	return nil
}
