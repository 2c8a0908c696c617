package relay

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// WrittenEvents is the number of events after which an engine has begun to write a
	// stream. It may crash with the first event on its way.
	WrittenEvents = 2
	// crashCheckDelay is the time between the loss of a connection to an engine and the
	// question whether the engine ended. A process may close its listener last.
	crashCheckDelay = 30 * time.Millisecond
	// endCheckTimeout bounds the check of an engine for ObserveEnd.
	endCheckTimeout = time.Second
	// maxEndChecks bounds the checks for ObserveEnd that run at once. An engine that ends
	// takes about ten requests with it, over all daemons.
	maxEndChecks = 64
)

// CrashDetector tells crashes of engines from other lost connections, and reports them to
// the board as evidence against the prompt segments of the requests that met them. It may
// be used by several goroutines.
type CrashDetector struct {
	board     *blackboard.EntryBoard
	engines   EngineClient
	metrics   *Metrics
	log       *log.Logger
	endChecks atomic.Int32 // checks of ObserveEnd that run
}

// NewCrashDetector returns a detector that reports crashes to the board.
func NewCrashDetector(board *blackboard.EntryBoard, engines EngineClient, metrics *Metrics, logger *log.Logger) *CrashDetector {
	return &CrashDetector{board: board, engines: engines, metrics: metrics, log: logger}
}

// RecordWritten records that an engine wrote a response to the request, which shows that
// the request's segments are sound.
func (d *CrashDetector) RecordWritten(m *Message) {
	d.board.SoundSegments.Record(m.Segments, clock.Now())
}

// Check reports whether the engine crashed with the request before it wrote a response,
// and the request has segments that are not known to be sound. Such a request may crash
// the next engine as well. The cause is the error that ended the attempt, which must not
// have been cancelled.
func (d *CrashDetector) Check(ctx context.Context, m *Message, engine *blackboard.Engine, cause error) bool {
	if !isConnectionLoss(cause) {
		return false
	}
	if len(d.unsoundSegments(m)) == 0 {
		d.ObserveEnd(m, engine, cause)
		return false
	}
	if !timer.Sleep(ctx, crashCheckDelay) || !d.engines.Refuses(ctx, engine) {
		return false
	}
	segments := d.unsoundSegments(m) // another request may have had a response meanwhile
	if len(segments) == 0 {
		d.ObserveEnd(m, engine, cause)
		return false
	}
	d.metrics.crashes.Inc()
	d.log.Warn().Str("engine", engine.ID).Str("request", m.ID).Int("unsound_segments", len(segments)).AnErr("cause", cause).
		Msg("engine crashed before it wrote a response")
	d.board.Crashes.Report(blackboard.EngineCrash{
		Engine: engine.ID, StartedAtMs: engine.StartedAtMs, Request: xxhash.Sum64String(m.ID), Segments: segments, Held: m.Segments, SeenAt: clock.Now(),
	})
	return true
}

// ObserveEnd finds out, without waiting, whether the engine ended when it lost the connection of a
// request that is no evidence against any segment. Such an end speaks against evidence from the
// same moment. The cause is as in Check.
func (d *CrashDetector) ObserveEnd(m *Message, engine *blackboard.Engine, cause error) {
	if !isConnectionLoss(cause) {
		return
	}
	if d.endChecks.Add(1) > maxEndChecks {
		d.endChecks.Add(-1)
		return
	}
	lostAt, segments := clock.Now(), m.Segments
	go func() {
		defer d.endChecks.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		if timer.Sleep(ctx, crashCheckDelay) && d.engines.Refuses(ctx, engine) {
			d.board.Crashes.Report(blackboard.EngineCrash{
				Engine: engine.ID, StartedAtMs: engine.StartedAtMs, Held: segments, SeenAt: lostAt.Add(crashCheckDelay),
			})
		}
	}()
}

// unsoundSegments returns the segments of the request that are not known to be sound.
func (d *CrashDetector) unsoundSegments(m *Message) []blackboard.Segment {
	var unsound []blackboard.Segment
	now := clock.Now()
	for _, s := range m.Segments {
		if !d.board.SoundSegments.IsSound(s, now) {
			unsound = append(unsound, s)
		}
	}
	return unsound
}

// isConnectionLoss reports whether the engine's end of the connection closed or reset it, or
// may have closed it where a response has neither a length nor chunks.
func isConnectionLoss(err error) bool {
	for _, loss := range []error{io.EOF, io.ErrUnexpectedEOF, errNoNewEvents, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}
