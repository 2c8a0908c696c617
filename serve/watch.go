package serve

import (
	"context"
	"errors"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// Reasons why a running request is cancelled.
var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errConfigStale  = errors.New("the configuration cannot be confirmed as current")
)

// watch ends a running request when its key stops working, or when nobody
// vouches any longer that the key was not withdrawn. It returns when the request
// ends.
func (s *Server) watch(ctx context.Context, key fleet.KeyDigest, end context.CancelCauseFunc) {
	for {
		config, current := s.board.Config.Load(), s.board.Current.Load()
		switch {
		case !keyWorks(config.Value.View, key):
			end(errKeyWithdrawn)
			return
		case !current.Value:
			end(errConfigStale)
			return
		}
		select {
		case <-config.Changed():
		case <-current.Changed():
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

// ended returns the error of a request that watch has ended, or err.
func ended(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return result.New(result.KeyWithdrawn, result.From(err).Verdict)
	case errors.Is(cause, errConfigStale):
		return result.New(result.ConfigStale, result.From(err).Verdict)
	default:
		return err
	}
}
