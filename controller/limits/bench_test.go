package limits

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/share"
)

// BenchmarkLend measures answering a call for one token.
func BenchmarkLend(b *testing.B) {
	now := time.Now()
	l := NewLedger("a", NewMetrics(prometheus.NewRegistry()), now)
	l.askHome = func(*workspaceLimiter, int, bool) tokenResponse { return tokenResponse{} }
	l.Configure(simView(1, []int{0}, 1e9, 1e6), "g0", now)
	req := peer.LendRequest{
		ShareHeader: peer.ShareHeader{From: "10.0.0.1:1", Incarnation: "b"},
		Requests:    []share.Request{{Workspace: simWorkspace, Tokens: 1}},
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.HandleLend(req, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTick measures updating the shares of 1,400 workspaces on one of 410 gateways.
func BenchmarkTick(b *testing.B) {
	const gateways, workspaces = 410, 1400
	now := time.Now()
	l := NewLedger("a", NewMetrics(prometheus.NewRegistry()), now)
	l.askHome = func(*workspaceLimiter, int, bool) tokenResponse { return tokenResponse{} }
	l.Configure(largeView(gateways, workspaces), "g0", now)
	b.ReportAllocs()
	for b.Loop() {
		l.Tick(time.Now())
	}
}
