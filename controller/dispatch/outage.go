package dispatch

import (
	"time"

	"github.com/baobablanding/baobablanding/batch"
)

// storeOutage follows from the outcomes of store calls when the store was unavailable. The
// zero value stands for a store that never was.
type storeOutage struct {
	ongoing bool
	endedAt time.Time // when the first call after the last outage was answered, or zero
}

// observe records the outcome of a store call that ended at the given time.
func (o *storeOutage) observe(err error, now time.Time) {
	switch {
	case batch.IsUnavailable(err):
		o.ongoing = true
	case o.ongoing: // any other error is the store's answer
		o.ongoing, o.endedAt = false, now
	}
}

// endedWithin reports whether an outage is ongoing or ended less than d ago.
func (o *storeOutage) endedWithin(d time.Duration, now time.Time) bool {
	return o.ongoing || !o.endedAt.IsZero() && now.Sub(o.endedAt) < d
}
