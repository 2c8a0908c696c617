package agent_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/agent"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

// gateways connects n gateways to the server. The first failing ones respond to each
// request with an error, the rest grant all tokens but one. Each gateway has two sessions,
// one for each class of requests.
func gateways(t *testing.T, server *peer.Server, n, failing int, asked *atomic.Int64) {
	t.Helper()
	for i := range n {
		pool := peer.NewPool(peer.Handlers{
			peer.MethodTakeBatch: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
				asked.Add(1)
				req, err := peer.DecodeParams[peer.TakeBatchRequest](params)
				if err != nil || i < failing {
					return nil, result.New(result.Draining, result.NotRun)
				}
				return peer.TakeBatchResponse{Granted: req.Tokens - 1, RetryAfter: time.Millisecond}, nil
			},
		}, nil)
		t.Cleanup(pool.Close)
		pool.SetAddresses([]string{server.Addr()})
	}
	for deadline := time.Now().Add(5 * time.Second); len(server.Sessions()) < 2*n; {
		if time.Now().After(deadline) {
			t.Fatal("gateways did not connect within 5s")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestTakeTriesGatewaysInTurn(t *testing.T) {
	cases := []struct {
		name              string
		gateways, failing int
		granted           int
		asked             int64
	}{
		{"one gateway answers", 1, 0, 4, 1},
		{"no gateway is connected", 0, 0, 0, 0},
		{"every gateway fails", 2, 2, 0, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, err := peer.Listen("127.0.0.1:0", nil, nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Close)
			var asked atomic.Int64
			gateways(t, server, c.gateways, c.failing, &asked)
			granted, retry := agent.NewBatchRateClient(server.Sessions).Take(context.Background(), "w", 5)
			if granted != c.granted || retry == 0 || asked.Load() != c.asked {
				t.Errorf("granted %d items, retry after %s, %d requests", granted, retry, asked.Load())
			}
		})
	}
}
