package serve

import (
	"context"
	"errors"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// Causes for which watchKey cancels a running request.
var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errConfigStale  = errors.New("the configuration cannot be confirmed as current")
)

// watchKey cancels a running request when its key becomes invalid, or when the
// configuration may be out of date, so that the key may have been withdrawn. It
// returns when the request ends.
func (s *Server) watchKey(ctx context.Context, key fleet.KeyDigest, cancel context.CancelCauseFunc) {
	for {
		config, current := s.board.Config.Load(), s.board.ConfigCurrent.Load()
		switch {
		case !isKeyValid(config.Value.View, key):
			cancel(errKeyWithdrawn)
			return
		case !current.Value:
			cancel(errConfigStale)
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

// isKeyValid reports whether requests with the key may run.
func isKeyValid(view *fleet.View, key fleet.KeyDigest) bool {
	_, err := Authenticate(view, &Request{Key: key, HasKey: true})
	return err == nil
}

// cancelError returns the error of a request that watchKey has cancelled, with the
// verdict of err. It returns err unchanged for any other request.
func cancelError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errKeyWithdrawn):
		return result.New(result.KeyWithdrawn, result.FromError(err).Verdict)
	case errors.Is(cause, errConfigStale):
		return result.New(result.ConfigStale, result.FromError(err).Verdict)
	default:
		return err
	}
}
