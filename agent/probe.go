package agent

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/httpserve"
)

// HealthPath is the path of the health endpoint of upstreams.
const HealthPath = "/health"

// Health is the body of an engine's response at HealthPath.
type Health struct {
	// State is "ready" or "cold".
	State string `json:"state"`
}

// Prober asks upstreams for their state over HTTP. It is safe for concurrent use.
type Prober struct{ http httpc.Service }

// NewProber returns a Prober with its own HTTP client.
func NewProber() *Prober { return &Prober{http: httpserve.NewClient("probe")} }

// Probe returns the state of the upstream: ready, cold or down. An engine is down unless
// it responds with status 200 and a valid Health; any other upstream is ready if it
// responds, with any status. The caller bounds the time by ctx.
func (p *Prober) Probe(ctx context.Context, up *fleet.Upstream) fleet.UpstreamState {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, up.URL+HealthPath, http.NoBody)
	if err != nil {
		return fleet.StateDown
	}
	resp, err := p.http.DoRequest(req)
	if err != nil {
		return fleet.StateDown
	}
	defer resp.Body.Close()
	if up.Kind != fleet.KindEngine {
		return fleet.StateReady
	}
	var h Health
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&h) != nil {
		return fleet.StateDown
	}
	if h.State == "cold" {
		return fleet.StateCold
	}
	return fleet.StateReady
}
