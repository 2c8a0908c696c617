package limits

import (
	"time"

	"github.com/baobablanding/baobablanding/policy/share"
)

// presumedStoppedAfter is the time without a message after which a gateway that is no
// longer in the configuration counts as stopped. It is longer than a gateway that can
// reach neither the store nor a peer keeps serving.
const presumedStoppedAfter = 30 * time.Second

// isolationMultiple is the same time as a multiple of the rule MaxIsolation; the longer
// one applies.
const isolationMultiple = 3

// startWhenSafe starts to serve, and to use the base shares, once neither can exceed a
// limit.
func (l *Ledger) startWhenSafe(now time.Time) {
	if !l.serving && l.earlierLoansEnded(now) {
		l.serving = true
		close(l.ready)
	}
	if !l.baseActive && l.serving && l.earlierVersionsUnused(now) {
		l.baseActive = true
		l.metrics.baseActive.Set(1)
	}
}

// baseShare returns the part of the workspace's limit that this gateway owns: nothing
// until the base shares are in use.
func (l *Ledger) baseShare(workspace string) share.Amount {
	if !l.baseActive {
		return share.Amount{}
	}
	return l.allocations.Base(workspace, l.self)
}

// versionOf returns the version of the configuration that the gateway's shares follow, and
// whether the gateway has stopped.
func (l *Ledger) versionOf(gateway string, now time.Time) (uint64, bool) {
	if gateway == l.self {
		return l.view.Version, false
	}
	p := l.peer(gateway, now)
	return p.version, p.stopped || l.isPresumedStopped(gateway, now)
}

// isPresumedStopped reports whether a gateway that was removed from the configuration has
// been silent for so long that it no longer serves. It does not presume so if more than
// half of the gateways of an inventory that has the gateway are silent, as these may keep
// each other in service.
func (l *Ledger) isPresumedStopped(gateway string, now time.Time) bool {
	if !l.isSilent(gateway, now) {
		return false
	}
	for _, allocation := range l.allocations {
		silent := 0
		for _, g := range allocation.Gateways {
			if l.isSilent(g, now) {
				silent++
			}
		}
		if allocation.Has(gateway) && 2*silent > len(allocation.Gateways) {
			return false
		}
	}
	return true
}

// maxServingSilence is the time after which a gateway that hears nothing does not serve any
// more, by the rule MaxIsolation.
func (l *Ledger) maxServingSilence() time.Duration {
	return max(presumedStoppedAfter, isolationMultiple*l.view.Inventory.Rules.MaxIsolation)
}

// isSilent reports whether the gateway was removed from the configuration and has sent
// nothing for so long that the rule MaxIsolation no longer lets it serve.
func (l *Ledger) isSilent(gateway string, now time.Time) bool {
	if l.allocations[len(l.allocations)-1].Has(gateway) {
		return false
	}
	return now.Sub(l.peer(gateway, now).lastHeard) > l.maxServingSilence()
}

// earlierLoansEnded reports whether no loan of an earlier incarnation of this gateway is
// in use any more: every other gateway has acknowledged this incarnation or exited and
// the loans that depend on an earlier incarnation have ended there, or this incarnation
// has run for longer than the longest loan.
func (l *Ledger) earlierLoansEnded(now time.Time) bool {
	longest := share.IdleLoanDuration(l.gatewayCount()) + share.LenderMargin
	if l.faults.skipStartWait || now.Sub(l.startTime) > longest {
		return true
	}
	for _, g := range l.otherGateways() {
		if p := l.peer(g, now); !p.released || now.Before(p.loansUntil) {
			return false
		}
	}
	return true
}

// earlierVersionsUnused reports whether no gateway can follow a version of the
// configuration older than those that this incarnation knows. That holds if another
// gateway says so, if no other gateway uses its base share yet, or if this incarnation
// has run for so long that a gateway which follows an older version would have stopped.
func (l *Ledger) earlierVersionsUnused(now time.Time) bool {
	if l.faults.raiseBaseAtOnce || now.Sub(l.startTime) > l.maxServingSilence() {
		return true
	}
	allInactive := true
	for _, g := range l.otherGateways() {
		p := l.peer(g, now)
		if p.oldestVersion >= l.allocations[0].Version {
			return true
		}
		allInactive = allInactive && p.released && p.oldestVersion == 0
	}
	return allInactive
}
