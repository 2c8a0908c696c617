// Package follow polls tables of the store and logs when the store becomes
// unavailable and available again.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

// AvailabilityLog logs when calls to the store start to fail and when they succeed again.
// It must be used by one goroutine only.
type AvailabilityLog struct {
	log         *log.Logger
	rows        string
	unavailable bool
	// lastSuccess is when the last successful call was sent. Before the first one, it is
	// the time of creation.
	lastSuccess clock.Instant
}

// NewAvailabilityLog returns a logger of the outcome of calls to the store about one set of
// rows. It logs the name of the rows in the field "rows".
func NewAvailabilityLog(logger *log.Logger, rows string) *AvailabilityLog {
	return &AvailabilityLog{log: logger, rows: rows, lastSuccess: clock.Now()}
}

// Observe records the outcome of a call that was sent at the given instant; err is nil
// if the call succeeded. Calls that the caller cancelled are ignored.
func (a *AvailabilityLog) Observe(err error, sent clock.Instant) {
	if errors.Is(err, context.Canceled) {
		return
	}
	age := clock.Since(a.lastSuccess)
	switch {
	case err != nil && !a.unavailable:
		a.log.Warn().Str("rows", a.rows).Dur("reading_age", age).Err(err).Msg("store is unavailable")
	case err == nil && a.unavailable:
		a.log.Info().Str("rows", a.rows).Dur("reading_age", age).Msg("store is available again")
	}
	a.unavailable = err != nil
	if err == nil {
		a.lastSuccess = sent
	}
}

// observeApply logs that this daemon itself held up its next read of the rows: the store was
// available.
func (a *AvailabilityLog) observeApply(took, interval time.Duration) {
	if took > interval {
		a.log.Warn().Str("rows", a.rows).Dur("took", took).Msg("applying a read took longer than the time to the next one")
	}
}

// PollTable reads the table at the given interval until ctx is done. It passes each
// successful read to apply, with the instant at which the read was sent, and records
// the outcome of every read on availability. apply must not call the store or wait, since
// no read is sent meanwhile.
func PollTable(ctx context.Context, s store.Store, table string, interval time.Duration, availability *AvailabilityLog, apply func(store.TableUpdate, clock.Instant)) {
	f := store.NewFollower(s, table)
	for ctx.Err() == nil {
		sent := clock.Now()
		update, err := f.Next(ctx)
		availability.Observe(err, sent)
		if err == nil {
			received := clock.Now()
			apply(update, sent)
			availability.observeApply(clock.Since(received), interval)
		}
		timer.Sleep(ctx, interval)
	}
}
