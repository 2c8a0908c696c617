package jobs

import (
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
)

// ageMargin is added to a route's MaxAge because the store's clock is known only
// approximately. A job may be given up late, but not early.
const ageMargin = time.Second

// Reasons to give up items, as they are logged.
const (
	routeRemoved      = "the route was removed"
	jobTooOld         = "the job is too old"
	attemptsExhausted = "every attempt failed"
)

// startableRoute returns the route of a job whose items may start. Otherwise it returns nil, with the
// reason for which the configuration in force allows that they are given up, or "" without a
// configuration.
func (c *Controller) startableRoute(o *ownedJob) (route *catalog.Route, reason string) {
	cat := c.board.Catalog.Value()
	if cat == nil {
		return nil, ""
	}
	route = cat.RouteByName(o.head.Route)
	switch {
	case route == nil:
		return nil, routeRemoved
	case route.MaxAge > 0 && c.board.StoreNow()-o.head.Submitted > route.MaxAge+ageMargin:
		return nil, jobTooOld
	}
	return route, ""
}

// isExhausted reports whether the item failed as often as the route allows.
func (s *itemState) isExhausted(route *catalog.Route) bool {
	return s.failedAttempts > 0 && s.failedAttempts >= route.MaxAttempts
}

// giveUpItems gives up waiting items that the configuration allows to be given up. The job
// may have been accepted under a newer configuration than this daemon knows, or a newer one
// may allow more, so that each of these decisions needs a confirmation.
func (c *Controller) giveUpItems() {
	for _, o := range c.owned {
		if !c.ownsWaitingItems(o) {
			continue
		}
		// The time of the read is loaded before the configuration, which is then that of the
		// read or newer.
		readSentAt, now := c.board.ConfigRead.Value().SentAt, clock.Now()
		route, reason := c.startableRoute(o)
		if o.giveUp.Confirm(reason != "", readSentAt, now) {
			c.giveUpWaiting(o, reason, func(*itemState) bool { return true })
		}
		if route == nil {
			continue
		}
		c.giveUpWaiting(o, attemptsExhausted, func(s *itemState) bool {
			return s.giveUp.Confirm(s.isExhausted(route), readSentAt, now)
		})
	}
}

// ownsWaitingItems reports whether this daemon owns the job, the job is open and items of it wait.
func (c *Controller) ownsWaitingItems(o *ownedJob) bool {
	return len(o.waiting) > 0 && o.head.IsOpen() && o.head.Owner == c.self.Incarnation
}

// giveUpWaiting gives up the selected items of those that wait.
func (c *Controller) giveUpWaiting(o *ownedJob, reason string, selected func(*itemState) bool) {
	o.waiting = slices.DeleteFunc(o.waiting, func(s *itemState) bool {
		if !selected(s) {
			return false
		}
		c.log.Warn().Str("item", s.item().ID).Str("job", o.key.ID).Str("reason", reason).Int("failed", s.failedAttempts).
			Dur("reading_age", clock.Since(c.board.ConfigRead.Value().SentAt)).Msg("item is given up")
		o.finished = append(o.finished, s.result(job.GivenUp))
		return true
	})
}
