// Package batch decides the order of batch work and estimates when a job ends.
package batch

import (
	"slices"
	"time"
)

// MaxAdvance is the longest time by which a near due time moves a job ahead of
// its fair place.
const MaxAdvance = time.Hour

// Placement is the place of a job in the queue.
type Placement struct {
	// Start is the rank of the job's first chunk.
	Start time.Time `json:"start"`
	// Step is the distance between the ranks of two chunks.
	Step time.Duration `json:"step"`
	// Finish is where the workspace's next job starts at the earliest.
	Finish time.Time `json:"finish"`
}

// Demand describes the work of a new job.
type Demand struct {
	// Items is the number of items.
	Items int
	// Chunks is the number of chunks.
	Chunks int
	// Rate is the number of items a second that the workspace pays for.
	Rate float64
	// Due is when the job should be complete.
	Due time.Time
}

// Place gives a new job its place. The ranks of a workspace's chunks advance
// at the workspace's own rate, job after job, so that a workspace with much
// work does not delay the others. A job that would end after its due time at
// that rate moves ahead by its lateness, at most by MaxAdvance. The finish is
// that of the workspace's last job, or zero.
func Place(now, finish time.Time, d Demand) Placement {
	start := now
	if finish.After(now) {
		start = finish
	}
	length := time.Duration(float64(d.Items) / d.Rate * float64(time.Second))
	end := start.Add(length)
	late := min(max(end.Sub(d.Due), 0), MaxAdvance)
	return Placement{
		Start:  start.Add(-late),
		Step:   length / time.Duration(d.Chunks),
		Finish: end,
	}
}

// Rank returns the rank of a chunk; the lowest is claimed first.
func (p Placement) Rank(chunk int) time.Time {
	return p.Start.Add(time.Duration(chunk) * p.Step)
}

// Candidate is a job with chunks that can be claimed.
type Candidate struct {
	// Rank is the rank of the job's next chunk.
	Rank time.Time
	// Due is when the job should be complete.
	Due time.Time
	// Left is the number of its chunks that nobody has claimed.
	Left int
	// Step is the distance between the ranks of two chunks.
	Step time.Duration
}

// urgent tells whether the job can still meet its due time but only if its
// remaining chunks are claimed at once.
func (c *Candidate) urgent(now time.Time) bool {
	return c.Due.After(now) && c.Due.Sub(now) < time.Duration(c.Left)*c.Step
}

// Order returns the indices of the candidates in the order in which to claim
// them: urgent jobs whose rank is within MaxAdvance of the lowest by due time,
// then the others by rank.
func Order(candidates []Candidate, now time.Time) []int {
	if len(candidates) == 0 {
		return nil
	}
	head := candidates[0].Rank
	for i := range candidates {
		if candidates[i].Rank.Before(head) {
			head = candidates[i].Rank
		}
	}
	limit := head.Add(MaxAdvance)
	var urgent, others []int
	for i := range candidates {
		c := &candidates[i]
		if c.urgent(now) && !c.Rank.After(limit) {
			urgent = append(urgent, i)
		} else {
			others = append(others, i)
		}
	}
	slices.SortStableFunc(urgent, func(a, b int) int { return candidates[a].Due.Compare(candidates[b].Due) })
	slices.SortStableFunc(others, func(a, b int) int { return candidates[a].Rank.Compare(candidates[b].Rank) })
	return append(urgent, others...)
}

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
