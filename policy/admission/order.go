package admission

import (
	"slices"

	"github.com/baobablanding/baobablanding/policy/queue"
)

// turnsBeforeOthers is how many places in a row go to more urgent routes while another route
// waits. The next one goes to that route, so that none starves.
const turnsBeforeOthers = 8

// order is the order of requests that wait for a place: by the priority of their routes, and
// fair between workspaces within one priority. It is not safe for concurrent use.
type order[T any] struct {
	classes []*class[T] // sorted by priority; the empty ones are kept, since there are few
	length  int
}

// class holds the requests of one priority.
type class[T any] struct {
	priority   int
	fair       *queue.Fair[T]
	passedOver int // places that more urgent classes got while this one waited
}

// place is the place of a request in an order.
type place[T any] struct {
	class *class[T]
	entry *queue.Entry[T]
}

// push adds a request.
func (o *order[T]) push(priority int, workspace string, weight int, value T) place[T] {
	i, found := slices.BinarySearchFunc(o.classes, priority, func(c *class[T], p int) int { return c.priority - p })
	if !found {
		o.classes = slices.Insert(o.classes, i, &class[T]{priority: priority, fair: queue.NewFair[T]()})
	}
	o.length++
	return place[T]{o.classes[i], o.classes[i].fair.Push(workspace, weight, value)}
}

// next returns the request that gets the next place, or false if none waits.
func (o *order[T]) next() (place[T], bool) {
	var first *class[T]
	for _, c := range o.classes {
		if c.fair.Len() == 0 {
			continue
		}
		if c.passedOver >= turnsBeforeOthers {
			return place[T]{c, c.fair.Peek()}, true
		}
		if first == nil {
			first = c
		}
	}
	if first == nil {
		return place[T]{}, false
	}
	return place[T]{first, first.fair.Peek()}, true
}

// serve removes a request that got a place.
func (o *order[T]) serve(p place[T]) {
	if !p.class.fair.Serve(p.entry) {
		return
	}
	o.length--
	p.class.passedOver = 0
	for _, c := range o.classes {
		if c.fair.Len() == 0 {
			c.passedOver = 0
		} else if c.priority > p.class.priority {
			c.passedOver++
		}
	}
}

// remove removes a request that gets no place.
func (o *order[T]) remove(p place[T]) {
	if p.class.fair.Remove(p.entry) {
		o.length--
	}
}

// evict removes and returns the newest request of the workspace that has the most requests
// for its weight in the least urgent class, or false if none waits there. It spares classes
// that are more urgent than the given priority.
func (o *order[T]) evict(priority int) (value T, ok bool) {
	for _, c := range slices.Backward(o.classes) {
		if c.priority < priority {
			break
		}
		if value, ok = c.fair.Evict(); ok {
			o.length--
			return value, true
		}
	}
	return value, false
}

// ahead returns about how many of the waiting requests get a place before a new one.
func (o *order[T]) ahead(priority int, workspace string, weight int) int {
	n := 0
	for _, c := range o.classes {
		switch {
		case c.priority < priority:
			n += c.fair.Len()
		case c.priority == priority:
			n += c.fair.Ahead(workspace, weight)
		}
	}
	return n + n/turnsBeforeOthers
}
