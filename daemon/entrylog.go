package daemon

import (
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/logbudget"
	"github.com/baobablanding/baobablanding/platform"
)

const (
	// logQueueLines is the number of log lines that may wait for a slow reader of
	// standard output.
	logQueueLines = 4096
	// logFlushTimeout bounds the wait for such a reader when the process exits.
	logFlushTimeout = 200 * time.Millisecond
	// flushMark is the level of an entry that marks a place in the queue and is not written.
	flushMark = log.Level(255)
)

// newEntryLogger returns a logger that writes a bounded number of JSON lines per second
// to standard output. It drops lines instead of waiting for a slow reader. The function
// flush waits until the lines that were logged before are written, at most logFlushTimeout.
func newEntryLogger(settings platform.Settings) (logger *log.Logger, flush func()) {
	output := &markedWriter{IOWriter: log.IOWriter{Writer: os.Stdout}, reached: make(chan struct{}, 1)}
	queue := &log.AsyncWriter{ChannelSize: logQueueLines, DiscardOnFull: true, Writer: output}
	logger = &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("name", settings.VMName).Value(),
		Writer:     logbudget.New(queue),
	}
	return logger, func() {
		if _, err := queue.WriteEntry(&log.Entry{Level: flushMark}); err != nil {
			return // the queue is full: nobody reads the output
		}
		select {
		case <-output.reached:
		case <-time.After(logFlushTimeout):
		}
	}
}

// markedWriter writes entries, except those of the level flushMark, which it reports.
type markedWriter struct {
	log.IOWriter
	reached chan struct{} // has a value once a mark was reached
}

// WriteEntry implements log.Writer.
func (w *markedWriter) WriteEntry(e *log.Entry) (int, error) {
	if e.Level != flushMark {
		return w.IOWriter.WriteEntry(e)
	}
	select {
	case w.reached <- struct{}{}:
	default:
	}
	return 0, nil
}
