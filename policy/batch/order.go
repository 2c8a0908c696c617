// Package batch decides the order of batch work and estimates when a job ends.
package batch

import "time"

// Order: start-time fair queueing between workspaces, earliest due time first
// within a workspace.
//
// A workspace with waiting chunks has a rank, a point of virtual time; the
// workspace with the lowest rank is served next. Each claimed chunk moves the
// rank by the time that the chunk takes at the rate that the workspace pays
// for. Of the workspace's jobs, the one that is due first gives the chunk.

// Rank is a point of virtual time in microseconds.
type Rank int64

// Step returns how far a chunk of the given number of items moves the rank of a
// workspace that pays for rate items a second.
func Step(items int, rate float64) Rank {
	return max(Rank(float64(items)/rate*float64(time.Second/time.Microsecond)), 1)
}

// Join returns the rank of a workspace that has work again. It continues from
// its last rank, at most one step behind the head of the queue, so that neither
// idle time is saved up nor the use of an idle fleet held against it.
func Join(last, head, step Rank) Rank {
	return min(max(last, head), head+step)
}

// Next returns the rank after one chunk.
func (r Rank) Next(step Rank) Rank { return r + step }

const (
	minPoll       = 250 * time.Millisecond
	pollsPerSec   = 200 // polls a second of one kind from the whole fleet
	pollIncrement = time.Second / pollsPerSec
)

// PollInterval returns how often each of n agents polls a record, so that all
// of them together stay within a fixed rate.
func PollInterval(n int) time.Duration {
	return max(minPoll, time.Duration(n)*pollIncrement)
}
