package logbudget

import (
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// logOutput collects the written lines.
type logOutput struct{ strings.Builder }

// TestInfoLinesLeaveRoomForWarnings checks that a flood of info lines leaves room for
// warnings, and that the first line of the next second reports the dropped lines.
func TestInfoLinesLeaveRoomForWarnings(t *testing.T) {
	var out logOutput
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
	if n := strings.Count(out.String(), "served"); n != maxInfoLinesPerSecond {
		t.Errorf("%d info lines were written, want %d", n, maxInfoLinesPerSecond)
	}
	if n := strings.Count(out.String(), "failed"); n != maxLinesPerSecond-maxInfoLinesPerSecond {
		t.Errorf("%d warnings were written, want %d", n, maxLinesPerSecond-maxInfoLinesPerSecond)
	}
	now = now.Add(time.Second)
	logger.Info().Msg("next")
	if !strings.Contains(out.String(), `"left_out":1600`) {
		t.Errorf("the count of dropped lines is missing or wrong: %s", out.String()[out.Len()-300:])
	}
}
