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

// fastEngine responds almost at once, so that the benchmark measures the work of the
// gateway and the agent.
var fastEngine = standin.EngineOptions{
	Prefill: time.Microsecond, PerToken: time.Microsecond, Tokens: 16, FullSpeedRequests: 1000, CachedPrefixes: 64,
}

// pacedEngine sends a token every 4 ms.
var pacedEngine = standin.EngineOptions{
	Prefill: time.Millisecond, PerToken: 4 * time.Millisecond, Tokens: 16, FullSpeedRequests: 1000, CachedPrefixes: 64,
}

// pacedCallers is the number of concurrent callers per processor of BenchmarkFleetPaced.
const pacedCallers = 20

// benchmarkFleet measures chat requests through a fleet in this process. Callers is the
// number of goroutines per processor.
func benchmarkFleet(b *testing.B, engineOptions standin.EngineOptions, callers int, stream bool) {
	f := fleettest.Start(b, fleettest.Options{Engines: 4, Slots: 256, EngineOptions: engineOptions,
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
