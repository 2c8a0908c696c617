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

// faults switches safeguards off, so that tests can show that a limit is exceeded without
// each of them. The zero value leaves all on.
type faults struct {
	keepLentShare    bool // a lender does not lower its own share
	ignoreLoanEnd    bool // a borrower uses loans after their end
	skipStartWait    bool // a new incarnation serves while loans of an earlier one may be in use
	raiseBaseAtOnce  bool // a base share grows while gateways may follow an older configuration
	restoreBeforeEnd bool // a lender restores its share before the loan ends
}

// Ledger keeps one gateway's shares of all workspaces. It decides which calls to send and
// how to answer those of other gateways, but sends nothing itself. Its methods are safe for
// concurrent use: the exported ones lock mu, the others are called with mu held. Taking a
// token does not lock mu.
type Ledger struct {
	incarnation string
	metrics     *Metrics
	askHome     askFunc // set before the first Configure
	faults      faults

	mu sync.Mutex
	// self is the peer address. It is empty until a configuration names this gateway.
	self      string
	startTime time.Time   // of this incarnation
	view      *fleet.View // the configuration in force
	// allocations has one element for each version of the configuration that some gateway
	// may still follow, oldest first.
	allocations share.Allocations
	workspaces  map[string]*workspaceLimiter // by name; kept when the configuration drops one
	peers       map[string]*peerState        // by peer address
	serving     bool                         // no loan of an earlier incarnation is in use
	baseActive  bool                         // the base shares are in use
	ready       chan struct{}                // closed when serving becomes true
	// reportedVersion is the newest version whose base shares cover everything that is lent.
	// Messages carry it as the version that this gateway follows.
	reportedVersion uint64
	lastSerial      uint64    // of the last loan made
	lastSample      time.Time // when the demand was last sampled
}

// peerState is what the ledger knows of another gateway.
type peerState struct {
	incarnation string // empty until its first message
	version     uint64 // version of the configuration that its shares follow
	// oldestVersion is the oldest version that some gateway may still follow, as far as this
	// peer knows. It is 0 while the peer does not use its base shares.
	oldestVersion uint64
	lastHeard     time.Time // when its last message came, or when it became known
	released      bool      // it acknowledged this incarnation, or exited
	// loansUntil is when the loans at the peer that depend on an earlier incarnation of this
	// gateway have ended.
	loansUntil time.Time
	stopped    bool // its process has certainly exited
}

// maxSilentPeriods is the time without a message after which a gateway is no candidate for
// a home, as a multiple of the period in which each gateway asks for idle shares.
const maxSilentPeriods = 1.5

// NewLedger returns the ledger of an incarnation that starts now.
func NewLedger(incarnation string, metrics *Metrics, now time.Time) *Ledger {
	return &Ledger{
		metrics:     metrics,
		incarnation: incarnation,
		startTime:   now,
		lastSample:  now,
		ready:       make(chan struct{}),
		workspaces:  make(map[string]*workspaceLimiter),
		peers:       make(map[string]*peerState),
	}
}

// Configure applies a configuration in which the named gateway is this one. It returns the
// limiters of the workspaces in the configuration by name.
func (l *Ledger) Configure(view *fleet.View, name string, now time.Time) map[string]*workspaceLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = view
	for _, g := range view.Inventory.Gateways {
		if g.Name == name && l.self == "" {
			l.self = g.PeerAddress
		}
	}
	if n := len(l.allocations); n == 0 || l.allocations[n-1].Version < view.Version {
		l.allocations = append(slices.Clip(l.allocations), share.NewAllocation(view))
	}
	named := make(map[string]*workspaceLimiter, len(view.Inventory.Workspaces))
	for _, w := range view.Inventory.Workspaces {
		if l.workspaces[w.Name] == nil {
			l.workspaces[w.Name] = l.newWorkspaceLimiter(w.Name)
		}
		named[w.Name] = l.workspaces[w.Name]
	}
	for _, g := range view.Inventory.Gateways {
		l.peer(g.PeerAddress, now)
	}
	l.updateShares(now)
	return named
}

// newWorkspaceLimiter returns a limiter without a share.
func (l *Ledger) newWorkspaceLimiter(name string) *workspaceLimiter {
	return newWorkspaceLimiter(name, admit.NewLimiter(l.startTime), l.askHome, l.metrics)
}

// peer returns the state of the gateway at the address, which it creates if the gateway is
// not known yet.
func (l *Ledger) peer(address string, now time.Time) *peerState {
	p := l.peers[address]
	if p == nil {
		p = &peerState{lastHeard: now}
		l.peers[address] = p
	}
	return p
}

// otherGateways returns the peer addresses of the other gateways in the newest
// configuration.
func (l *Ledger) otherGateways() []string {
	if len(l.allocations) == 0 {
		return nil
	}
	addresses := slices.Clone(l.allocations[len(l.allocations)-1].Gateways)
	return slices.DeleteFunc(addresses, func(g string) bool { return g == l.self })
}

// gatewayCount returns the number of gateways, with this one.
func (l *Ledger) gatewayCount() int { return len(l.otherGateways()) + 1 }

// Tick samples the demand and updates the shares for the time that has passed.
func (l *Ledger) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastSample)
	l.lastSample = now
	for _, w := range l.workspaces {
		w.sampleDemand(elapsed)
	}
	l.updateShares(now)
}

// updateShares recomputes the allocations in use and every base share. A configuration is
// reported as followed once the base shares cover everything that is lent.
func (l *Ledger) updateShares(now time.Time) {
	if len(l.allocations) == 0 {
		return
	}
	l.startWhenSafe(now)
	l.allocations = l.allocations.DropUnused(func(g string) (uint64, bool) { return l.versionOf(g, now) })
	if l.faults.raiseBaseAtOnce {
		l.allocations = l.allocations[len(l.allocations)-1:]
	}
	l.metrics.allocations.Set(float64(len(l.allocations)))
	overdrawn := false
	for name, w := range l.workspaces {
		overdrawn = w.setBase(l.baseShare(name), now) || overdrawn
	}
	if !overdrawn {
		l.reportedVersion = l.view.Version
	}
}

// header returns the header of this gateway's messages.
func (l *Ledger) header() peer.ShareHeader {
	h := peer.ShareHeader{From: l.self, Incarnation: l.incarnation, Version: l.reportedVersion}
	if l.baseActive {
		h.OldestVersion = l.allocations.OldestVersion()
	}
	return h
}

// recordHeader records the header of a message. It returns false if the message comes
// from another incarnation than the known one. The known one is that of the first
// message, until an announcement or the response to one names another.
func (l *Ledger) recordHeader(h peer.ShareHeader, now time.Time) bool {
	p := l.peer(h.From, now)
	if p.incarnation == "" {
		p.incarnation = h.Incarnation
	}
	if p.incarnation != h.Incarnation {
		return false
	}
	p.lastHeard = now
	p.stopped = false
	p.version = max(p.version, h.Version)
	p.oldestVersion = max(p.oldestVersion, h.OldestVersion)
	return true
}

// responsive returns those of the reachable gateways that sent a message recently. Each
// gateway asks the others for idle shares once in a period.
func (l *Ledger) responsive(reachable []string, now time.Time) []string {
	longest := time.Duration(maxSilentPeriods * float64(share.IdleRequestInterval(l.gatewayCount())))
	return slices.DeleteFunc(slices.Clone(reachable), func(g string) bool {
		return now.Sub(l.peer(g, now).lastHeard) > longest
	})
}

// HandleLend answers a Lend call: it takes back returned loans, then admits requests for
// the peer and lends to it. It fails with ConfigMissing, not run, before a configuration
// that names this gateway is applied, and with FencedOrder if the call comes from an
// incarnation of the peer that is not the known one.
func (l *Ledger) HandleLend(req peer.LendRequest, now time.Time) (peer.LendResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return peer.LendResponse{}, result.New(result.ConfigMissing, result.NotRun)
	}
	if !l.recordHeader(req.ShareHeader, now) {
		return peer.LendResponse{}, result.Errorf(result.FencedOrder, "call from an incarnation of %s that is not the known one", req.From)
	}
	for _, r := range req.Returns {
		l.acceptReturn(r, req.From, now)
	}
	resp := peer.LendResponse{ShareHeader: l.header()}
	for _, request := range req.Requests {
		w := l.workspaces[request.Workspace]
		if w == nil {
			continue
		}
		if reply := l.reply(w, request, req.From, now); reply != (share.Reply{Workspace: request.Workspace}) {
			resp.Replies = append(resp.Replies, reply)
		}
	}
	return resp, nil
}

// reply returns the reply to one request of the peer: it grants tokens, makes or renews a
// loan, or recalls the current loan if that is not renewed.
func (l *Ledger) reply(w *workspaceLimiter, request share.Request, from string, now time.Time) share.Reply {
	reply := share.Reply{Workspace: request.Workspace}
	if request.Tokens > 0 {
		reply.Tokens, reply.Wait = w.takeFor(request, now)
		l.metrics.tokens(request.Batch).Add(float64(reply.Tokens))
	}
	if request.Rate <= 0 && !request.Idle {
		return reply
	}
	w.Update(now, func(a share.Account, level float64) (share.Account, float64) {
		lender := share.Lender{Account: a, Level: level, Demand: w.demand(), Gateways: l.gatewayCount()}
		lent, tokens, duration, ok := lender.DecideLoan(request, from, now)
		if !ok {
			_, reply.Recall = a.LentLoan(from)
			return a, level
		}
		l.lastSerial++
		reply.Lent, reply.Level, reply.ValidFor, reply.Serial = &lent, tokens, duration, l.lastSerial
		l.metrics.loansMade.Inc()
		loan := share.Loan{Peer: from, Amount: lent, Serial: l.lastSerial, IdleShare: request.Idle, End: now.Add(duration + share.LenderMargin)}
		return l.deductLoan(a, level, tokens, loan)
	})
	return reply
}

// deductLoan returns the lender's account with the loan, and its token level without the
// tokens that go with the loan.
func (l *Ledger) deductLoan(a share.Account, level, tokens float64, loan share.Loan) (share.Account, float64) {
	if l.faults.keepLentShare {
		return a, level
	}
	if l.faults.restoreBeforeEnd {
		loan.End = loan.End.Add(-share.LoanDuration)
	}
	return a.WithLent(loan), level - tokens
}

// acceptReturn restores the share of a loan that its borrower has stopped using. It ignores
// a loan that has ended or was replaced.
func (l *Ledger) acceptReturn(returned share.LoanReturn, from string, now time.Time) {
	w := l.workspaces[returned.Workspace]
	if w == nil {
		return
	}
	w.Update(now, func(a share.Account, level float64) (share.Account, float64) {
		restored, ok := a.WithoutLent(from, returned.Serial)
		if !ok {
			return a, level
		}
		return restored, level + returned.Level
	})
}

// ApplyLendResponse applies the loans and recalls in the response to a Lend call that was
// sent at the given time. It ignores a response of another incarnation than the known one.
func (l *Ledger) ApplyLendResponse(resp peer.LendResponse, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.recordHeader(resp.ShareHeader, now) {
		return
	}
	for _, reply := range resp.Replies {
		w := l.workspaces[reply.Workspace]
		switch {
		case w == nil:
		case reply.Lent != nil:
			l.addLoan(w, reply, resp.From, sent, now)
		case reply.Recall:
			w.recordRecall(resp.From)
		}
	}
}

// addLoan starts to use a loan. Its duration counts from the time at which the call was
// sent, so that it ends here before the lender restores its share.
func (l *Ledger) addLoan(w *workspaceLimiter, reply share.Reply, from string, sent, now time.Time) {
	end := sent.Add(reply.ValidFor)
	if l.faults.ignoreLoanEnd {
		end = sent.Add(time.Hour)
	}
	if !end.After(now) {
		return
	}
	l.metrics.loansReceived.Inc()
	w.Update(now, func(a share.Account, level float64) (share.Account, float64) {
		return a.WithBorrowed(share.Loan{Peer: from, Amount: *reply.Lent, Serial: reply.Serial, IdleShare: reply.ValidFor > share.LoanDuration, End: end}), level + reply.Level
	})
}

// Version returns the version of the configuration in force, or 0 if there is none.
func (l *Ledger) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil {
		return 0
	}
	return l.view.Version
}
