package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/peer"
)

const (
	// takeTimeout bounds the call to one gateway.
	takeTimeout = 200 * time.Millisecond
	// noGatewayRetryAfter is the time to wait before asking again if the call to every
	// gateway failed.
	noGatewayRetryAfter = 500 * time.Millisecond
)

// BatchRateClient asks the gateways to admit batch items. Batch items count against the
// same rate of their workspace as online requests, and online requests come first. It is
// safe for concurrent use if the function that returns the sessions is.
type BatchRateClient struct {
	sessions func() []*peer.Session
	next     atomic.Uint64 // selects the session that Take asks first
}

// NewBatchRateClient returns a client that calls the gateways over the sessions that the
// function returns.
func NewBatchRateClient(sessions func() []*peer.Session) *BatchRateClient {
	return &BatchRateClient{sessions: sessions}
}

// Take asks a gateway to admit n items of the workspace and returns how many it
// admitted. The caller must start these at once: items that are started later would
// exceed the rate then. If granted is 0, retryAfter is the time to wait before asking
// again. Take asks another gateway only if the call to one fails, since the response of
// each gateway takes into account what the other gateways have left.
func (c *BatchRateClient) Take(ctx context.Context, workspace string, n int) (granted int, retryAfter time.Duration) {
	sessions := c.sessions()
	first := c.next.Add(1)
	for i := range sessions {
		s := sessions[(first+uint64(i))%uint64(len(sessions))]
		resp, err := requestTokens(ctx, s, peer.TakeBatchRequest{Workspace: workspace, Tokens: n})
		if err == nil {
			return resp.Granted, resp.RetryAfter
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, noGatewayRetryAfter
}

// requestTokens asks one gateway to admit items.
func requestTokens(ctx context.Context, s *peer.Session, req peer.TakeBatchRequest) (peer.TakeBatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var resp peer.TakeBatchResponse
	err := s.Call(ctx, peer.MethodTakeBatch, req, &resp)
	return resp, err
}
