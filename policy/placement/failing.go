package placement

import (
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

const (
	// failureValidity is how long a failed answer counts against an engine. Then the engine
	// gets requests again, which show whether it still fails.
	failureValidity = 3 * time.Second
	// minFailureClaims is the number of daemons whose requests an engine must have failed: one
	// daemon, or one request, may be faulty itself.
	minFailureClaims = 2
	// maxFailingFraction is the largest part of a service's engines that may be a last choice
	// because of failed answers. If more fail, the requests are the likelier cause.
	maxFailingFraction = 1.0 / 3
)

// FailureClaim is what a daemon, or several of a data centre, say of an engine's answers.
type FailureClaim struct {
	// Daemons is the number of daemons whose last answer from the engine was a failure.
	Daemons int
	// FailedAt is when the last of these answers came, or 0, and WellAt when a request was
	// sent that the engine last answered well, or 0.
	FailedAt, WellAt clock.Instant
}

// FailsByAnswers reports whether the engine answers with failures, by the claims of several
// daemons. A good answer to a later request of any of them refutes all claims.
func FailsByAnswers(claims []FailureClaim, now clock.Instant) bool {
	var wellAt clock.Instant
	for _, c := range claims {
		wellAt = max(wellAt, c.WellAt)
	}
	daemons := 0
	for _, c := range claims {
		if c.FailedAt > wellAt && now.Sub(c.FailedAt) < failureValidity {
			daemons += min(c.Daemons, minFailureClaims)
		}
	}
	return daemons >= minFailureClaims
}

// MayAvoidFailing reports whether the given number of a service's engines may be a last choice
// because of failed answers.
func MayAvoidFailing(failing, engines int) bool {
	return float64(failing) <= maxFailingFraction*float64(engines)
}
