// Package logbudget bounds the number of log lines a second. Lines about what
// went well are left out before lines about what failed, and what was left out
// is counted.
package logbudget

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// linesPerSecond is the number of lines a second of any level.
	linesPerSecond = 400
	// goodLinesPerSecond is the part of them for lines below warnings.
	goodLinesPerSecond = 200
)

// Writer is a log.Writer that passes a bounded number of lines on.
type Writer struct {
	next log.Writer
	now  func() time.Time

	mu      sync.Mutex
	second  int64
	good    int // lines below warnings in this second
	all     int
	leftOut int
}

// New returns a writer that passes lines on to next.
func New(next log.Writer) *Writer { return &Writer{next: next, now: time.Now} }

// WriteEntry implements log.Writer.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	pass, missed := w.admit(e.Level)
	if missed > 0 {
		logger := log.Logger{Level: log.InfoLevel, TimeFormat: time.RFC3339Nano, Writer: w.next}
		logger.Warn().Int("left_out", missed).Msg("log lines were left out in the second before")
	}
	if !pass {
		return 0, nil
	}
	return w.next.WriteEntry(e)
}

// admit tells whether a line of the level is within the budget, and how many
// lines the second before left out, once.
func (w *Writer) admit(level log.Level) (pass bool, missed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		missed = w.leftOut
		w.second, w.good, w.all, w.leftOut = second, 0, 0, 0
	}
	isGood := level < log.WarnLevel
	if w.all >= linesPerSecond || isGood && w.good >= goodLinesPerSecond {
		w.leftOut++
		return false, missed
	}
	w.all++
	if isGood {
		w.good++
	}
	return true, missed
}
