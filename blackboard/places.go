package blackboard

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/admission"
)

// PlaceQueue passes the online requests that wait for a place at an engine to
// controller/admission, and tells it when places become free.
type PlaceQueue struct {
	// Joins holds requests that begin to wait.
	Joins chan *WaitingRequest
	// Wake wakes controller/admission after Freed or the state of a waiting request
	// changed. Its capacity is one: a full channel means that the wake-up is pending.
	Wake chan struct{}
	// Waiting is the number of requests that wait. While it is not 0, new requests wait
	// behind them. controller/admission writes it.
	Waiting atomic.Int64

	freed atomic.Int64
}

// maxJoins is the number of requests that may wait to be taken into the queue.
const maxJoins = 256

// NewPlaceQueue returns an empty queue.
func NewPlaceQueue() *PlaceQueue {
	return &PlaceQueue{Joins: make(chan *WaitingRequest, maxJoins), Wake: make(chan struct{}, 1)}
}

// PlaceFreed tells the queue that a place may have become free. It does not block.
func (q *PlaceQueue) PlaceFreed() {
	q.freed.Add(1)
	if q.Waiting.Load() > 0 {
		q.signal()
	}
}

// Freed returns a number that changes whenever a place may have become free.
func (q *PlaceQueue) Freed() int64 { return q.freed.Load() }

func (q *PlaceQueue) signal() {
	select {
	case q.Wake <- struct{}{}:
	default:
	}
}

// Turn is what a waiting request is told.
type Turn struct {
	// Refused is why it does not wait any longer, or "" if it may look for a place.
	Refused admission.Reason
	// Forecast is what a refusal rests on.
	Forecast admission.Forecast
}

// States of a WaitingRequest.
const (
	requestWaits int32 = iota
	requestLooks       // it has the turn and looks for a place
	requestServed
	requestLeft
)

// WaitingRequest is an online request that waits for a place at an engine of a service. It
// looks for a place only while it has the turn.
type WaitingRequest struct {
	admission.Arrival
	// Service is the name of the service.
	Service string
	// Selective reports whether the request avoids engines that it tried. Others may then
	// find a place where it finds none.
	Selective bool
	// LookedAt is PlaceQueue.Freed when its last turn began, or -1. controller/admission
	// writes it.
	LookedAt int64
	// Turn receives what the request is told, at most once for each turn. Its capacity is
	// one.
	Turn chan Turn

	state atomic.Int32
}

// NewWaitingRequest returns a request that has not joined a queue.
func NewWaitingRequest(service string, a admission.Arrival) *WaitingRequest {
	return &WaitingRequest{Arrival: a, Service: service, LookedAt: -1, Turn: make(chan Turn, 1)}
}

// GiveTurn lets the request look for a place. It reports false if the request has ended or
// has the turn already.
func (w *WaitingRequest) GiveTurn() bool {
	if !w.state.CompareAndSwap(requestWaits, requestLooks) {
		return false
	}
	w.Turn <- Turn{}
	return true
}

// Refuse ends the wait of a request that does not have the turn.
func (w *WaitingRequest) Refuse(reason admission.Reason, forecast admission.Forecast) {
	if w.state.CompareAndSwap(requestWaits, requestLeft) {
		w.Turn <- Turn{Refused: reason, Forecast: forecast}
	}
}

// Looks reports whether the request has the turn.
func (w *WaitingRequest) Looks() bool { return w.state.Load() == requestLooks }

// Ended reports whether the request no longer waits, and whether it got a place.
func (w *WaitingRequest) Ended() (ended, served bool) {
	state := w.state.Load()
	return state == requestServed || state == requestLeft, state == requestServed
}

// ReturnTurn ends the turn of the request, which waits on if it found no place.
func (q *PlaceQueue) ReturnTurn(w *WaitingRequest, served bool) {
	next := requestWaits
	if served {
		next = requestServed
	}
	w.state.Store(next)
	q.signal()
}

// Leave ends the wait of the request.
func (q *PlaceQueue) Leave(w *WaitingRequest) {
	w.state.Store(requestLeft)
	q.signal()
}

// ServiceRuns holds what is known of the requests of one service that ran on this daemon. The
// zero value knows nothing. Its methods may be called from several goroutines.
type ServiceRuns struct {
	usual atomic.Int64 // moving average of the time at an engine, in ns, or 0
	// Returns is the virtual queue of the callers that were refused because all engines
	// of the service were full.
	Returns admission.ReturnQueue
	// Refused counts these callers.
	Refused atomic.Int64
}

// runWeight is the weight of one run in the average: it follows a change of the engines'
// speed within some ten requests.
const runWeight = 0.1

// RecordRun records how long a request was at an engine.
func (s *ServiceRuns) RecordRun(took time.Duration) {
	for {
		old := s.usual.Load()
		next := int64(took)
		if old != 0 {
			next = old + int64(math.Round(runWeight*float64(next-old)))
		}
		if s.usual.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

// UsualRun returns the mean time that a request is at an engine, or 0 if it is not known.
func (s *ServiceRuns) UsualRun() time.Duration { return time.Duration(s.usual.Load()) }

// UsesAdmissionQueue reports whether online requests of the service wait for a place when all
// its engines are full. The memory of its engines then limits placement, too.
func (b *EntryBoard) UsesAdmissionQueue(service string) bool {
	return b.AdmissionQueue.Load() || b.PacedServices.Value()[service]
}

// PlaceCapacity returns what the daemon knows of how fast places at the engines of the service
// become free.
func (b *EntryBoard) PlaceCapacity(service string) admission.Capacity {
	var places, own, all int
	now := clock.Now()
	for _, e := range b.Engines.Value().OfService(service) {
		if e.IsUsable() && e.IsKept(now) {
			places += e.Slots
			own += int(e.Load.Online.Load())
			all += e.OnlineRequestCount()
		}
	}
	roster := b.Roster.Value()
	capacity := admission.Capacity{
		Places: places, OwnRunning: own, Age: roster.LoadDelays().Far,
		Share: (float64(own) + 1) / float64(all+roster.Size()),
	}
	if runs := b.ServiceRuns.Value()[service]; runs != nil {
		capacity.UsualRun = runs.UsualRun()
	}
	return capacity
}

// MemoryTokens returns the tokens that an engine of the service can hold, or 0 if that is not
// known or does not limit placement.
func (b *EntryBoard) MemoryTokens(service *catalog.Service) int64 {
	if service == nil || !b.UsesAdmissionQueue(service.Name) {
		return 0
	}
	return service.MemoryTokens
}
