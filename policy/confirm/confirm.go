// Package confirm decides when a decision that cannot be undone may be made by a daemon that
// knows the state of the store from reads at intervals.
//
// Another daemon may have acted on a newer state than this one knows. Reads of the store are
// linearizable, so a read that is sent later shows at least that state: a decision that is
// still right by it is not based on knowledge older than what it decides about.
package confirm

import "github.com/baobablanding/baobablanding/clock"

// Decision is one decision that waits for its confirmation. The zero value is a decision that
// was not considered yet. It must not be used by several goroutines at once.
type Decision struct {
	since clock.Instant // when the decision was first found right, or 0
}

// Confirm reports whether the decision may be made now: it was found right before the last
// read was sent, and is right by that read. right says what that read, or a newer one, shows.
// A decision that is found wrong has to be confirmed anew.
func (d *Decision) Confirm(right bool, readSentAt, now clock.Instant) bool {
	if !right {
		d.since = 0
		return false
	}
	if d.since == 0 {
		d.since = now
	}
	return readSentAt > d.since
}
