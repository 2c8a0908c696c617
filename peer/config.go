package peer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// MethodConfig asks another process for its configuration; the answer is a
// configstore.Bundle.
const MethodConfig = "config"

// ConfigRequest asks for a configuration that is newer than the one the sender
// has.
type ConfigRequest struct {
	// Have is the head of the sender's configuration.
	Have fleet.Head `json:"have"`
}

// ServeConfig returns a handler that answers with the configuration in force on
// the board.
func ServeConfig(board *blackboard.Board) Handler {
	return func(_ context.Context, _ *Session, params json.RawMessage) (any, error) {
		req, err := Decode[ConfigRequest](params)
		if err != nil {
			return nil, err
		}
		config := board.Config.Value()
		if config.View == nil || config.Head.Version <= req.Have.Version {
			return nil, result.New(result.ConfigMissing, result.NotRun)
		}
		return configstore.NewBundle(config.Head, &config.View.State, req.Have)
	}
}

// Asker sends a request to one other process and decodes the answer.
type Asker func(ctx context.Context, method string, params, value any) error

// FetchConfig asks all processes at once and returns the newest configuration
// that arrives before ctx ends and is newer than have.
func FetchConfig(ctx context.Context, askers []Asker, have fleet.Head) (configstore.Bundle, bool) {
	var mu sync.Mutex
	var best configstore.Bundle
	var wg sync.WaitGroup
	for _, ask := range askers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var b configstore.Bundle
			if ask(ctx, MethodConfig, ConfigRequest{Have: have}, &b) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if b.Head.Version > best.Head.Version {
				best = b
			}
		}()
	}
	wg.Wait()
	return best, best.Head.Version > have.Version
}
