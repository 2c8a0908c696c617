package admission

import (
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// maxWaiting bounds the requests of one service that wait on a daemon. The predicted wait
// refuses requests before that, unless it is far too short.
const maxWaiting = 256

// Reason says why a request is refused or let go.
type Reason string

// Reasons of a Refused.
const (
	// TooLate means that the predicted wait exceeds the time that the request has.
	TooLate Reason = "too_late"
	// Displaced means that the queue is full and other workspaces come first.
	Displaced Reason = "displaced"
)

// Arrival is a request that found no place.
type Arrival struct {
	// Now is when it came to the queue.
	Now clock.Instant
	// Until is when it gives up, see WaitLimit.
	Until clock.Instant
	// Priority is that of its route.
	Priority int
	// Workspace is the workspace's name, and Weight its part of the places in proportion
	// to others'.
	Workspace string
	Weight    int
}

// Forecast is what a decision was made on.
type Forecast struct {
	// Ahead is the number of requests before this one.
	Ahead int
	// Wait is the predicted time until it gets a place.
	Wait time.Duration
	// Capacity is what was known of the engines.
	Capacity Capacity
}

// Refused is a request that does not wait any longer.
type Refused[T any] struct {
	// Value is the request.
	Value    T
	Reason   Reason
	Forecast Forecast
}

// Queue holds the requests of one daemon that wait for a place at the engines of one service.
// The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T comparable] struct {
	order  order[T]
	places map[T]place[T]
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.order.length }

// Join decides about a request that found no place: it waits, or is refused at once if it is
// not expected to get a place in time. A full queue displaces a request of the workspace that
// has the most for its weight, which may be the new one.
func (q *Queue[T]) Join(a Arrival, capacity Capacity, value T) (refused []Refused[T]) {
	forecast := Forecast{Ahead: q.order.ahead(a.Priority, a.Workspace, a.Weight), Capacity: capacity}
	forecast.Wait = capacity.Wait(forecast.Ahead)
	if a.Now.Add(forecast.Wait) > a.Until {
		return []Refused[T]{{value, TooLate, forecast}}
	}
	if q.places == nil {
		q.places = make(map[T]place[T])
	}
	q.places[value] = q.order.push(a.Priority, a.Workspace, a.Weight, value)
	if q.Len() > maxWaiting {
		if displaced, ok := q.order.evict(a.Priority); ok {
			delete(q.places, displaced)
			return []Refused[T]{{displaced, Displaced, forecast}}
		}
	}
	return nil
}

// Next returns the request that gets the next place, or false if none waits.
func (q *Queue[T]) Next() (value T, ok bool) {
	p, ok := q.order.next()
	if !ok {
		return value, false
	}
	return p.entry.Value, true
}

// Served removes a request that got a place.
func (q *Queue[T]) Served(value T) {
	if p, ok := q.places[value]; ok {
		q.order.serve(p)
		delete(q.places, value)
	}
}

// Left removes a request that gave up.
func (q *Queue[T]) Left(value T) {
	if p, ok := q.places[value]; ok {
		q.order.remove(p)
		delete(q.places, value)
	}
}

// Requeue moves a request behind the others of its workspace.
func (q *Queue[T]) Requeue(a Arrival, value T) {
	if p, ok := q.places[value]; ok {
		q.order.remove(p)
		q.places[value] = q.order.push(a.Priority, a.Workspace, a.Weight, value)
	}
}

// All returns the waiting requests in no particular order.
func (q *Queue[T]) All() []T {
	all := make([]T, 0, len(q.places))
	for value := range q.places {
		all = append(all, value)
	}
	return all
}

// Weight returns the weight of a workspace of the given priority: half of that of the next
// more urgent one, and half again while it uses all of its rate, by what this and the other
// daemons admitted of it. Its requests on all daemons then stand behind those of workspaces
// that use less.
func Weight(priority int, usesAll bool) int {
	weight := 1 << max(0, 5-max(priority, 0))
	if usesAll {
		weight /= 2
	}
	return max(weight, 1)
}
