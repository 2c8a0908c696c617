package serve

import (
	"context"
	"errors"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// errKeyWithdrawn is why a running request was cancelled.
var errKeyWithdrawn = errors.New("the key was withdrawn")

// watchKey ends a running request when its key stops working. It returns when
// the request ends.
func (s *Server) watchKey(ctx context.Context, key fleet.KeyDigest, end context.CancelCauseFunc) {
	for {
		snap := s.board.Config.Load()
		if !keyWorks(snap.Value.View, key) {
			end(errKeyWithdrawn)
			return
		}
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// keyWorks tells whether requests with the key may run.
func keyWorks(view *fleet.View, key fleet.KeyDigest) bool {
	_, err := Authenticate(view, &Request{Key: key, HasKey: true})
	return err == nil
}

// withdrawn returns the error of a request whose key was withdrawn while it
// ran, or err.
func withdrawn(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return err
	}
	return result.New(result.KeyWithdrawn, result.From(err).Verdict)
}
