package burn

import "time"

// Steps and numbers of the samples that a History keeps. The fine samples cover
// the windows up to an hour, the coarse ones the longer windows.
const (
	FineStep    = 15 * time.Second
	coarseStep  = 15 * time.Minute
	fineKept    = int(time.Hour/FineStep) + 1
	coarseKept  = int(3*day/coarseStep) + 1
	fineReaches = time.Hour
)

// sample is a cumulative count at a time.
type sample struct {
	at    time.Time
	count Count
}

// History keeps samples of a cumulative count, so that the count over a window
// can be told. Its size is bounded.
type History struct {
	fine, coarse ring
}

// NewHistory returns a History that begins at the time with nothing counted.
func NewHistory(start time.Time) *History {
	h := &History{fine: ring{size: fineKept}, coarse: ring{size: coarseKept}}
	h.fine.add(sample{at: start})
	h.coarse.add(sample{at: start})
	return h
}

// Add takes in the cumulative count at the time. Samples that follow the last
// one too closely are left out.
func (h *History) Add(at time.Time, count Count) {
	s := sample{at, count}
	if at.Sub(h.fine.last().at) >= FineStep {
		h.fine.add(s)
	}
	if at.Sub(h.coarse.last().at) >= coarseStep {
		h.coarse.add(s)
	}
}

// Start returns the cumulative count at the beginning of the window that ends
// now. The sample that is used is the last one before the beginning, or the
// first of all.
func (h *History) Start(now time.Time, window time.Duration) Count {
	r := &h.coarse
	if window <= fineReaches {
		r = &h.fine
	}
	return r.before(now.Add(-window))
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

// before returns the count of the last sample at or before the time, or of the
// oldest one.
func (r *ring) before(at time.Time) Count {
	low, high := 0, len(r.list)-1
	for low < high {
		middle := (low + high + 1) / 2
		if r.at(middle).at.After(at) {
			high = middle - 1
		} else {
			low = middle
		}
	}
	return r.at(low).count
}
