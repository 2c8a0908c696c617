package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/clock"
)

// follow returns the trend after the levels, 40 ms apart.
func follow(levels ...float64) (t Trend) {
	for i, level := range levels {
		t = t.Next(level, clock.Instant(1).Add(time.Duration(i)*40*time.Millisecond))
	}
	return t
}

// TestTrendOfAPeakAfterAValley guards against items that leave only once the engines are full,
// and against a forecast far beyond the peak.
func TestTrendOfAPeakAfterAValley(t *testing.T) {
	levels := slices.Repeat([]float64{40}, 50)
	for i := range 10 { // 200 more within a second
		levels = append(levels, 40+8*float64(i+1))
	}
	if rise := follow(levels...).Rise(300 * time.Millisecond); rise < 10 || rise > 80 {
		t.Errorf("expected rise %v within 300 ms, the load rises by 60", rise)
	}
}

// TestSteadyAndFallingLoadHaveNoTrend guards against engines that stay partly unused because
// single requests look like a peak.
func TestSteadyAndFallingLoadHaveNoTrend(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var steady, falling []float64
	for i := range 100 {
		steady = append(steady, 100+10*random.NormFloat64()) // as many independent requests vary
		falling = append(falling, 200-2*float64(i))
	}
	for _, levels := range [][]float64{steady, falling} {
		if rise := follow(levels...).Rise(300 * time.Millisecond); rise > 2 {
			t.Errorf("expected rise %v after %v", rise, levels[90:])
		}
	}
}
