package rollout

import (
	"math"

	"github.com/baobablanding/baobablanding/blackboard"
)

// Evidence is what all daemons counted of the two versions since the order.
type Evidence struct {
	// Routes holds the figures by route and version.
	Routes map[string][2]blackboard.AnswerFigures
	// Engines holds the figures of the new engines by id.
	Engines map[string]blackboard.AnswerFigures
	// NewEngines is the number of new engines that may get requests in this stage.
	NewEngines int
	// Daemons is the number of daemons that report, DaemonsWithAnswers of those that saw an
	// answer of a new engine, and DaemonsWithBad of those that saw a bad one.
	Daemons, DaemonsWithAnswers, DaemonsWithBad int
}

// Figures of blackboard.AnswerFigures by their index.
const (
	sent     = 0
	answered = 1
	bad      = 2
)

const (
	// baseBadFraction is a fraction of bad answers that no version is blamed for, beside
	// one and a half times that of the old version.
	baseBadFraction = 0.03
	oldBadFactor    = 1.5
	// badProbability is the probability, if the new version were no worse, of as many bad
	// answers from which on it is bad. The evidence is looked at up to 100 times.
	badProbability = 5e-4
	// suspectProbability is the same for a new version that is to get all requests now.
	suspectProbability = 5e-3
	// minBadAnswers is the number of bad answers below which no version is bad.
	minBadAnswers = 3
	// minSwitchAnswers is the number of answers of new engines after which these may get all
	// requests, and minRouteAnswers the number for each route on which the old version got at
	// least busyRouteSends requests.
	minSwitchAnswers = 12
	minRouteAnswers  = 2
	busyRouteSends   = 25
)

// Total returns the sum of the figures of all routes for the version.
func (e *Evidence) Total(version int) blackboard.AnswerFigures {
	var total blackboard.AnswerFigures
	for _, route := range e.Routes {
		total = total.Add(route[version])
	}
	return total
}

// IsBad reports whether the answers show that the new version is bad.
func (e *Evidence) IsBad() bool { return e.exceeds(badProbability) }

// IsSuspect reports whether the answers are too bad to send all requests to the new version.
func (e *Evidence) IsSuspect() bool { return e.exceeds(suspectProbability) }

// exceeds reports whether on a route, or on all together, the new version has more bad
// answers than it would have with the given probability if it were no worse than the old one,
// and these do not come from one engine or one daemon alone.
func (e *Evidence) exceeds(probability float64) bool {
	weight := e.breadth()
	if weight == 0 {
		return false
	}
	if isWorse(e.Total(blackboard.OldVersion), e.Total(blackboard.NewVersion), weight, probability) {
		return true
	}
	for _, route := range e.Routes {
		if isWorse(route[blackboard.OldVersion], route[blackboard.NewVersion], weight, probability) {
			return true
		}
	}
	return false
}

// breadth returns the weight of the bad answers, from 0 if one engine, one daemon or few of
// many engines gave them to 1 if no engine gave more than half of them. Engines that crash or
// fail are few, while a bad version is bad at all engines that run it.
func (e *Evidence) breadth() float64 {
	if e.DaemonsWithBad < min(2, e.DaemonsWithAnswers) {
		return 0
	}
	var badEngines, engines int
	var all, worst int64
	for _, engine := range e.Engines {
		all += engine[bad]
		worst = max(worst, engine[bad])
		if engine[answered] > 0 {
			engines++
		}
		if engine[bad] > 0 {
			badEngines++
		}
	}
	if all == 0 {
		return 0
	}
	if e.NewEngines < 2 {
		return 1
	}
	got := e.Total(blackboard.NewVersion)[answered]
	if expected := min(float64(engines), float64(got)/4); float64(badEngines) < expected/2 {
		return 0
	}
	return min(1, 2*float64(all-worst)/float64(all))
}

// isWorse reports whether the new version has more bad answers than it would have with the
// given probability if it were no worse. The weight reduces their number.
func isWorse(old, new blackboard.AnswerFigures, weight, probability float64) bool {
	count := int(float64(new[bad])*weight + 0.5)
	if count < minBadAnswers {
		return false
	}
	oldFraction := (float64(old[bad]) + 0.5) / (float64(old[answered]) + 5)
	p := min(oldBadFactor*oldFraction+baseBadFraction, 0.99)
	if old[answered] == 0 {
		p = 2 * baseBadFraction
	}
	return atLeast(int(new[answered]), count, p) < probability
}

// atLeast returns the probability of at least k of n events that have the probability p each.
func atLeast(n, k int, p float64) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		lnChoose, _ := math.Lgamma(float64(n + 1))
		a, _ := math.Lgamma(float64(i + 1))
		b, _ := math.Lgamma(float64(n - i + 1))
		term := math.Exp(lnChoose - a - b + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if term < 1e-12 && float64(i) > float64(n)*p {
			break
		}
	}
	return min(sum, 1)
}

// IsEnough reports whether the new version may get all requests as far as the number of its
// answers goes: by two engines and two daemons if there are as many, on each route with
// traffic.
func (e *Evidence) IsEnough() bool {
	if e.Total(blackboard.NewVersion)[answered] < minSwitchAnswers || e.DaemonsWithAnswers < min(2, e.Daemons) {
		return false
	}
	engines := 0
	for _, engine := range e.Engines {
		if engine[answered] > 0 {
			engines++
		}
	}
	if engines < min(2, e.NewEngines) {
		return false
	}
	for _, route := range e.Routes {
		if route[blackboard.OldVersion][sent] >= busyRouteSends && route[blackboard.NewVersion][answered] < minRouteAnswers {
			return false
		}
	}
	return true
}
