package burn

import "time"

// SampleInterval is the interval at which a History needs samples.
const SampleInterval = time.Minute

// rings lists the resolutions of a History, the finest first. Each ring keeps one
// sample per interval and serves windows up to maxWindow.
var rings = [...]struct{ interval, maxWindow time.Duration }{
	{SampleInterval, time.Hour},
	{15 * time.Minute, 6 * time.Hour},
	{2 * time.Hour, 3 * day},
}

// sample is a cumulative count at a time. The counts are kept modulo 2^32; a
// window holds fewer events.
type sample struct {
	seconds     uint32 // since the start of the history
	good, total uint32
}

// History keeps samples of a cumulative count, from which the count over a window
// can be computed. Its size is bounded. It is not safe for concurrent use.
type History struct {
	start time.Time
	rings [len(rings)]ring
}

// NewHistory returns a History that begins at the given time with a count of 0.
func NewHistory(start time.Time) *History {
	h := &History{start: start}
	for i, r := range rings {
		h.rings[i].size = int(r.maxWindow/r.interval) + 1
		h.rings[i].add(sample{})
	}
	return h
}

// Add records the cumulative count at the given time. Each ring skips the sample if
// less than its interval has passed since its last one.
func (h *History) Add(at time.Time, count Count) {
	s := sample{seconds: h.seconds(at), good: uint32(count.Good), total: uint32(count.Total)}
	for i := range h.rings {
		r := &h.rings[i]
		if s.seconds-r.last().seconds >= uint32(rings[i].interval/time.Second) {
			r.add(s)
		}
	}
}

func (h *History) seconds(at time.Time) uint32 {
	return uint32(max(0, at.Sub(h.start)/time.Second))
}

// CountAtStart returns the cumulative count at the start of the window that ends now,
// given the current cumulative count. It is the last sample at or before the start of
// the window, or the oldest sample if all are later.
func (h *History) CountAtStart(now time.Time, window time.Duration, current Count) Count {
	r := &h.rings[len(h.rings)-1]
	for i := range h.rings {
		if window <= rings[i].maxWindow {
			r = &h.rings[i]
			break
		}
	}
	s := r.atOrBefore(h.seconds(now.Add(-window)))
	return Count{
		Good:  current.Good - uint64(uint32(current.Good)-s.good),
		Total: current.Total - uint64(uint32(current.Total)-s.total),
	}
}

// ring holds the last samples, at most size of them.
type ring struct {
	size    int
	samples []sample
	oldest  int // index of the oldest sample, 0 until the ring is full
}

func (r *ring) add(s sample) {
	if len(r.samples) < r.size {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.oldest] = s
	r.oldest = (r.oldest + 1) % r.size
}

// at returns the sample at index i, counted from the oldest.
func (r *ring) at(i int) sample { return r.samples[(r.oldest+i)%len(r.samples)] }

func (r *ring) last() sample { return r.at(len(r.samples) - 1) }

// atOrBefore returns the last sample at or before the time, or the oldest one if
// all are later.
func (r *ring) atOrBefore(seconds uint32) sample {
	low, high := 0, len(r.samples)-1
	for low < high {
		middle := (low + high + 1) / 2
		if r.at(middle).seconds > seconds {
			high = middle - 1
		} else {
			low = middle
		}
	}
	return r.at(low)
}
