package rollouts

import (
	"maps"
	"reflect"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/rollout"
)

// serviceState is what this daemon knows of the versions of one service. It belongs to the
// goroutine of Run.
type serviceState struct {
	inUse    string
	order    int64                     // version of the order's row, or 0
	counts   *blackboard.RolloutCounts // of the order, or nil
	hasSlack bool                      // the daemon ran before the order was written
	badSince clock.Instant             // since when the known answers show a bad version, or 0

	inUseOf inUseQuery // for which inUse was last found by the engines

	ownership
}

// inUseQuery is what the version in use depends on if no roll-out tells it.
type inUseQuery struct {
	engines        uint64 // version of the section Engines
	last, excluded string
}

// updateServices updates the state of each service with engines, an order or a record.
func (c *Controller) updateServices(now clock.Instant) {
	snap, orders := c.board.Engines.Load(), c.board.RolloutOrders.Value()
	engines := snap.Value
	if c.enginesSeen != snap.Version {
		c.enginesSeen = snap.Version
		for _, e := range engines.All {
			c.addService(e.Service)
		}
	}
	for service := range orders.ByService {
		c.addService(service)
	}
	c.mu.Lock()
	records := maps.Clone(c.records)
	c.mu.Unlock()
	for service := range records {
		c.addService(service)
	}
	for service, s := range c.services {
		r, ok := records[service]
		s.update(snap.Version, engines.OfService(service), orders.ByService[service], r, ok, now)
		if s.counts != nil {
			c.updateCounts(service, s, now)
		}
	}
}

func (c *Controller) addService(service string) {
	if c.services[service] == nil {
		c.services[service] = new(serviceState)
	}
}

// update updates the order and the version in use.
func (s *serviceState) update(version uint64, engines []*blackboard.Engine, order *blackboard.RolloutOrder, r versionedRecord, hasRecord bool, now clock.Instant) {
	s.observeRecord(r, now)
	switch {
	case hasRecord && !r.isFinal():
		s.inUse, s.inUseOf = r.InUse, inUseQuery{}
		s.setOrder(r.Order, order)
	case order != nil && !(hasRecord && r.isOf(order)):
		s.findInUse(inUseQuery{version, s.lastInUse(r, hasRecord), order.To}, engines)
		s.setOrder(order.Version, order)
	default:
		excluded := ""
		if r.State == stateReverted {
			excluded = r.To
		}
		s.findInUse(inUseQuery{version, s.lastInUse(r, hasRecord), excluded}, engines)
		s.setOrder(0, nil)
	}
}

// findInUse finds the version in use by the engines, unless nothing changed.
func (s *serviceState) findInUse(q inUseQuery, engines []*blackboard.Engine) {
	if s.inUseOf != q {
		s.inUseOf = q
		s.inUse = rollout.VersionInUse(engines, q.last, q.excluded)
	}
}

// lastInUse returns the version that was in use last.
func (s *serviceState) lastInUse(r versionedRecord, hasRecord bool) string {
	if hasRecord {
		return r.InUse
	}
	return s.inUse
}

// setOrder begins to count for another order.
func (s *serviceState) setOrder(version int64, order *blackboard.RolloutOrder) {
	if s.order == version {
		return
	}
	s.order, s.counts, s.hasSlack, s.badSince = version, nil, false, 0
	if version != 0 {
		s.counts = new(blackboard.RolloutCounts)
		s.hasSlack = order != nil && order.Version == version && order.NotBefore != 0
	}
}

// updateCounts adds the routes and engines that have no counts yet, and updates what all
// daemons' counts show: the usual times of the old version, and whether the new one is bad.
func (c *Controller) updateCounts(service string, s *serviceState, now clock.Instant) {
	routes := make(map[string]*blackboard.RouteCounts)
	if old := s.counts.Routes.Load(); old != nil {
		maps.Copy(routes, *old)
	}
	if cat := c.board.Catalog.Value(); cat != nil {
		for _, name := range cat.RoutesOfService(service) {
			if routes[name] == nil {
				routes[name] = new(blackboard.RouteCounts)
			}
		}
	}
	if old := s.counts.Routes.Load(); old == nil || len(*old) != len(routes) {
		s.counts.Routes.Store(&routes)
	}
	c.updateEngineCounts(service, s)
	totals := c.totals(service, s)
	for name, route := range routes {
		first, interval := rollout.UsualTimes(totals.Routes[name][blackboard.OldVersion])
		route.FirstEvent.Store(int64(first))
		route.Interval.Store(int64(interval))
	}
	evidence := evidenceOf(totals, c.countNew(service))
	switch {
	case !evidence.IsBad():
		s.badSince = 0
	case s.badSince == 0:
		s.badSince = now
		c.logBad(service, &evidence)
	}
}

// logBad logs that this daemon finds the new version bad.
func (c *Controller) logBad(service string, evidence *rollout.Evidence) {
	old, new := evidence.Total(blackboard.OldVersion), evidence.Total(blackboard.NewVersion)
	line := c.log.Warn().Str("service", service).Int64("old_answered", old[1]).Int64("old_bad", old[2]).
		Int64("new_answered", new[1]).Int64("new_bad", new[2]).Int("daemons_with_bad", evidence.DaemonsWithBad)
	for name, route := range evidence.Routes {
		line = line.Int64("new_bad_on_"+name, route[blackboard.NewVersion][2])
	}
	line.Msg("new version of the engines has more bad answers than the old one")
}

// countNew returns the number of usable engines of the version that the order of the service
// names.
func (c *Controller) countNew(service string) int {
	n := 0
	versions := c.board.Rollouts.Value().ByService[service]
	for _, e := range c.board.Engines.Value().OfService(service) {
		if versions != nil && e.Version == versions.To && e.IsUsable() {
			n++
		}
	}
	return n
}

// evidenceOf returns the totals as evidence.
func evidenceOf(t blackboard.RolloutTotals, newEngines int) rollout.Evidence {
	return rollout.Evidence{
		Routes: t.Routes, Engines: t.Engines, NewEngines: newEngines,
		Daemons: t.Daemons, DaemonsWithAnswers: t.DaemonsWithAnswers, DaemonsWithBad: t.DaemonsWithBad,
	}
}

// stops reports whether this daemon sends nothing to the new version: at once while the old
// one serves the others, and after half the time for going back once there is no other. The
// owner has then not written that the roll-out is reverted.
func (c *Controller) stops(s *serviceState, stage blackboard.RolloutStage) bool {
	if s.badSince == 0 {
		return false
	}
	return stage == blackboard.RolloutCanary || clock.Since(s.badSince) > c.bounds.RollbackTime/2
}

func (c *Controller) updateEngineCounts(service string, s *serviceState) {
	engines := make(map[string]*blackboard.AnswerCounts)
	if old := s.counts.Engines.Load(); old != nil {
		maps.Copy(engines, *old)
	}
	before := len(engines)
	for _, e := range c.board.Engines.Value().OfService(service) {
		if engines[e.ID] == nil {
			engines[e.ID] = new(blackboard.AnswerCounts)
		}
	}
	if len(engines) != before {
		s.counts.Engines.Store(&engines)
	}
}

// totals returns what this and the other daemons counted during the order.
func (c *Controller) totals(service string, s *serviceState) blackboard.RolloutTotals {
	versions := &blackboard.ServiceVersions{Order: s.order, InUse: s.inUse, Counts: s.counts}
	if published := c.board.Rollouts.Value().ByService[service]; published != nil {
		versions.To, versions.Stage = published.To, published.Stage
	}
	totals := rollout.OwnTotals(versions, c.board.Engines.Value().OfService(service))
	if peers := c.board.PeerRollouts.Value()[service]; peers != nil && peers.Order == s.order {
		totals = rollout.AddTotals(totals, *peers)
	}
	return totals
}

// publish publishes the versions of all services if they changed.
func (c *Controller) publish() {
	next := &blackboard.Rollouts{ByService: make(map[string]*blackboard.ServiceVersions, len(c.services))}
	for service, s := range c.services {
		next.ByService[service] = c.versions(service, s)
	}
	if !reflect.DeepEqual(versionsOf(next), versionsOf(c.board.Rollouts.Value())) {
		c.board.Rollouts.Publish(next)
	}
}

// versionsOf returns copies of the versions in which the counts are left out of comparisons.
// Those of one order are always the same.
func versionsOf(r *blackboard.Rollouts) map[string]blackboard.ServiceVersions {
	versions := make(map[string]blackboard.ServiceVersions, len(r.ByService))
	for service, v := range r.ByService {
		versions[service] = *v
		entry := versions[service]
		entry.Counts = nil
		versions[service] = entry
	}
	return versions
}

// versions returns what is published of the service.
func (c *Controller) versions(service string, s *serviceState) *blackboard.ServiceVersions {
	v := &blackboard.ServiceVersions{Order: s.order, InUse: s.inUse, Counts: s.counts}
	r, ok := c.record(service)
	if !ok || r.isFinal() {
		if order := c.board.RolloutOrders.Value().ByService[service]; order != nil && s.order != 0 {
			v.To = order.To
		}
		return v
	}
	v.Stage, v.To, v.Share = r.stage(), r.To, rollout.DaemonShare(c.bounds.Share)
	v.Slack = rollout.DaemonPhase(c.board.Roster.Value().Self.Incarnation, r.Order)
	if s.hasSlack {
		v.Slack += rollout.DaemonSlack(c.bounds.Slack, max(r.Daemons, c.board.Roster.Value().Size()))
	}
	v.Stopped = c.stops(s, v.Stage)
	if v.Stage == blackboard.RolloutCanary {
		since := c.board.StoreNow() - time.Duration(r.StartedMs)*time.Millisecond
		v.Canary = rollout.CanaryEngines(c.board.Engines.Value().OfService(service), v, r.Canaries, rollout.CanaryWindow(since))
	}
	return v
}
