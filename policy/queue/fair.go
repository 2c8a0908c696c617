// Package queue orders requests that wait for a contended upstream.
package queue

import "slices"

// Fair is a queue that serves flows in proportion to their weights, and the
// entries of one flow in order of arrival. A flow that sends more than its
// share makes only itself wait. It is not safe for concurrent use.
type Fair[T any] struct {
	flows   map[string]*flow[T]
	virtual float64 // start tag of the entry that was served last
	arrived uint64
	length  int
}

// flow holds the waiting entries of one flow.
type flow[T any] struct {
	entries []*Entry[T]
	start   float64 // tag at which the first entry is served
	weight  float64
}

// Entry is a value that waits in a Fair.
type Entry[T any] struct {
	// Value is the value that was pushed.
	Value T

	flow    string
	arrival uint64
}

// NewFair returns an empty queue.
func NewFair[T any]() *Fair[T] {
	return &Fair[T]{flows: make(map[string]*flow[T])}
}

// Len returns the number of waiting entries.
func (q *Fair[T]) Len() int { return q.length }

// Push adds a value to the named flow, whose weight is at least 1.
func (q *Fair[T]) Push(name string, weight int, value T) *Entry[T] {
	f := q.flows[name]
	if f == nil {
		f = new(flow[T])
		q.flows[name] = f
	}
	f.weight = float64(max(weight, 1))
	if len(f.entries) == 0 {
		f.start = max(f.start, q.virtual)
	}
	q.arrived++
	e := &Entry[T]{Value: value, flow: name, arrival: q.arrived}
	f.entries = append(f.entries, e)
	q.length++
	return e
}

// Pop removes and returns the value that is served next.
func (q *Fair[T]) Pop() (T, bool) {
	var next *flow[T]
	for _, f := range q.flows {
		if len(f.entries) > 0 && (next == nil || f.before(next)) {
			next = f
		}
	}
	if next == nil {
		var none T
		return none, false
	}
	e := next.entries[0]
	next.entries = next.entries[1:]
	q.virtual = next.start
	next.start += 1 / next.weight
	q.length--
	q.forget()
	return e.Value, true
}

// before tells whether f is served before g. Both have entries.
func (f *flow[T]) before(g *flow[T]) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.entries[0].arrival < g.entries[0].arrival
}

// forget drops the flows whose past service no longer delays them.
func (q *Fair[T]) forget() {
	for name, f := range q.flows {
		if len(f.entries) == 0 && (q.length == 0 || f.start <= q.virtual) {
			delete(q.flows, name)
		}
	}
	if q.length == 0 {
		q.virtual = 0
	}
}

// Remove takes the entry out of the queue. It returns false if the entry has
// left the queue before.
func (q *Fair[T]) Remove(e *Entry[T]) bool {
	f := q.flows[e.flow]
	if f == nil {
		return false
	}
	i := slices.Index(f.entries, e)
	if i < 0 {
		return false
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	q.length--
	q.forget()
	return true
}

// Evict removes and returns the newest value of the flow that has the most
// entries for its weight.
func (q *Fair[T]) Evict() (T, bool) {
	var longest *flow[T]
	for _, f := range q.flows {
		if len(f.entries) > 0 && (longest == nil || f.longerThan(longest)) {
			longest = f
		}
	}
	if longest == nil {
		var none T
		return none, false
	}
	e := longest.entries[len(longest.entries)-1]
	q.Remove(e)
	return e.Value, true
}

// longerThan tells whether f has more entries for its weight than g, or as many
// and a newer last one.
func (f *flow[T]) longerThan(g *flow[T]) bool {
	a, b := float64(len(f.entries))/f.weight, float64(len(g.entries))/g.weight
	if a != b {
		return a > b
	}
	return f.entries[len(f.entries)-1].arrival > g.entries[len(g.entries)-1].arrival
}
