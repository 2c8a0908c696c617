// Package queue orders requests that wait for a contended upstream.
package queue

import "slices"

// Fair is a weighted fair queue (start-time fair queueing): it serves flows in
// proportion to their weights, and the entries of one flow in order of arrival. A
// flow that sends more than its share delays only its own entries. It is not safe
// for concurrent use.
type Fair[T any] struct {
	flows       map[string]*flow[T]
	virtualTime float64 // start tag of the entry that was served last
	arrivals    uint64
	length      int
}

// flow holds the waiting entries of one flow.
type flow[T any] struct {
	entries  []*Entry[T]
	startTag float64 // virtual time at which the first entry is served
	weight   float64
}

// Entry is a value that waits in a Fair.
type Entry[T any] struct {
	// Value is the value that was pushed.
	Value T

	flow    string
	arrival uint64 // position in the order of arrival of all flows
}

// NewFair returns an empty queue.
func NewFair[T any]() *Fair[T] {
	return &Fair[T]{flows: make(map[string]*flow[T])}
}

// Len returns the number of waiting entries.
func (q *Fair[T]) Len() int { return q.length }

// Push adds a value to the named flow. The weight applies to all entries of the flow
// from now on; one below 1 counts as 1.
func (q *Fair[T]) Push(name string, weight int, value T) *Entry[T] {
	f := q.flows[name]
	if f == nil {
		f = new(flow[T])
		q.flows[name] = f
	}
	f.weight = float64(max(weight, 1))
	if len(f.entries) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	q.arrivals++
	e := &Entry[T]{Value: value, flow: name, arrival: q.arrivals}
	f.entries = append(f.entries, e)
	q.length++
	return e
}

// Pop removes and returns the value to serve next. It returns false if the queue is
// empty.
func (q *Fair[T]) Pop() (T, bool) {
	e := q.Peek()
	if e == nil {
		var none T
		return none, false
	}
	q.Serve(e)
	return e.Value, true
}

// Peek returns the entry to serve next, or nil if the queue is empty.
func (q *Fair[T]) Peek() *Entry[T] {
	var next *flow[T]
	for _, f := range q.flows {
		if len(f.entries) > 0 && (next == nil || f.servedBefore(next)) {
			next = f
		}
	}
	if next == nil {
		return nil
	}
	return next.entries[0]
}

// Serve removes the entry and counts it as service of its flow. It returns false if the
// entry is no longer in the queue.
func (q *Fair[T]) Serve(e *Entry[T]) bool {
	f := q.flows[e.flow]
	if f == nil {
		return false
	}
	i := slices.Index(f.entries, e)
	if i < 0 {
		return false
	}
	f.entries = slices.Delete(f.entries, i, i+1)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += 1 / f.weight
	q.length--
	q.dropIdleFlows()
	return true
}

// Ahead returns about how many of the waiting entries would be served before a new one of
// the named flow.
func (q *Fair[T]) Ahead(name string, weight int) int {
	own, turn := 0, q.virtualTime
	w := float64(max(weight, 1))
	if f := q.flows[name]; f != nil {
		own = len(f.entries)
		turn = max(turn, f.startTag)
	}
	turn += float64(own) / w // the start tag of the new entry
	ahead := own
	for other, f := range q.flows {
		if other != name && len(f.entries) > 0 && f.startTag <= turn {
			ahead += min(len(f.entries), int((turn-f.startTag)*f.weight)+1)
		}
	}
	return ahead
}

// servedBefore reports whether f is served before g. Both must have entries.
func (f *flow[T]) servedBefore(g *flow[T]) bool {
	if f.startTag != g.startTag {
		return f.startTag < g.startTag
	}
	return f.entries[0].arrival < g.entries[0].arrival
}

// dropIdleFlows removes the empty flows whose past service no longer delays them.
func (q *Fair[T]) dropIdleFlows() {
	for name, f := range q.flows {
		if len(f.entries) == 0 && (q.length == 0 || f.startTag <= q.virtualTime) {
			delete(q.flows, name)
		}
	}
	if q.length == 0 {
		q.virtualTime = 0
	}
}

// Remove removes the entry from the queue. It returns false if the entry is no
// longer in the queue.
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
	q.dropIdleFlows()
	return true
}

// Evict removes and returns the newest value of the flow that has the most
// entries for its weight. It returns false if the queue is empty.
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

// longerThan reports whether f has more entries for its weight than g, or as many
// and a newer last entry.
func (f *flow[T]) longerThan(g *flow[T]) bool {
	a, b := float64(len(f.entries))/f.weight, float64(len(g.entries))/g.weight
	if a != b {
		return a > b
	}
	return f.entries[len(f.entries)-1].arrival > g.entries[len(g.entries)-1].arrival
}
