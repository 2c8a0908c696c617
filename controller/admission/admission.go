// Package admission keeps the online requests that wait for a place at an engine, and gives
// one after the other the turn to look for one when places become free.
package admission

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/admission"
)

// Controller writes the number of waiting requests of the blackboard's Places, and the
// ServiceRuns section.
type Controller struct {
	board    *blackboard.EntryBoard
	services map[string]*service // with waiting requests
	log      *log.Logger
	loggedAt clock.Instant // when refusals were last logged
	unlogged int           // refusals since then
}

// logInterval is the shortest time between two log lines about refusals.
const logInterval = time.Second

// service holds the waiting requests of a service.
type service struct {
	queue admission.Queue[*blackboard.WaitingRequest]
	turn  *blackboard.WaitingRequest // has the turn, or had it last and found no place; nil if none
	full  int64                      // Places.Freed when a turn began that found all engines full, or -1
}

// New returns a controller.
func New(board *blackboard.EntryBoard, logger *log.Logger) *Controller {
	return &Controller{board: board, services: make(map[string]*service), log: logger}
}

// Run gives turns until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	catalog, engines, phase := c.board.Catalog.Load(), c.board.Engines.Load(), c.board.Phase.Load()
	c.publishRuns()
	for {
		select {
		case w := <-c.board.Places.Joins:
			c.join(w)
		case <-c.board.Places.Wake:
		case <-catalog.Changed():
			catalog = c.board.Catalog.Load()
			c.publishRuns()
		case <-engines.Changed(): // one may be new
			engines = c.board.Engines.Load()
			c.board.Places.PlaceFreed()
		case <-phase.Changed(): // a request that may not begin any more leaves in its turn
			phase = c.board.Phase.Load()
			c.board.Places.PlaceFreed()
		case <-ctx.Done():
			return
		}
		c.giveTurns()
	}
}

// publishRuns publishes the ServiceRuns of the services in the catalog.
func (c *Controller) publishRuns() {
	cat := c.board.Catalog.Value()
	if cat == nil {
		return
	}
	old := c.board.ServiceRuns.Value()
	next := make(map[string]*blackboard.ServiceRuns)
	for name := range cat.Services() {
		if next[name] = old[name]; next[name] == nil {
			next[name] = new(blackboard.ServiceRuns)
		}
	}
	c.board.ServiceRuns.Publish(next)
}

// join takes a request into its queue, or refuses it.
func (c *Controller) join(w *blackboard.WaitingRequest) {
	s := c.services[w.Service]
	if s == nil {
		s = &service{full: -1}
		c.services[w.Service] = s
	}
	c.dropEnded(s)
	for _, refused := range s.queue.Join(w.Arrival, c.board.PlaceCapacity(w.Service), w) {
		refused.Value.Refuse(refused.Reason, refused.Forecast)
		c.logRefusal(w.Service, s.queue.Len(), &refused)
	}
}

// logRefusal logs a refusal with the state of the queue, unless one was logged lately. The
// request's own line is relay's.
func (c *Controller) logRefusal(service string, waiting int, r *admission.Refused[*blackboard.WaitingRequest]) {
	c.unlogged++
	now := clock.Now()
	if c.loggedAt != 0 && now.Sub(c.loggedAt) < logInterval {
		return
	}
	f := &r.Forecast
	c.log.Warn().Str("service", service).Str("reason", string(r.Reason)).Int("refused", c.unlogged).Int("waiting", waiting).
		Int("ahead", f.Ahead).Dur("predicted", f.Wait).Int("places", f.Capacity.Places).Dur("usual_run", f.Capacity.UsualRun).
		Float64("share", f.Capacity.Share).Int("own_running", f.Capacity.OwnRunning).Dur("counts_age", f.Capacity.Age).
		Msg("requests are refused because no engine has a place in time")
	c.loggedAt, c.unlogged = now, 0
}

// giveTurns gives the turn of each service that has requests, see giveTurn.
func (c *Controller) giveTurns() {
	waiting := 0
	for name, s := range c.services {
		c.dropEnded(s)
		c.giveTurn(s)
		waiting += s.queue.Len()
		if s.queue.Len() == 0 {
			delete(c.services, name)
		}
	}
	c.board.Places.Waiting.Store(int64(waiting))
}

// dropEnded removes the requests that no longer wait.
func (c *Controller) dropEnded(s *service) {
	for _, w := range s.queue.All() {
		ended, served := w.Ended()
		switch {
		case served:
			s.queue.Served(w)
		case ended:
			s.queue.Left(w)
		default:
			continue
		}
		if s.turn == w {
			s.turn = nil
		}
	}
}

// giveTurn gives the turn of one service, unless all engines were found full since a place
// became free. A selective request that found none lets others look.
func (c *Controller) giveTurn(s *service) {
	if s.turn != nil {
		switch {
		case s.turn.Looks():
			return
		case s.turn.Selective:
			s.queue.Requeue(s.turn.Arrival, s.turn)
		default:
			s.full = s.turn.LookedAt
		}
		s.turn = nil
	}
	freed := c.board.Places.Freed()
	next, ok := s.queue.Next()
	if !ok || s.full == freed || next.LookedAt == freed {
		return
	}
	next.LookedAt = freed
	if next.GiveTurn() {
		s.turn = next
	}
}
