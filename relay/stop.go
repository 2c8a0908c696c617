package relay

import (
	"context"
	"errors"
	"slices"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/result"
)

// ErrStopped is the cause with which the context of a request is cancelled that still runs when
// the daemon has to end.
var ErrStopped = result.New(result.Draining, result.NotRun).WithRetryAfter(otherDaemonRetryAfter).WithRetryElsewhere()

// StopError returns ErrStopped if ctx was cancelled because the daemon has to end, else nil.
func StopError(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != nil && errors.Is(cause, ErrStopped) {
		return ErrStopped
	}
	return nil
}

// checkDraining returns an error once the daemon finishes only what runs. What an engine got
// after that might not end before the daemon does, and its response would be cut.
func (s *Server) checkDraining() error {
	if s.board.Phase.Value() != blackboard.PhaseDraining {
		return nil
	}
	roster := s.board.Roster.Value()
	if !slices.ContainsFunc(roster.Members, func(p blackboard.Peer) bool { return p.Incarnation != roster.Self.Incarnation }) {
		return ErrStopped.WithRetryAfter(busyRetryAfter) // no other daemon to go to
	}
	return ErrStopped
}

// checkDraining returns an error if the request did not run and the daemon finishes only what
// runs.
func (r *activeRequest) checkDraining() error {
	if r.runs > 0 || r.responseStarted {
		return nil
	}
	return r.server.checkDraining()
}
