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

// pacedEngine sends its tokens one by one.
var pacedEngine = standin.EngineOptions{
	Prefill: time.Millisecond, PerToken: 4 * time.Millisecond, Tokens: 16, Knee: 1000, CachedPrefixes: 64,
}

// pacedCallers is the number of callers for each processor.
const pacedCallers = 20

func benchmarkFleet(b *testing.B, engine standin.EngineOptions, callers int, stream bool) {
	f := fleettest.Start(b, fleettest.Options{Engines: 4, Slots: 256, Engine: engine,
		Workspaces: []fleet.Workspace{{Name: "garrafon", Rate: 1e6, Burst: 1e6}}})
	b.SetParallelism(callers)
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

func BenchmarkFleetWhole(b *testing.B)  { benchmarkFleet(b, fastEngine, 1, false) }
func BenchmarkFleetStream(b *testing.B) { benchmarkFleet(b, fastEngine, 1, true) }
func BenchmarkFleetPaced(b *testing.B)  { benchmarkFleet(b, pacedEngine, pacedCallers, true) }
