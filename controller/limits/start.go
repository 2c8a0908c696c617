package limits

import (
	"time"

	"github.com/baobablanding/baobablanding/policy/share"
)

// silentLimit is after what time without a word a gateway of an earlier
// configuration counts as stopped. It is longer than a gateway that reaches
// neither the store nor a peer keeps serving.
const silentLimit = 30 * time.Second

// silentFactor is the same as a multiple of the isolation rule.
const silentFactor = 3

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
