package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/peer"
)

const (
	takeTimeout = 200 * time.Millisecond
	// noGatewayRetry is when to ask again while no gateway answers.
	noGatewayRetry = 500 * time.Millisecond
)

// Allowance asks the gateways for the right to run batch items. Batch items
// draw on the same rate as online requests and come after them.
type Allowance struct {
	sessions func() []*peer.Session
	turn     atomic.Uint64
}

// NewAllowance returns an Allowance that asks over the sessions.
func NewAllowance(sessions func() []*peer.Session) *Allowance {
	return &Allowance{sessions: sessions}
}

// Take asks for the right to run n items of the workspace. The granted items
// are to be started at once: a right that is kept exceeds the rate later. When
// none is granted, it returns after what time to ask again. It asks the next
// gateway only if one does not answer, since each knows of what is left
// elsewhere.
func (a *Allowance) Take(ctx context.Context, workspace string, n int) (granted int, retryAfter time.Duration) {
	sessions := a.sessions()
	first := a.turn.Add(1)
	for i := range sessions {
		s := sessions[(first+uint64(i))%uint64(len(sessions))]
		resp, err := askFor(ctx, s, peer.TakeRequest{Workspace: workspace, Tokens: n})
		if err == nil {
			return resp.Granted, resp.RetryAfter
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, noGatewayRetry
}

func askFor(ctx context.Context, s *peer.Session, req peer.TakeRequest) (peer.TakeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var resp peer.TakeResponse
	err := s.Call(ctx, peer.MethodTake, req, &resp)
	return resp, err
}
