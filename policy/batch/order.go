// Package batch decides the order of batch work and estimates when a job ends.
package batch

import "time"

// The order is start-time fair queueing between workspaces, and earliest due time
// first within a workspace.
//
// A workspace with waiting chunks has a rank, which is a virtual time; the
// workspace with the lowest rank is served next. Each claimed chunk raises the
// rank by the time that the chunk takes at the rate that the workspace pays for.
// The chunk comes from the workspace's job that is due first.

// Rank is a virtual time in microseconds.
type Rank int64

// RankStep returns by how much a chunk of the given number of items raises the rank
// of a workspace that pays for rate items per second. It is at least 1.
func RankStep(items int, rate float64) Rank {
	return max(Rank(float64(items)/rate*float64(time.Second/time.Microsecond)), 1)
}

// RejoinRank returns the rank of a workspace that has work again. Last is its last rank,
// head the lowest rank in the queue, and step its next step. The result is last, but at
// least head, so that idle time gives the workspace no advantage, and at most head+step,
// so that it is not delayed for what it used of an otherwise idle fleet.
func RejoinRank(last, head, step Rank) Rank {
	return min(max(last, head), head+step)
}

// Next returns the rank after one chunk.
func (r Rank) Next(step Rank) Rank { return r + step }

const (
	minPoll           = 250 * time.Millisecond
	maxPollsPerSecond = 200 // of one kind of record, from all agents together
	pollIncrement     = time.Second / maxPollsPerSecond
)

// PollInterval returns the interval at which each of n agents polls a record, so
// that all of them together stay within maxPollsPerSecond.
func PollInterval(n int) time.Duration {
	return max(minPoll, time.Duration(n)*pollIncrement)
}
