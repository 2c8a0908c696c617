package agent

import (
	"context"
	"encoding/json"

	"github.com/baobablanding/baobablanding/peer"
)

// Handlers returns the handlers of the messages that gateways send to the agent.
func (a *Agent) Handlers() peer.Handlers {
	return peer.Handlers{
		peer.MethodRun:    a.handleRun,
		peer.MethodCancel: a.handleCancel,
	}
}

func (a *Agent) handleRun(ctx context.Context, from *peer.Session, params json.RawMessage) (any, error) {
	req, err := peer.DecodeParams[peer.RunRequest](params)
	if err != nil {
		return nil, err
	}
	return a.Run(ctx, &req, func(c peer.Chunk) error {
		return from.Notify(ctx, peer.MethodChunk, c)
	})
}

func (a *Agent) handleCancel(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
	c, err := peer.DecodeParams[peer.CancelNotice](params)
	if err != nil {
		return nil, err
	}
	a.Cancel(c.ID)
	return nil, nil
}
