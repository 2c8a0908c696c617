package logbudget

import (
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// lines collects what was written.
type lines struct{ strings.Builder }

func TestFailuresAreKeptLongerAndLossesCounted(t *testing.T) {
	var out lines
	w := New(&log.IOWriter{Writer: &out})
	now := time.Unix(1000, 0)
	w.now = func() time.Time { return now }
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	for range 1000 {
		logger.Info().Msg("served")
	}
	for range 1000 {
		logger.Warn().Msg("failed")
	}
	if n := strings.Count(out.String(), "served"); n != goodLinesPerSecond {
		t.Errorf("%d lines about what went well, want %d", n, goodLinesPerSecond)
	}
	if n := strings.Count(out.String(), "failed"); n != linesPerSecond-goodLinesPerSecond {
		t.Errorf("%d lines about failures, want %d", n, linesPerSecond-goodLinesPerSecond)
	}
	now = now.Add(time.Second)
	logger.Info().Msg("next")
	if !strings.Contains(out.String(), `"left_out":1600`) {
		t.Errorf("the count is missing: %s", out.String()[out.Len()-300:])
	}
}
