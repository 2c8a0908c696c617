package limits

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/admit"
	"github.com/baobablanding/baobablanding/policy/share"
	"github.com/baobablanding/baobablanding/result"
)

// silentLimit is after what time without a word a gateway of an earlier
// configuration counts as stopped. It is longer than a gateway that reaches
// neither the store nor a peer keeps serving.
const silentLimit = 30 * time.Second

// silentFactor is the same as a multiple of the isolation rule.
const silentFactor = 3

// faults switches parts of the mechanism off, for tests that show what each
// part is for.
type faults struct {
	keepLent     bool // the lender does not lower its own share
	ignoreEnd    bool // the borrower uses loans without end
	startAtOnce  bool // a new process uses its base share at once
	raiseAtOnce  bool // a higher base share applies at once
	restoreEarly bool // the lender restores its share before the loan ends
}

// Ledger keeps one gateway's shares of all workspaces. It decides on messages
// and sends none. Its methods are safe for concurrent use; taking a token does
// not pass through it.
type Ledger struct {
	incarnation string
	metrics     *Metrics
	ask         asker
	faults      faults

	mu       sync.Mutex
	self     string // peer address
	origin   time.Time
	view     *fleet.View
	eras     share.Eras
	spaces   map[string]*workspace
	peers    map[string]*peerState
	serving  bool          // no loan of a former process is left
	active   bool          // the base shares may be used
	started  chan struct{} // closed when serving
	reported uint64
	serial   uint64 // of the last loan
	sampled  time.Time
}

// peerState is what a ledger knows of another gateway.
type peerState struct {
	incarnation string
	version     uint64
	settled     uint64
	heard       time.Time
	released    bool
	holdUntil   time.Time
	gone        bool
}

// silentPeriods is the number of periods between messages after which a silent
// gateway is passed over as a home.
const silentPeriods = 1.5

// NewLedger returns a ledger of a process that starts now.
func NewLedger(incarnation string, metrics *Metrics, now time.Time) *Ledger {
	return &Ledger{
		metrics:     metrics,
		incarnation: incarnation,
		origin:      now,
		sampled:     now,
		started:     make(chan struct{}),
		spaces:      make(map[string]*workspace),
		peers:       make(map[string]*peerState),
	}
}

// Configure takes in a configuration in which the named gateway is this one. It
// returns the limiters of all workspaces that the configuration names.
func (l *Ledger) Configure(view *fleet.View, name string, now time.Time) map[string]*workspace {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = view
	for _, g := range view.Inventory.Gateways {
		if g.Name == name && l.self == "" {
			l.self = g.Peer
		}
	}
	if n := len(l.eras); n == 0 || l.eras[n-1].Version < view.Version {
		l.eras = append(slices.Clip(l.eras), share.NewEra(view))
	}
	named := make(map[string]*workspace, len(view.Inventory.Workspaces))
	for _, w := range view.Inventory.Workspaces {
		if l.spaces[w.Name] == nil {
			l.spaces[w.Name] = l.newWorkspace(w.Name)
		}
		named[w.Name] = l.spaces[w.Name]
	}
	for _, g := range view.Inventory.Gateways {
		l.peer(g.Peer, now)
	}
	l.update(now)
	return named
}

func (l *Ledger) newWorkspace(name string) *workspace {
	return newWorkspace(name, admit.NewLimiter(l.origin), l.ask, l.metrics)
}

// peer returns the state of the gateway at the address.
func (l *Ledger) peer(address string, now time.Time) *peerState {
	p := l.peers[address]
	if p == nil {
		p = &peerState{heard: now}
		l.peers[address] = p
	}
	return p
}

// others returns the addresses of the other gateways of the inventory.
func (l *Ledger) others() []string {
	if len(l.eras) == 0 {
		return nil
	}
	all := slices.Clone(l.eras[len(l.eras)-1].Gateways)
	return slices.DeleteFunc(all, func(g string) bool { return g == l.self })
}

func (l *Ledger) gateways() int { return len(l.others()) + 1 }

// Tick samples the demand and applies what time has brought about.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.sampled)
	l.sampled = now
	for _, w := range l.spaces {
		w.sample(elapsed)
	}
	l.update(now)
}

// update recomputes the eras and every base share.
func (l *Ledger) update(now time.Time) {
	if len(l.eras) == 0 {
		return
	}
	l.start(now)
	l.eras = l.eras.Settle(func(g string) (uint64, bool) { return l.followedBy(g, now) })
	if l.faults.raiseAtOnce {
		l.eras = l.eras[len(l.eras)-1:]
	}
	l.metrics.eras.Set(float64(len(l.eras)))
	overdrawn := false
	for name, w := range l.spaces {
		overdrawn = w.setBase(l.base(name), now) || overdrawn
	}
	if !overdrawn {
		l.reported = l.view.Version
	}
}

// start begins to serve, and to use the base shares, when that is safe.
func (l *Ledger) start(now time.Time) {
	if !l.serving && l.loansOver(now) {
		l.serving = true
		close(l.started)
	}
	if !l.active && l.serving && l.pastKnown(now) {
		l.active = true
		l.metrics.active.Set(1)
	}
}

func (l *Ledger) base(workspace string) share.Amount {
	if !l.active {
		return share.Amount{}
	}
	return l.eras.Base(workspace, l.self)
}

// followedBy returns the version that the gateway's shares follow, and whether
// it has stopped.
func (l *Ledger) followedBy(gateway string, now time.Time) (uint64, bool) {
	if gateway == l.self {
		return l.view.Version, false
	}
	p := l.peer(gateway, now)
	return p.version, p.gone || l.stoppedAlone(gateway, now)
}

// stoppedAlone tells whether a removed gateway is silent for so long that it no
// longer serves. Silent gateways that are more than half of an inventory may
// keep each other in service.
func (l *Ledger) stoppedAlone(gateway string, now time.Time) bool {
	if !l.silent(gateway, now) {
		return false
	}
	for _, e := range l.eras {
		count := 0
		for _, g := range e.Gateways {
			if l.silent(g, now) {
				count++
			}
		}
		if e.Has(gateway) && 2*count > len(e.Gateways) {
			return false
		}
	}
	return true
}

// silent tells whether a removed gateway was not heard of for long.
func (l *Ledger) silent(gateway string, now time.Time) bool {
	if l.eras[len(l.eras)-1].Has(gateway) {
		return false
	}
	return now.Sub(l.peer(gateway, now).heard) > max(silentLimit, silentFactor*l.view.Inventory.Rules.Isolation)
}

// loansOver tells whether no loan of a former process of this gateway is in use
// any more.
func (l *Ledger) loansOver(now time.Time) bool {
	longest := share.IdleLife(l.gateways()) + share.Margin
	if l.faults.startAtOnce || now.Sub(l.origin) > longest {
		return true
	}
	for _, g := range l.others() {
		if p := l.peer(g, now); !p.released || now.Before(p.holdUntil) {
			return false
		}
	}
	return true
}

// pastKnown tells whether no gateway follows a configuration that this process
// never saw.
func (l *Ledger) pastKnown(now time.Time) bool {
	if l.faults.raiseAtOnce || now.Sub(l.origin) > silentLimit {
		return true
	}
	allFresh := true
	for _, g := range l.others() {
		p := l.peer(g, now)
		if p.settled >= l.eras[0].Version {
			return true
		}
		allFresh = allFresh && p.released && p.settled == 0
	}
	return allFresh
}

func (l *Ledger) header() peer.ShareHeader {
	h := peer.ShareHeader{From: l.self, Incarnation: l.incarnation, Version: l.reported}
	if l.active {
		h.Settled = l.eras.Settled()
	}
	return h
}

// hear takes in a message's header. It returns false for a message of another
// process than the one that last announced itself.
func (l *Ledger) hear(h peer.ShareHeader, now time.Time) bool {
	p := l.peer(h.From, now)
	if p.incarnation == "" {
		p.incarnation = h.Incarnation
	}
	if p.incarnation != h.Incarnation {
		return false
	}
	p.heard = now
	p.gone = false
	p.version = max(p.version, h.Version)
	p.settled = max(p.settled, h.Settled)
	return true
}

// responsive returns the gateways that were heard lately. Each one asks the
// others for idle shares once in a period.
func (l *Ledger) responsive(reachable []string, now time.Time) []string {
	longest := time.Duration(silentPeriods * float64(share.IdlePeriod(l.gateways())))
	return slices.DeleteFunc(slices.Clone(reachable), func(g string) bool {
		return now.Sub(l.peer(g, now).heard) > longest
	})
}

// Lend answers a request of another gateway.
func (l *Ledger) Lend(req peer.LendRequest, now time.Time) (peer.LendResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return peer.LendResponse{}, result.New(result.ConfigMissing, result.NotRun)
	}
	if !l.hear(req.ShareHeader, now) {
		return peer.LendResponse{}, result.Errorf(result.FencedOrder, "another process of %s has announced itself", req.From)
	}
	for _, r := range req.Returns {
		l.takeBack(r, req.From, now)
	}
	resp := peer.LendResponse{ShareHeader: l.header()}
	for _, ask := range req.Asks {
		w := l.spaces[ask.Workspace]
		if w == nil {
			continue
		}
		if grant := l.grant(w, ask, req.From, now); grant != (share.Grant{Workspace: ask.Workspace}) {
			resp.Grants = append(resp.Grants, grant)
		}
	}
	return resp, nil
}

// grant admits requests for the peer and lends to it.
func (l *Ledger) grant(w *workspace, ask share.Ask, from string, now time.Time) share.Grant {
	g := share.Grant{Workspace: ask.Workspace}
	if ask.Tokens > 0 {
		g.Tokens, g.Wait = w.takeFor(ask, now)
		l.metrics.tokens(ask.Batch).Add(float64(g.Tokens))
	}
	if ask.Rate <= 0 && !ask.Idle {
		return g
	}
	w.Change(now, func(a share.Account, level float64) (share.Account, float64) {
		lender := share.Lender{Account: a, Level: level, Demand: w.demand(), Gateways: l.gateways()}
		lent, tokens, life, ok := lender.Decide(ask, from, now)
		if !ok {
			_, g.Recall = a.LoanTo(from)
			return a, level
		}
		l.serial++
		g.Lent, g.Level, g.Life, g.Serial = &lent, tokens, life, l.serial
		l.metrics.loans.Inc()
		loan := share.Loan{Peer: from, Amount: lent, Serial: l.serial, Idle: ask.Idle, End: now.Add(life + share.Margin)}
		return l.lower(a, level, tokens, loan)
	})
	return g
}

// lower returns the lender's account and level with the loan.
func (l *Ledger) lower(a share.Account, level, tokens float64, loan share.Loan) (share.Account, float64) {
	if l.faults.keepLent {
		return a, level
	}
	if l.faults.restoreEarly {
		loan.End = loan.End.Add(-share.LoanLife)
	}
	return a.WithOut(loan), level - tokens
}

// takeBack restores a loan that its borrower has stopped to use.
func (l *Ledger) takeBack(r share.Return, from string, now time.Time) {
	w := l.spaces[r.Workspace]
	if w == nil {
		return
	}
	w.Change(now, func(a share.Account, level float64) (share.Account, float64) {
		restored, ok := a.Returned(from, r.Serial)
		if !ok {
			return a, level
		}
		return restored, level + r.Level
	})
}

// Borrow takes in the answer to a request that was sent at the given time.
func (l *Ledger) Borrow(resp peer.LendResponse, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hear(resp.ShareHeader, now) {
		return
	}
	for _, g := range resp.Grants {
		w := l.spaces[g.Workspace]
		switch {
		case w == nil:
		case g.Lent != nil:
			l.borrow(w, g, resp.From, sent, now)
		case g.Recall:
			w.recalled(resp.From)
		}
	}
}

func (l *Ledger) borrow(w *workspace, g share.Grant, from string, sent, now time.Time) {
	end := sent.Add(g.Life)
	if l.faults.ignoreEnd {
		end = sent.Add(time.Hour)
	}
	if !end.After(now) {
		return
	}
	l.metrics.borrowed.Inc()
	w.Change(now, func(a share.Account, level float64) (share.Account, float64) {
		return a.With(share.Loan{Peer: from, Amount: *g.Lent, Serial: g.Serial, Idle: g.Life > share.LoanLife, End: end}), level + g.Level
	})
}

// Release takes in that a new process of another gateway has started. Its
// former process has ended, since both need the same address.
func (l *Ledger) Release(req peer.ReleaseRequest, now time.Time) (peer.ReleaseResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return peer.ReleaseResponse{}, result.New(result.ConfigMissing, result.NotRun)
	}
	p := l.peer(req.From, now)
	resp := peer.ReleaseResponse{}
	if p.incarnation != req.Incarnation {
		p.incarnation = req.Incarnation
		resp.HoldFor = l.drop(req.From, now)
	}
	l.hear(req.ShareHeader, now)
	resp.ShareHeader = l.header()
	return resp, nil
}

// drop ends the loans from the peer's former process and returns how long
// loans that depend on them still run.
func (l *Ledger) drop(from string, now time.Time) time.Duration {
	hold := time.Duration(0)
	for _, w := range l.spaces {
		w.Change(now, func(a share.Account, level float64) (share.Account, float64) {
			a = a.WithoutFrom(from).Shortened(from, now.Add(share.LoanLife+share.Margin))
			if b := a.Balance(); b.Rate < 0 || b.Burst < 0 {
				for _, out := range a.Out {
					hold = max(hold, out.End.Sub(now))
				}
			}
			return a, level
		})
	}
	return hold
}

// Released takes in the answer to a ReleaseRequest.
func (l *Ledger) Released(resp peer.ReleaseResponse, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(resp.From, now)
	p.incarnation = resp.Incarnation
	l.hear(resp.ShareHeader, now)
	p.released = true
	p.holdUntil = now.Add(resp.HoldFor)
	l.update(now)
}

// Ended takes in that the peer's process has certainly ended, as looked up
// after the given time. What it had borrowed may be lent on to others until the
// time of a loan has passed.
func (l *Ledger) Ended(address string, lookedUp, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(address, now)
	if p.heard.After(lookedUp) {
		return // a new process
	}
	p.gone = true
	if !p.released {
		p.released = true
		p.holdUntil = now.Add(share.LoanLife + share.Margin)
	}
	for _, w := range l.spaces {
		w.Change(now, func(a share.Account, level float64) (share.Account, float64) {
			return a.Shortened(address, now.Add(share.LoanLife+share.Margin)), level
		})
	}
}

// Unconfirmed returns the gateways whose end would free something: those that
// borrow from here, and those that follow or may follow an old configuration.
func (l *Ledger) Unconfirmed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string]bool)
	for _, w := range l.spaces {
		for _, out := range w.Account().Out {
			found[out.Peer] = true
		}
	}
	for g, p := range l.peers {
		if g != l.self && (!p.released || p.version < l.reported) {
			found[g] = true
		}
	}
	for g := range found {
		if l.peers[g] != nil && l.peers[g].gone {
			delete(found, g)
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Version returns the version of the configuration.
func (l *Ledger) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil {
		return 0
	}
	return l.view.Version
}
