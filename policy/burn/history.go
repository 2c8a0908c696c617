package burn

import "time"

// FineStep is the time between the samples that a History needs.
const FineStep = time.Minute

// rings lists the samples that a History keeps: for windows up to a reach, one
// sample for each step.
var rings = [...]struct{ step, reach time.Duration }{
	{FineStep, time.Hour},
	{15 * time.Minute, 6 * time.Hour},
	{2 * time.Hour, 3 * day},
}

// sample is a cumulative count at a time. The counts are kept modulo 2^32; a
// window holds fewer events.
type sample struct {
	seconds     uint32 // since the start of the history
	good, total uint32
}

// History keeps samples of a cumulative count, so that the count over a window
// can be told. Its size is bounded.
type History struct {
	start time.Time
	rings [len(rings)]ring
}

// NewHistory returns a History that begins at the time with nothing counted.
func NewHistory(start time.Time) *History {
	h := &History{start: start}
	for i, r := range rings {
		h.rings[i].size = int(r.reach/r.step) + 1
		h.rings[i].add(sample{})
	}
	return h
}

// Add takes in the cumulative count at the time. Samples that follow the last
// one too closely are left out.
func (h *History) Add(at time.Time, count Count) {
	s := sample{seconds: h.seconds(at), good: uint32(count.Good), total: uint32(count.Total)}
	for i := range h.rings {
		r := &h.rings[i]
		if s.seconds-r.last().seconds >= uint32(rings[i].step/time.Second) {
			r.add(s)
		}
	}
}

func (h *History) seconds(at time.Time) uint32 {
	return uint32(max(0, at.Sub(h.start)/time.Second))
}

// Start returns the cumulative count at the beginning of the window that ends
// now, when the count is current. The sample that is used is the last one
// before the beginning, or the oldest that is kept.
func (h *History) Start(now time.Time, window time.Duration, current Count) Count {
	r := &h.rings[len(h.rings)-1]
	for i := range h.rings {
		if window <= rings[i].reach {
			r = &h.rings[i]
			break
		}
	}
	s := r.before(h.seconds(now.Add(-window)))
	return Count{
		Good:  current.Good - uint64(uint32(current.Good)-s.good),
		Total: current.Total - uint64(uint32(current.Total)-s.total),
	}
}

// ring holds the last samples.
type ring struct {
	size int
	list []sample
	next int // the oldest, once the ring is full
}

func (r *ring) add(s sample) {
	if len(r.list) < r.size {
		r.list = append(r.list, s)
		return
	}
	r.list[r.next] = s
	r.next = (r.next + 1) % r.size
}

func (r *ring) at(i int) sample { return r.list[(r.next+i)%len(r.list)] }

func (r *ring) last() sample { return r.at(len(r.list) - 1) }

// before returns the last sample at or before the time, or the oldest one.
func (r *ring) before(seconds uint32) sample {
	low, high := 0, len(r.list)-1
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
