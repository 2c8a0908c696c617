package loads

import (
	"maps"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/capacity"
)

const (
	// paceKnownFor is how long the engines of a service are compared by speed after one of
	// them reported its pace.
	paceKnownFor = 30 * time.Second
	// sampleAge is the age up to which a measurement of an engine is used or reported.
	sampleAge = 300 * time.Millisecond
	// maxStatesOfDaemon and maxStatesOfSum bound the engines whose state is in one report.
	// Reports take turns if there are more.
	maxStatesOfDaemon, maxStatesOfSum = 8, 32
)

// engineEstimate is what is learned of one start of an engine.
type engineEstimate struct {
	capacity.Estimate
	sample    capacity.Sample // the last one of this daemon
	sampledAt clock.Instant
	eventAt   clock.Instant // of the last event that was in a sample
	isSlow    bool          // as it was logged last
	loggedAt  clock.Instant
}

// estimates holds what the daemon learned of the engines' speed. It belongs to the holder of
// Controller.mu.
type estimates struct {
	byEngine  map[*blackboard.EngineLoad]*engineEstimate
	paceUntil map[string]clock.Instant // by service: until when its engines are compared
	median    map[string]float64       // by service: median pace
}

func newEstimates() estimates {
	return estimates{
		byEngine: make(map[*blackboard.EngineLoad]*engineEstimate), paceUntil: make(map[string]clock.Instant), median: make(map[string]float64),
	}
}

// of returns the estimate of the engine.
func (s *estimates) of(e *blackboard.Engine) *engineEstimate {
	estimate := s.byEngine[e.Load]
	if estimate == nil {
		estimate = new(engineEstimate)
		s.byEngine[e.Load] = estimate
	}
	return estimate
}

// observePace records a pace that an engine reported to this or another daemon.
func (s *estimates) observePace(e *blackboard.Engine, percent int64, now clock.Instant) {
	s.of(e).ObservePace(float64(percent), now)
	s.paceUntil[e.Service] = now.Add(paceKnownFor)
}

// isCompared reports whether the engines of the service are compared by speed.
func (s *estimates) isCompared(service string, now clock.Instant) bool {
	return now < s.paceUntil[service]
}

// publishPaced publishes the services whose engines are compared by speed if they changed. The
// caller holds c.mu.
func (c *Controller) publishPaced(now clock.Instant) {
	paced := make(map[string]bool)
	for service := range c.estimates.paceUntil {
		if c.estimates.isCompared(service, now) {
			paced[service] = true
		}
	}
	if !maps.Equal(paced, c.board.PacedServices.Value()) {
		c.board.PacedServices.Publish(paced)
		c.log.Info().Strs("services", slices.Sorted(maps.Keys(paced))).Msg("services whose engines report their pace changed")
	}
}

// applyStates records what another daemon measured of the engines.
func (s *estimates) applyStates(engines *blackboard.Engines, states map[string]peer.EngineState, now clock.Instant) {
	for id, state := range states {
		e := engines.ByID(id)
		if e == nil {
			continue
		}
		if state[peer.StatePace] > 0 {
			s.observePace(e, state[peer.StatePace], now)
		}
		if state[peer.StateBand] > 0 && s.isCompared(e.Service, now) {
			sample := capacity.Sample{Band: int(state[peer.StateBand] - 1), Percent: float64(state[peer.StateInterval])}
			s.of(e).ObserveInterval(sample, s.medianPace(e.Service), now)
		}
	}
}

// medianPace returns the median pace of the service's engines in percent.
func (s *estimates) medianPace(service string) float64 {
	if m := s.median[service]; m > 0 {
		return m
	}
	return 100
}

// update measures all engines and publishes how slow they are.
func (s *estimates) update(engines *blackboard.Engines, now clock.Instant) {
	if len(s.byEngine) > len(engines.All) {
		s.forgetGone(engines)
	}
	services := make(map[string]bool)
	for _, e := range engines.All {
		if pace := e.Load.OwnPace.Requests(now); pace > 0 {
			s.observePace(e, pace, now)
		}
		services[e.Service] = true
	}
	for service := range services {
		if s.isCompared(service, now) {
			s.updateService(service, engines.OfService(service), now)
			continue
		}
		for _, e := range engines.OfService(service) {
			e.Load.SetSlowness(capacity.Curve{})
		}
	}
}

// forgetGone drops the estimates of engines that are not registered any more.
func (s *estimates) forgetGone(engines *blackboard.Engines) {
	present := make(map[*blackboard.EngineLoad]bool, len(engines.All))
	for _, e := range engines.All {
		present[e.Load] = true
	}
	maps.DeleteFunc(s.byEngine, func(load *blackboard.EngineLoad, _ *engineEstimate) bool { return !present[load] })
}

// updateService measures the engines of one service and publishes how slow they are.
func (s *estimates) updateService(service string, engines []*blackboard.Engine, now clock.Instant) {
	paces := make([]float64, len(engines))
	estimates := make([]*engineEstimate, len(engines))
	var intervals []float64
	for i, e := range engines {
		estimates[i] = s.of(e)
		paces[i] = estimates[i].Pace(now)
		if interval := e.Load.Health.MeanInterval(now); interval > 0 {
			intervals = append(intervals, float64(interval))
		}
	}
	median, _ := capacity.Median(paces)
	s.median[service] = median
	if usual, ok := capacity.Median(intervals); ok {
		for i, e := range engines {
			estimates[i].measure(e, usual, median, now)
		}
	}
	for i, e := range engines {
		curve := estimates[i].Curve(median, now)
		e.Load.SetSlowness(curve)
	}
}

const (
	// slowFrom and slowUntil are how many times slower than the median engine an engine is when
	// it is logged as slow, and as no longer slow.
	slowFrom, slowUntil = 1.5, 1.2
	// slowLogInterval is the shortest time between two such lines about one engine.
	slowLogInterval = 10 * time.Second
)

// logSlow logs the engines that became slow with the requests that they have, or are no longer
// slow. The caller holds c.mu.
func (c *Controller) logSlow(engines *blackboard.Engines, now clock.Instant) {
	for _, e := range engines.All {
		curve, known := e.Load.Slowness()
		estimate := c.estimates.byEngine[e.Load]
		if !known || estimate == nil || estimate.loggedAt != 0 && now.Sub(estimate.loggedAt) < slowLogInterval {
			continue
		}
		slowness := curve.Slowness(max(e.RequestCount(), 1), e.Slots)
		if estimate.isSlow && slowness > slowUntil || !estimate.isSlow && slowness < slowFrom {
			continue
		}
		estimate.isSlow, estimate.loggedAt = !estimate.isSlow, now
		c.log.Info().Str("engine", e.ID).Bool("slow", estimate.isSlow).Float64("slowness", slowness).Float64("pace", estimate.Pace(now)).
			Int("engine_busy", e.RequestCount()).Msg("engine became slower than others, or no longer is")
	}
}

// measure records the inter-event interval that this daemon measured at the engine, unless no
// event came since the last sample. The usual interval and the median pace are those of the
// median engine.
func (estimate *engineEstimate) measure(e *blackboard.Engine, usual, medianPace float64, now clock.Instant) {
	eventAt := e.Load.Health.LastEventAt()
	interval := e.Load.Health.MeanInterval(now)
	if interval <= 0 || eventAt == estimate.eventAt || now.Sub(eventAt) > sampleAge {
		return
	}
	estimate.eventAt, estimate.sampledAt = eventAt, now
	estimate.sample = capacity.Sample{Band: capacity.Band(e.RequestCount(), e.Slots), Percent: 100 * float64(interval) / usual}
	estimate.ObserveInterval(estimate.sample, medianPace, now)
}

// ownStates returns what this daemon measured lately itself of engines that are compared by
// speed, or nil if there is nothing.
func (s *estimates) ownStates(engines []*blackboard.Engine, now clock.Instant) map[string]peer.EngineState {
	var states map[string]peer.EngineState
	for _, e := range engines {
		if !s.isCompared(e.Service, now) {
			continue
		}
		state := peer.EngineState{peer.StatePace: e.Load.OwnPace.Requests(now)}
		if estimate := s.byEngine[e.Load]; estimate != nil && estimate.sampledAt != 0 && now.Sub(estimate.sampledAt) <= sampleAge {
			state[peer.StateBand] = int64(estimate.sample.Band + 1)
			state[peer.StateInterval] = int64(min(max(estimate.sample.Percent, 1), peer.MaxStatePercent))
		}
		if state == (peer.EngineState{}) {
			continue
		}
		if states == nil {
			states = make(map[string]peer.EngineState)
		}
		states[e.ID] = state
	}
	return states
}

// addStates adds the states of a report to sum and returns it. It returns nil if both are nil.
func addStates(sum, states map[string]peer.EngineState) map[string]peer.EngineState {
	if sum == nil && len(states) > 0 {
		sum = make(map[string]peer.EngineState, len(states))
	}
	for id, state := range states {
		sum[id] = addState(sum[id], state)
	}
	return sum
}

// addState returns the state of one engine by the states of two reports: the mean pace, and
// the interval in the higher band, or the mean if both are in the same.
func addState(a, b peer.EngineState) peer.EngineState {
	sum := peer.EngineState{peer.StatePace: mean(a[peer.StatePace], b[peer.StatePace])}
	switch {
	case a[peer.StateBand] == b[peer.StateBand]:
		sum[peer.StateInterval] = mean(a[peer.StateInterval], b[peer.StateInterval])
	case a[peer.StateBand] > b[peer.StateBand]:
		sum[peer.StateInterval] = a[peer.StateInterval]
	default:
		sum[peer.StateInterval] = b[peer.StateInterval]
	}
	sum[peer.StateBand] = max(a[peer.StateBand], b[peer.StateBand])
	return sum
}

// mean returns the mean of two numbers of which 0 is unknown.
func mean(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return (a + b) / 2
}

// bounded returns at most limit of the entries. Successive turns choose different ones.
func bounded[V any](entries map[string]V, limit int, turn int64) map[string]V {
	if len(entries) <= limit {
		return entries
	}
	ids := slices.Sorted(maps.Keys(entries))
	chosen := make(map[string]V, limit)
	first := int(turn%int64(len(ids))) * limit
	for i := range limit {
		id := ids[(first+i)%len(ids)]
		chosen[id] = entries[id]
	}
	return chosen
}
