package limits

import (
	"time"

	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/share"
)

// renewBefore is how long before its end a loan is asked for again.
const renewBefore = 700 * time.Millisecond

// outgoing is a request to another gateway.
type outgoing struct {
	to      string
	request peer.LendRequest
}

// Releases returns the gateways that have not answered the announcement of this
// process yet, and the announcement.
func (l *Ledger) Releases() ([]string, peer.ReleaseRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var waiting []string
	for _, g := range l.others() {
		if p := l.peers[g]; p != nil && !p.released {
			waiting = append(waiting, g)
		}
	}
	return waiting, peer.ReleaseRequest{ShareHeader: l.header()}
}

// Refused takes in that a gateway did not know this process.
func (l *Ledger) Refused(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil {
		p.released = false
	}
}

// Gather returns the requests that ask each reachable gateway for its idle
// shares of the workspaces whose home is here.
func (l *Ledger) Gather(reachable []string, now time.Time) []outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return nil
	}
	candidates := append([]string{l.self}, l.responsive(reachable, now)...)
	var asks []share.Ask
	for _, w := range l.view.Inventory.Workspaces {
		if l.eras[len(l.eras)-1].Has(l.self) && share.Home(w.Name, candidates) == l.self {
			asks = append(asks, share.Ask{Workspace: w.Name, Idle: true})
		}
	}
	var all []outgoing
	for _, g := range reachable {
		all = append(all, outgoing{to: g, request: peer.LendRequest{ShareHeader: l.header(), Asks: asks}})
	}
	return all
}

// Renewals returns the requests that prolong loans which end soon and are still
// needed.
func (l *Ledger) Renewals(reachable []string, now time.Time) []outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return nil
	}
	candidates := append([]string{l.self}, l.responsive(reachable, now)...)
	asks := make(map[string][]share.Ask)
	for name, w := range l.spaces {
		home := share.Home(name, candidates)
		if home == l.self {
			continue
		}
		if rate := w.renewal(home, now); rate > 0 {
			asks[home] = append(asks[home], share.Ask{Workspace: name, Rate: rate})
		}
	}
	var all []outgoing
	for home, list := range asks {
		all = append(all, outgoing{to: home, request: peer.LendRequest{ShareHeader: l.header(), Asks: list}})
	}
	return all
}

// Returns returns the requests that give back loans early: those that their
// lender needs, those that this gateway no longer needs, and those that it
// gathered as the home of a workspace that has another home now. A gateway that
// stops is no home and gives back everything.
func (l *Ledger) Returns(reachable []string, stopping bool, now time.Time) []outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return nil
	}
	candidates := l.responsive(reachable, now)
	if !stopping {
		candidates = append(candidates, l.self)
	}
	returns := make(map[string][]share.Return)
	for name, w := range l.spaces {
		home := share.Home(name, candidates)
		for _, in := range w.Account().In {
			if !stopping && !w.unneeded(in, home == l.self, now) {
				continue
			}
			if r, ok := w.giveBack(in.Peer, now); ok {
				returns[in.Peer] = append(returns[in.Peer], r)
			}
		}
	}
	var all []outgoing
	for to, list := range returns {
		all = append(all, outgoing{to: to, request: peer.LendRequest{ShareHeader: l.header(), Returns: list}})
	}
	return all
}

// Question returns the request that asks the workspace's home for tokens, or
// false when the home is here.
func (l *Ledger) Question(w *workspace, tokens int, batch bool, reachable []string, now time.Time) (outgoing, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	home := share.Home(w.name, append([]string{l.self}, l.responsive(reachable, now)...))
	if l.self == "" || home == l.self {
		return outgoing{}, false
	}
	ask := share.Ask{Workspace: w.name, Tokens: tokens, Batch: batch}
	if !batch {
		ask.Rate = share.WantedRate(w.Account(), home, w.demand())
	}
	return outgoing{to: home, request: peer.LendRequest{ShareHeader: l.header(), Asks: []share.Ask{ask}}}, true
}
