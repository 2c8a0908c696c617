package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/share"
	"github.com/baobablanding/baobablanding/result"
)

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
