package load_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/standin"
)

// fastEngine answers almost at once, so that the fleet's own work shows.
var fastEngine = standin.EngineOptions{
	Prefill: time.Microsecond, PerToken: time.Microsecond, Tokens: 16, Knee: 1000, CachedPrefixes: 64,
}

func benchmarkFleet(b *testing.B, stream bool) {
	f := fleettest.Start(b, fleettest.Options{Engines: 4, Slots: 256, Engine: fastEngine,
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: 1e6, Burst: 1e6}}})
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if status, body := f.Chat(context.Background(), 0, "garrafon", "hello", stream); status != http.StatusOK {
				b.Errorf("status %d: %s", status, body)
			}
		}
	})
}

func BenchmarkFleetWhole(b *testing.B)  { benchmarkFleet(b, false) }
func BenchmarkFleetStream(b *testing.B) { benchmarkFleet(b, true) }
