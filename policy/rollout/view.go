// Package rollout decides how a new version of the engines of a service replaces the old
// one: which engines a request may use, how many requests the new version may get before
// it is trusted, what its answers show, and the next stage.
package rollout

import (
	"math"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// Validity is how long a daemon uses a stage after it sent the read that shows it. A daemon
// reads every 0.3 s, and a call of the store may take 1.5 s.
const Validity = 2200 * time.Millisecond

// newVersionGrace is how much longer a daemon uses the new engines in the stage in which
// these are the only ones. Other daemons may have gone back to the old version meanwhile,
// which does no harm to the new engines.
const newVersionGrace = 1500 * time.Millisecond

// View is what one request sees of the versions of its service.
type View struct {
	versions   *blackboard.ServiceVersions
	validUntil clock.Instant
	now        clock.Instant
}

// none is used for a service of which no version is known.
var none = new(blackboard.ServiceVersions)

// NewView returns the view of the service at the instant now, or nil if the settings do not
// ask for roll-outs: all engines may be used then.
func NewView(board *blackboard.EntryBoard, service string, now clock.Instant) *View {
	validUntil := clock.Instant(board.RolloutsValidUntil.Load()) // first, since it must not be newer than the versions
	rollouts := board.Rollouts.Value()
	if rollouts == nil {
		return nil
	}
	versions := rollouts.ByService[service]
	if versions == nil {
		versions = none
	}
	return &View{versions: versions, validUntil: validUntil, now: now}
}

// IsUsed reports whether requests outside the canary share may be sent to the engine.
func (v *View) IsUsed(e *blackboard.Engine) bool {
	if v.versions == none {
		return false
	}
	if v.versions.Stage == blackboard.RolloutSwitch {
		return e.Version == v.versions.To && !v.versions.Stopped && v.now < v.validUntil.Add(newVersionGrace)
	}
	return e.Version == v.versions.InUse && v.now < v.validUntil
}

// canaryFilter returns whether an engine gets a request of the canary share: it is chosen for
// that and has no more requests than an old engine has on average. A version is compared at
// equal load, and may be bad only under load.
func (v *View) canaryFilter(engines []*blackboard.Engine) func(*blackboard.Engine) bool {
	requests, slots := 0, 0
	for _, e := range engines {
		if e.Version == v.versions.InUse && e.IsUsable() {
			requests += e.RequestCount()
			slots += e.Slots
		}
	}
	return func(e *blackboard.Engine) bool {
		if !v.versions.Canary[e.ID] {
			return false
		}
		usual := float64(requests) * float64(e.Slots) / float64(max(slots, 1))
		return float64(e.RequestCount()) < max(1, math.Ceil(usual))
	}
}

// Admit counts a request that reached the service. It counts neither retries nor later runs
// of a batch item.
func (v *View) Admit() {
	if v != nil && v.versions.Counts != nil {
		v.versions.Counts.Admitted.Add(1)
	}
}

// Choose calls choose, which chooses one of the service's engines by q, with the engines that the request may
// use. A request that no engine got yet may go to a canary engine if this daemon's share
// allows that; all others stay with the version in use, so that what fails at a new engine
// goes on at an old one.
func (v *View) Choose(q *placement.Query, engines []*blackboard.Engine, isFirst bool, choose func() *blackboard.Engine) *blackboard.Engine {
	if v == nil {
		return choose()
	}
	if isFirst && v.takeCanary() {
		q.Allowed = v.canaryFilter(engines)
		if e := choose(); e != nil {
			return e
		}
		v.versions.Counts.CanarySends.Add(-1)
	}
	q.Allowed = v.IsUsed
	return choose()
}

// Duty says what becomes of a request that runs at an engine.
type Duty int

const (
	// Keep means that the request goes on.
	Keep Duty = iota
	// Move means that it goes on elsewhere if its kind allows that.
	Move
	// Cut means that it ends at once: the engine may be stopped at any time.
	Cut
)

// Duty returns what becomes of a request that runs at the engine, and the instant at which
// that may change without a new snapshot.
func (v *View) Duty(e *blackboard.Engine) (Duty, clock.Instant) {
	switch {
	case v == nil || v.versions == none || e.Version != v.versions.InUse:
		return Keep, 0
	case v.now >= v.validUntil:
		return Cut, 0
	case v.versions.Stage == blackboard.RolloutSwitch && v.versions.To != v.versions.InUse:
		return Move, v.validUntil
	default:
		return Keep, v.validUntil
	}
}
