// Package logbudget limits the number of log lines per second. Lines below the warning
// level have a lower limit, so that a flood of them does not displace warnings and
// errors. Dropped lines are counted, and the count is logged.
package logbudget

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxLinesPerSecond is the limit for lines of all levels together.
	maxLinesPerSecond = 400
	// maxInfoLinesPerSecond is the limit for lines below the warning level. They count
	// towards maxLinesPerSecond too.
	maxInfoLinesPerSecond = 200
)

// Writer is a log.Writer that passes on a limited number of lines per second and drops
// the others. It may be used by several goroutines if the next writer may be.
type Writer struct {
	next log.Writer
	now  func() time.Time

	mu        sync.Mutex
	second    int64 // Unix time of the second that the fields below count, in seconds
	infoLines int   // passed on, below the warning level
	lines     int
	dropped   int
}

// New returns a Writer that passes lines on to next.
func New(next log.Writer) *Writer { return &Writer{next: next, now: time.Now} }

// WriteEntry implements log.Writer. For a dropped line it returns 0 and no error. Before
// the first line of a second it writes a warning with the number of lines that were
// dropped in the last second that had any lines.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	pass, droppedBefore := w.admit(e.Level)
	if droppedBefore > 0 {
		logger := log.Logger{Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: w.next}
		logger.Warn().Int("left_out", droppedBefore).Msg("dropped log lines that exceeded the limit per second")
	}
	if !pass {
		return 0, nil
	}
	return w.next.WriteEntry(e)
}

// admit counts a line of the level and reports whether it is within the limits. For the
// first line of a second, it also returns the number of lines that were dropped in the
// last second that had any lines, and otherwise 0.
func (w *Writer) admit(level log.Level) (pass bool, droppedBefore int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		droppedBefore = w.dropped
		w.second, w.infoLines, w.lines, w.dropped = second, 0, 0, 0
	}
	isInfo := level < log.WarnLevel
	if w.lines >= maxLinesPerSecond || isInfo && w.infoLines >= maxInfoLinesPerSecond {
		w.dropped++
		return false, droppedBefore
	}
	w.lines++
	if isInfo {
		w.infoLines++
	}
	return true, droppedBefore
}
