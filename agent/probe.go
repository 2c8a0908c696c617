package agent

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/httpserve"
)

// HealthPath is the path at which engines and services report their state.
const HealthPath = "/health"

// Health is an upstream's answer at HealthPath.
type Health struct {
	// State is ready or cold.
	State string `json:"state"`
}

// Prober asks upstreams for their state over HTTP.
type Prober struct{ http httpc.Service }

// NewProber returns a Prober.
func NewProber() *Prober { return &Prober{http: httpserve.NewClient("probe")} }

// Probe returns the state that the upstream reports, or Down if it does not
// answer. Only engines report a state; of any other upstream an answer is
// enough.
func (p *Prober) Probe(ctx context.Context, up *fleet.Upstream) fleet.UpstreamState {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, up.URL+HealthPath, http.NoBody)
	if err != nil {
		return fleet.Down
	}
	resp, err := p.http.DoRequest(req)
	if err != nil {
		return fleet.Down
	}
	defer resp.Body.Close()
	if up.Kind != fleet.Engine {
		return fleet.Ready
	}
	var h Health
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&h) != nil {
		return fleet.Down
	}
	if h.State == "cold" {
		return fleet.Cold
	}
	return fleet.Ready
}
