package limits

import (
	"maps"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/share"
	"github.com/baobablanding/baobablanding/result"
)

// HandleRelease answers the announcement of a new incarnation of another gateway. The
// earlier one has exited, since both listen on the same address. It fails with
// ConfigMissing, not run, before a configuration that names this gateway is applied.
func (l *Ledger) HandleRelease(req peer.ReleaseRequest, now time.Time) (peer.ReleaseResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == "" {
		return peer.ReleaseResponse{}, result.New(result.ConfigMissing, result.NotRun)
	}
	p := l.peer(req.From, now)
	resp := peer.ReleaseResponse{}
	if p.incarnation != req.Incarnation {
		p.incarnation = req.Incarnation
		resp.LoansEndIn = l.dropLoansFrom(req.From, now)
	}
	l.recordHeader(req.ShareHeader, now)
	resp.ShareHeader = l.header()
	return resp, nil
}

// dropLoansFrom ends the loans from the peer's earlier incarnation and shortens those to
// it. It returns how long loans that this gateway made from the ended ones still run.
func (l *Ledger) dropLoansFrom(from string, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, w := range l.workspaces {
		w.Update(now, func(a share.Account, level float64) (share.Account, float64) {
			a = a.WithoutBorrowedFrom(from).ShortenLent(from, now.Add(share.LoanDuration+share.LenderMargin))
			if b := a.Balance(); b.Rate < 0 || b.Burst < 0 {
				for _, loan := range a.Lent {
					longest = max(longest, loan.End.Sub(now))
				}
			}
			return a, level
		})
	}
	return longest
}

// ApplyReleaseResponse applies the response to this incarnation's announcement.
func (l *Ledger) ApplyReleaseResponse(resp peer.ReleaseResponse, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(resp.From, now)
	p.incarnation = resp.Incarnation
	l.recordHeader(resp.ShareHeader, now)
	p.released = true
	p.loansUntil = now.Add(resp.LoansEndIn)
	l.updateShares(now)
}

// RecordExit records that the peer's process has certainly exited, as a probe that started
// at probedAt found. The peer may have lent on what it borrowed from this gateway, so the
// loans to it may run for the duration of another loan and the lender's margin.
func (l *Ledger) RecordExit(address string, probedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(address, now)
	if p.lastHeard.After(probedAt) {
		return // a message came since the probe started: a newer incarnation runs
	}
	p.stopped = true
	if !p.released {
		p.released = true
		p.loansUntil = now.Add(share.LoanDuration + share.LenderMargin)
	}
	for _, w := range l.workspaces {
		w.Update(now, func(a share.Account, level float64) (share.Account, float64) {
			return a.ShortenLent(address, now.Add(share.LoanDuration+share.LenderMargin)), level
		})
	}
}

// ProbeTargets returns the sorted peer addresses of the gateways whose exit would free
// rate or let shares grow: those that borrow from this gateway, those that have not
// acknowledged this incarnation, and those whose shares may follow an older configuration.
// Gateways known to have exited are left out.
func (l *Ledger) ProbeTargets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string]bool)
	for _, w := range l.workspaces {
		for _, loan := range w.Account().Lent {
			found[loan.Peer] = true
		}
	}
	for g, p := range l.peers {
		if g != l.self && (!p.released || p.version < l.reportedVersion) {
			found[g] = true
		}
	}
	for g := range found {
		if l.peers[g] != nil && l.peers[g].stopped {
			delete(found, g)
		}
	}
	return slices.Sorted(maps.Keys(found))
}
