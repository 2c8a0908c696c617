package limits

import (
	"time"

	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/share"
)

// renewBefore is how long before the end of a loan its renewal is requested.
const renewBefore = 700 * time.Millisecond

// lendCall is a Lend call to send to another gateway.
type lendCall struct {
	to      string // peer address
	request peer.LendRequest
}

// Announcement returns the announcement of this incarnation, which asks to release the
// loans of earlier ones, and the gateways that have not acknowledged it yet.
func (l *Ledger) Announcement() ([]string, peer.ReleaseRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var targets []string
	for _, g := range l.otherGateways() {
		if p := l.peers[g]; p != nil && !p.released {
			targets = append(targets, g)
		}
	}
	return targets, peer.ReleaseRequest{ShareHeader: l.header()}
}

// RecordFenced records that a gateway rejected a call because it knows another
// incarnation of this gateway. This incarnation is then announced to it again.
func (l *Ledger) RecordFenced(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil {
		p.released = false
	}
}

// CollectIdle returns the calls that ask each reachable gateway for its idle shares of the
// workspaces whose home is this gateway. A call without requests is sent too: responsive
// counts a gateway as a candidate for a home only if it calls regularly.
func (l *Ledger) CollectIdle(reachable []string, now time.Time) []lendCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return nil
	}
	candidates := append([]string{l.self}, l.responsive(reachable, now)...)
	var requests []share.Request
	for _, w := range l.view.Inventory.Workspaces {
		if l.allocations[len(l.allocations)-1].Has(l.self) && share.HomeGateway(w.Name, candidates) == l.self {
			requests = append(requests, share.Request{Workspace: w.Name, Idle: true})
		}
	}
	var calls []lendCall
	for _, g := range reachable {
		calls = append(calls, lendCall{to: g, request: peer.LendRequest{ShareHeader: l.header(), Requests: requests}})
	}
	return calls
}

// Renewals returns the calls that ask the home gateways to renew loans which end soon and
// are still needed.
func (l *Ledger) Renewals(reachable []string, now time.Time) []lendCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return nil
	}
	candidates := append([]string{l.self}, l.responsive(reachable, now)...)
	requests := make(map[string][]share.Request)
	for name, w := range l.workspaces {
		home := share.HomeGateway(name, candidates)
		if home == l.self {
			continue
		}
		if rate := w.renewalRate(home, now); rate > 0 {
			requests[home] = append(requests[home], share.Request{Workspace: name, Rate: rate})
		}
	}
	var calls []lendCall
	for home, list := range requests {
		calls = append(calls, lendCall{to: home, request: peer.LendRequest{ShareHeader: l.header(), Requests: list}})
	}
	return calls
}

// Returns returns the calls that give loans back before they end: those that their lender
// recalled, those that this gateway no longer needs, and those that it collected as the
// home of a workspace that has another home now. A draining gateway is no home and gives
// back every loan that it has not lent on.
func (l *Ledger) Returns(reachable []string, draining bool, now time.Time) []lendCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return nil
	}
	candidates := l.responsive(reachable, now)
	if !draining {
		candidates = append(candidates, l.self)
	}
	returns := make(map[string][]share.LoanReturn)
	for name, w := range l.workspaces {
		home := share.HomeGateway(name, candidates)
		for _, loan := range w.Account().Borrowed {
			if !draining && !w.shouldReturn(loan, home == l.self, now) {
				continue
			}
			if r, ok := w.returnLoan(loan.Peer, now); ok {
				returns[loan.Peer] = append(returns[loan.Peer], r)
			}
		}
	}
	var calls []lendCall
	for to, list := range returns {
		calls = append(calls, lendCall{to: to, request: peer.LendRequest{ShareHeader: l.header(), Returns: list}})
	}
	return calls
}

// TokenCall returns the call that asks the workspace's home gateway for tokens, and for
// online requests also for a loan that covers the demand. It returns false if the home is
// this gateway or no configuration that names this gateway was applied yet.
func (l *Ledger) TokenCall(w *workspaceLimiter, tokens int, batch bool, reachable []string, now time.Time) (lendCall, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	home := share.HomeGateway(w.name, append([]string{l.self}, l.responsive(reachable, now)...))
	if l.self == "" || home == l.self {
		return lendCall{}, false
	}
	request := share.Request{Workspace: w.name, Tokens: tokens, Batch: batch}
	if !batch {
		request.Rate = share.RateToBorrow(w.Account(), home, w.demand())
	}
	return lendCall{to: home, request: peer.LendRequest{ShareHeader: l.header(), Requests: []share.Request{request}}}, true
}
