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

// MethodConfig asks another process for its configuration. The response is a
// configstore.Bundle.
const MethodConfig = "config"

// ConfigRequest asks for a configuration that is newer than the sender's.
type ConfigRequest struct {
	// KnownHead is the head of the sender's configuration.
	KnownHead fleet.Head `json:"have"`
}

// ConfigHandler returns a handler of MethodConfig. It responds with the configuration in
// force on the board, or with the error result.ConfigMissing if the board has none that
// is newer than the sender's.
func ConfigHandler(board *blackboard.Board) Handler {
	return func(_ context.Context, _ *Session, params json.RawMessage) (any, error) {
		req, err := DecodeParams[ConfigRequest](params)
		if err != nil {
			return nil, err
		}
		config := board.Config.Value()
		if config.View == nil || config.Head.Version <= req.KnownHead.Version {
			return nil, result.New(result.ConfigMissing, result.NotRun)
		}
		return configstore.NewBundle(config.Head, &config.View.State, req.KnownHead)
	}
}

// CallFunc sends a request to one particular process and decodes the response into value.
type CallFunc func(ctx context.Context, method string, params, value any) error

// FetchConfig asks all processes at once for their configuration and waits until each
// has responded or failed. It returns the newest configuration, and reports whether it
// is newer than known.
func FetchConfig(ctx context.Context, calls []CallFunc, known fleet.Head) (configstore.Bundle, bool) {
	var mu sync.Mutex
	var best configstore.Bundle
	var wg sync.WaitGroup
	for _, call := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var b configstore.Bundle
			if call(ctx, MethodConfig, ConfigRequest{KnownHead: known}, &b) != nil {
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
	return best, best.Head.Version > known.Version
}
