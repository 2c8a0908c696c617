package placement

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
)

// TestFailingEnginesThatLookIdle guards against a fleet in which each daemon must meet each
// engine that answers with failures at once, and looks idle, itself. Daemons learn of each
// other's answers after 100 to 200 ms.
func TestFailingEnginesThatLookIdle(t *testing.T) {
	play := func(shares bool) outcome {
		w := workload{
			dataCentres: 3, daemonsEach: 12, enginesEach: 19, rate: 300, runTime: 700 * time.Millisecond,
			nearDelay: 40 * time.Millisecond, farDelay: 200 * time.Millisecond, length: 16 * time.Second,
		}
		w.fails = func(engine int, at time.Duration) bool {
			return engine%15 == 0 && at > 3*time.Second && at < 9*time.Second
		}
		claims, fresh := make(map[int][]FailureClaim), make(map[int][]FailureClaim) // by engine
		w.answered = func(engine int, e *blackboard.Engine, sent, at time.Duration, failed bool) {
			if failed {
				e.Load.Health.RecordFailure(simulationStart.Add(at))
				fresh[engine] = append(fresh[engine], FailureClaim{Daemons: 1, FailedAt: simulationStart.Add(at)})
			} else if len(claims[engine]) > 0 {
				fresh[engine] = append(fresh[engine], FailureClaim{WellAt: simulationStart.Add(sent)})
			}
		}
		w.learn = func(at time.Duration, _ []simulatedEngine, views [][]*blackboard.Engine) {
			for engine, c := range claims {
				for _, view := range views {
					view[engine].Load.Health.FailsByPeers.Store(shares && FailsByAnswers(c, simulationStart.Add(at)))
				}
			}
			for engine, c := range fresh {
				claims[engine] = append(claims[engine], c...)
			}
			clear(fresh)
		}
		return w.run(1)
	}
	alone, shared := play(false), play(true)
	t.Logf("%d of %d requests failed; %d of %d when daemons tell each other", alone.failed, alone.requests, shared.failed, shared.requests)
	if 2*shared.failed > alone.failed || shared.rejected > 0 {
		t.Errorf("%d requests failed, %d when each daemon meets the engines itself; %d rejected", shared.failed, alone.failed, shared.rejected)
	}
}
