package admission

import (
	"math"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// Time constants of the two averages whose difference shows a trend. Load that rises within a
// second is seen within fastTime; slowTime is long enough to level out single requests.
const (
	fastTime = 150 * time.Millisecond
	slowTime = 600 * time.Millisecond
)

// Trend follows a number of online requests. It is a value; the zero value has seen nothing.
type Trend struct {
	fast, slow float64
	at         clock.Instant // of the last number, or 0
}

// Next returns the trend after the number was level at now.
func (t Trend) Next(level float64, now clock.Instant) Trend {
	if t.at == 0 {
		return Trend{fast: level, slow: level, at: now}
	}
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return t
	}
	approach := func(old float64, constant time.Duration) float64 {
		return old + (level-old)*(1-math.Exp(-elapsed.Seconds()/constant.Seconds()))
	}
	return Trend{fast: approach(t.fast, fastTime), slow: approach(t.slow, slowTime), at: now}
}

// Rise returns by how many requests the number is expected to grow within the horizon, beyond
// what chance explains: independent requests vary by about the root of their number. It is 0
// while the number falls.
func (t Trend) Rise(horizon time.Duration) float64 {
	grown := t.fast - t.slow - math.Sqrt(t.slow)/2
	if grown <= 0 {
		return 0
	}
	return grown * horizon.Seconds() / (slowTime - fastTime).Seconds()
}
