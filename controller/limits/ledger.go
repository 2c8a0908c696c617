package limits

import (
	"slices"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/admit"
	"github.com/baobablanding/baobablanding/policy/share"
	"github.com/baobablanding/baobablanding/result"
)

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

// Version returns the version of the configuration.
func (l *Ledger) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil {
		return 0
	}
	return l.view.Version
}
