package relay

import (
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/placement"
)

// memoryLogInterval is the shortest time between two log lines about requests for which no
// engine has memory.
const memoryLogInterval = 10 * time.Second

// memoryLog says when such a line was written last. It may be used by several goroutines.
type memoryLog struct{ at atomic.Int64 }

// isDue reports whether a line may be written now, and takes note of it.
func (l *memoryLog) isDue(now clock.Instant) bool {
	last := l.at.Load()
	return (last == 0 || now.Sub(clock.Instant(last)) >= memoryLogInterval) && l.at.CompareAndSwap(last, int64(now))
}

// recordNoMemory counts and logs a request that was placed nowhere if an engine would take it
// but for its memory.
func (r *activeRequest) recordNoMemory(engines []*blackboard.Engine, query *placement.Query) {
	if !placement.WouldTakeWithMemory(engines, query) {
		return
	}
	r.server.metrics.noMemory.Inc()
	if r.server.memoryLog.isDue(query.Now) {
		r.server.log.Warn().Str("request", r.ID).Int64("tokens", query.Tokens).Int64("engine_tokens", query.MemoryTokens).
			Dur("report_age", query.PeerReportAge).Msg("no engine has memory for the request though some have slots; counted only for the next 10 s")
	}
}
