package admission

import (
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// waitFraction is the part of a route's target latency that a request may spend in the
// queue. The rest is for the engine, and for the caller's retry elsewhere.
const waitFraction = 0.5

// WaitLimit returns until when a request may wait for a place: for a part of its route's
// target latency, and never so long that its run, of the usual length, ends after its
// deadline.
func WaitLimit(received, deadline clock.Instant, target, usualRun time.Duration) clock.Instant {
	return min(received.Add(time.Duration(waitFraction*float64(target))), deadline.Add(-usualRun))
}

// Capacity says how fast places become free for the requests of one daemon.
type Capacity struct {
	// Places is the number of requests that all engines of the service take at once.
	Places int
	// UsualRun is the mean time that a request occupies a place, or 0 if it is not known.
	UsualRun time.Duration
	// Share is the part of the freed places that this daemon's requests get.
	Share float64
	// OwnRunning is the number of the daemon's own requests at the engines. It learns at
	// once when one of them ends, and after Age when another daemon's does.
	OwnRunning int
	// Age is how old the knowledge of other daemons' requests is.
	Age time.Duration
}

// defaultRun stands for an unknown UsualRun, as after a start: it is about the length of a
// short stream. A request that waits in vain because of it is refused within its WaitLimit.
const defaultRun = time.Second

// PerSecond returns the number of places that become free for this daemon each second.
func (c Capacity) PerSecond() float64 {
	run := c.UsualRun
	if run <= 0 {
		run = defaultRun
	}
	return float64(c.Places) / run.Seconds() * c.Share
}

// Wait returns after what time a request is expected to get a place that has the given number
// of requests before it. A daemon without running requests learns of free places late.
func (c Capacity) Wait(ahead int) time.Duration {
	rate := c.PerSecond()
	if !(rate > 1/maxStep.Seconds()) {
		return maxStep
	}
	wait := time.Duration(min((float64(ahead)+1)/rate, maxStep.Seconds()) * float64(time.Second))
	if c.OwnRunning == 0 {
		wait += c.Age
	}
	return wait
}
