// Package follow reads a table of the store at regular intervals and tells when
// the store is lost and reached again.
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

// Contact logs when calls of the store begin to fail and when they succeed again.
// It belongs to one goroutine.
type Contact struct {
	log     *log.Logger
	what    string
	lost    bool
	reached clock.Instant // the last success, or the start
}

// NewContact returns the contact of the calls about the named rows.
func NewContact(logger *log.Logger, what string) *Contact {
	return &Contact{log: logger, what: what, reached: clock.Now()}
}

// Note takes in the outcome of a call that was sent at the instant.
func (c *Contact) Note(err error, sent clock.Instant) {
	if errors.Is(err, context.Canceled) {
		return
	}
	age := clock.Since(c.reached)
	switch {
	case err != nil && !c.lost:
		c.log.Warn().Str("rows", c.what).Dur("reading_age", age).Err(err).Msg("store is lost")
	case err == nil && c.lost:
		c.log.Info().Str("rows", c.what).Dur("reading_age", age).Msg("store is reached again")
	}
	c.lost = err != nil
	if err == nil {
		c.reached = sent
	}
}

// Table passes each reading of the table to apply, with the instant at which it
// was asked for, until ctx is done.
func Table(ctx context.Context, s store.Store, table string, interval time.Duration, contact *Contact, apply func(store.Batch, clock.Instant)) {
	f := store.NewFollower(s, table)
	for ctx.Err() == nil {
		sent := clock.Now()
		batch, err := f.Next(ctx)
		contact.Note(err, sent)
		if err == nil {
			apply(batch, sent)
		}
		timer.Sleep(ctx, interval)
	}
}
