package rollout

import (
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// Decision is what the owner of a roll-out does next.
type Decision int

const (
	// Stay keeps the stage.
	Stay Decision = iota
	// Switch sends all requests to the new version.
	Switch
	// Complete ends the roll-out with the new version.
	Complete
	// Revert ends it with the old version.
	Revert
)

const (
	// MinCanary is the shortest time of the canary stage. A daemon that knew of no order may
	// use the old engines as much longer than Validity.
	MinCanary = 1500 * time.Millisecond
	// validityMargin covers the time between the end of the validity of a stage at another
	// daemon and the end of the requests that it then cuts.
	validityMargin = 300 * time.Millisecond
	// writeMargin is the time for the last transaction: a slow store takes 1 s.
	writeMargin = 1200 * time.Millisecond
	// finalTime is the time before the deadline up to which the new version is watched. If the
	// owner is lost just then, another daemon can still write the final state in time.
	finalTime = 2700 * time.Millisecond
	// takeOverTime is the time in which another daemon takes over from an owner that is lost.
	takeOverTime = 2 * time.Second
	// maxSwitchFraction bounds the part of an order's duration that is kept for the switch
	// stage, so that the canary stage of a short order gets answers.
	maxSwitchFraction = 0.55
)

// Situation is what the owner of a roll-out knows.
type Situation struct {
	Stage blackboard.RolloutStage
	// Duration is that of the order.
	Duration time.Duration
	// IsWanted reports whether the operators' table still has the order.
	IsWanted bool
	// IsKnown reports whether the configuration has the service.
	IsKnown bool
	// IsInUse reports whether the new version is the one in use.
	IsInUse bool
	// InStage is the time since the stage was written, by the clock of the owner, or since
	// it became the owner. Left is the time to the deadline; it is negative afterwards.
	InStage, Left time.Duration
	// LongestRequest is the longest time of a request that cannot move to another engine.
	LongestRequest time.Duration
	// OldRequests is the number of requests that daemons are known to have at old engines.
	OldRequests int
	Evidence
}

// Next returns what the owner does next, and why.
func Next(s *Situation) (decision Decision, reason string) {
	switch {
	case !s.IsWanted:
		return Revert, "the order was removed or replaced"
	case s.Duration <= 0:
		return Revert, "the order has no duration"
	case !s.IsKnown:
		return Revert, "the configuration has no such service"
	case s.IsInUse:
		return Complete, "the version was in use already"
	case s.Evidence.IsBad():
		return Revert, "the new version has more bad answers than the old one"
	case s.Stage == blackboard.RolloutSwitch:
		return s.nextInSwitch()
	default:
		return s.nextInCanary()
	}
}

// switchTime returns the time before the deadline at which the new version gets all requests:
// as late as possible, since a version that turns bad later has then got few requests.
func (s *Situation) switchTime() time.Duration {
	wanted := max(Validity+takeOverTime, s.LongestRequest) + validityMargin + writeMargin
	return max(min(wanted, time.Duration(maxSwitchFraction*float64(s.Duration))), s.latestSwitch())
}

// CanaryTime returns how long the canary stage takes.
func (s *Situation) CanaryTime() time.Duration { return max(s.Duration-s.switchTime(), MinCanary) }

// latestSwitch returns the time before the deadline after which it is too late to switch.
func (s *Situation) latestSwitch() time.Duration { return Validity + validityMargin + writeMargin/2 }

func (s *Situation) nextInCanary() (Decision, string) {
	switch {
	case s.Left < Validity+validityMargin:
		return Revert, "there was no time left for the new version"
	case s.InStage < MinCanary || s.Left > s.switchTime():
		return Stay, ""
	case s.IsEnough() && !s.IsSuspect():
		return Switch, "the new version answers as well as the old one"
	case s.Left > s.latestSwitch():
		return Stay, ""
	case s.NewEngines == 0:
		return Revert, "no engine of the new version registered"
	case s.IsSuspect():
		return Revert, "the new version may have more bad answers than the old one"
	case s.hasSomeEvidence():
		return Switch, "the new version answers as well as the old one, as far as the few requests show"
	default:
		return Revert, "the new version gave too few answers"
	}
}

// hasSomeEvidence reports whether the few answers are enough because the service has few
// requests: a tenth of them went to the new version.
func (s *Situation) hasSomeEvidence() bool {
	old, new := s.Total(blackboard.OldVersion), s.Total(blackboard.NewVersion)
	return float64(new[answered]) >= min(float64(old[sent])/20, minSwitchAnswers/2)
}

func (s *Situation) nextInSwitch() (Decision, string) {
	isOver := s.InStage >= Validity+validityMargin && s.OldRequests == 0
	switch {
	case isOver && s.Left <= finalTime:
		return Complete, "no request uses the old version any more"
	case s.Left <= 0 && s.InStage >= Validity+validityMargin && s.OldRequests > 0:
		return Revert, "requests still ran at the old version at the deadline"
	case s.NewEngines == 0:
		return Revert, "no engine of the new version is left"
	default:
		return Stay, ""
	}
}
