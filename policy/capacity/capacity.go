// Package capacity learns how fast each engine of a service is, compared with the others, and
// how many requests it can take before it becomes slow.
package capacity

import (
	"math"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// Bands is the number of parts into which the slots of an engine are divided: an engine may
// become slow when only some of its slots are taken.
const Bands = 4

const (
	// paceMemory and intervalMemory are the times within which an older figure loses most of
	// its weight. The speed of an engine's VM changes many times a second, which is averaged;
	// a slowdown of 6 s must be followed within 1 s.
	paceMemory     = 400 * time.Millisecond
	intervalMemory = 600 * time.Millisecond
	// keepTime is how long a figure holds without a new observation. After that the engine
	// slowly counts as usual again, so that it gets requests which show whether it is.
	keepTime = time.Second
	// forgetTime is the time constant of that. forgetBandTime holds for all bands but the
	// first: an engine that slows down when it has many requests goes on doing so.
	forgetTime     = 2 * time.Second
	forgetBandTime = 8 * time.Second
	// minPercent and maxPercent bound each observation, so that one faulty daemon or engine
	// cannot take an engine out of use or attract all requests to it.
	minPercent, maxPercent = 50, 400
	// usual is the figure of an engine that nothing is known of.
	usual = 100
	// minMeasured is the number of measured engines below which their median says nothing.
	minMeasured = 4
)

// figure is a moving average in percent. The zero value is unknown.
type figure struct {
	percent float64
	at      clock.Instant // of the last observation
}

// observe adds an observation.
func (f *figure) observe(percent float64, memory time.Duration, now clock.Instant) {
	percent = min(max(percent, minPercent), maxPercent)
	if f.at == 0 {
		*f = figure{percent, now}
		return
	}
	weight := 1 - math.Exp(-float64(max(now.Sub(f.at), 0))/float64(memory))
	f.percent += weight * (percent - f.percent)
	f.at = max(f.at, now)
}

// value returns the figure, which approaches the usual one after keepTime.
func (f *figure) value(forget time.Duration, now clock.Instant) float64 {
	if f.at == 0 {
		return usual
	}
	over := max(now.Sub(f.at)-keepTime, 0)
	return usual + (f.percent-usual)*math.Exp(-float64(over)/float64(forget))
}

// Estimate is what a daemon has learned of one start of an engine. The zero value is an engine
// that nothing is known of.
type Estimate struct {
	pace  figure
	bands [Bands]figure // inter-event interval relative to other engines of the same pace
}

// ObservePace records the pace in percent that the engine reported.
func (e *Estimate) ObservePace(percent float64, now clock.Instant) {
	e.pace.observe(percent, paceMemory, now)
}

// Pace returns the engine's pace in percent, averaged over paceMemory.
func (e *Estimate) Pace(now clock.Instant) float64 { return e.pace.value(forgetTime, now) }

// Sample is the inter-event interval of an engine as one daemon measured it.
type Sample struct {
	// Band is that of the number of requests that the engine had.
	Band int
	// Percent is the interval relative to what the median engine had in the same daemon's
	// view, which leaves out a daemon that is slow itself.
	Percent float64
}

// ObserveInterval records a sample. The median pace is that of the service's engines.
func (e *Estimate) ObserveInterval(s Sample, medianPace float64, now clock.Instant) {
	band := min(max(s.Band, 0), Bands-1)
	e.bands[band].observe(s.Percent*medianPace/max(e.Pace(now), 1), intervalMemory, now)
}

// Curve returns how slow the engine is in each band. The median pace is that of the service's
// engines: if all are slow, none is.
func (e *Estimate) Curve(medianPace float64, now clock.Instant) Curve {
	pace := e.Pace(now) / max(medianPace, 1)
	var c Curve
	slowest := 0.0
	for i := range e.bands {
		forget := forgetBandTime
		if i == 0 {
			forget = forgetTime
		}
		if f := &e.bands[i]; f.at != 0 {
			slowest = max(slowest, f.value(forget, now))
		} else if slowest == 0 {
			slowest = usual
		}
		c[i] = uint16(min(max(math.Round(pace*slowest), minPercent), maxPercent))
	}
	return c
}

// Curve says how slow an engine is in each band, in percent of the median engine. It never
// falls. The zero value is unknown.
type Curve [Bands]uint16

// Pack returns the curve as a number, which is 0 only if the curve is unknown.
func (c Curve) Pack() uint64 {
	var packed uint64
	for i, percent := range c {
		packed |= uint64(percent) << (16 * i)
	}
	return packed
}

// Unpack returns the curve of a number that Pack returned.
func Unpack(packed uint64) Curve {
	var c Curve
	for i := range c {
		c[i] = uint16(packed >> (16 * i))
	}
	return c
}

// Band returns the band of an engine with the given number of requests.
func Band(requests, slots int) int {
	return min(max((requests-1)*Bands/max(slots, 1), 0), Bands-1)
}

// Slowness returns how many times slower than the median engine the engine is with the given
// number of requests.
func (c Curve) Slowness(requests, slots int) float64 {
	return float64(c[Band(requests, slots)]) / usual
}

// Median returns the median of the values, or false if there are too few to compare engines
// by it. It sorts the values.
func Median(values []float64) (float64, bool) {
	if len(values) < minMeasured {
		return usual, false
	}
	slices.Sort(values)
	return values[len(values)/2], true
}
