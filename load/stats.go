package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	minLatency        = 1
	maxLatency        = 10 * 60 * 1000 * 1000
	significantDigits = 3
)

// Stats counts the requests of one workspace, or of all.
type Stats struct {
	// Sent counts the requests.
	Sent int64
	// Answered counts the whole answers.
	Answered int64
	// Refused counts the refusals by result code.
	Refused map[int]int64
	// Errors counts the requests that failed in another way.
	Errors int64
	// Incomplete counts the answers that broke off.
	Incomplete int64
	// AboveRate is by how many requests a window held more than the burst and
	// what the rate earns, at worst.
	AboveRate int64
	// Within counts the requests within the workspace's rate.
	Within int64
	// FirstToken, Total and BetweenTokens are latencies in microseconds. The
	// first two count from the intended send time.
	FirstToken, Total, BetweenTokens *hdrhistogram.Histogram
}

// NewStats returns empty Stats.
func NewStats() *Stats {
	return &Stats{
		Refused:       make(map[int]int64),
		FirstToken:    newHistogram(),
		Total:         newHistogram(),
		BetweenTokens: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

// refusedAll counts the refusals of every code.
func (s *Stats) refusedAll() int64 {
	var n int64
	for _, count := range s.Refused {
		n += count
	}
	return n
}

// WrongfullyRefused counts the refusals that one limiter for the whole fleet
// would not have made. Of a workspace above its rate, it counts by how many
// requests fewer were admitted than the rate allows.
func (s *Stats) WrongfullyRefused() int64 {
	refused := s.refusedAll()
	admitted := s.Sent - refused
	return max(0, min(refused, s.Within-admitted))
}

// AnsweredOfWithin returns the fraction of the requests within the rate that
// got a whole answer, at most 1.
func (s *Stats) AnsweredOfWithin() float64 {
	if s.Within == 0 {
		return 1
	}
	return min(1, float64(s.Answered)/float64(s.Within))
}

// merge adds what o counted.
func (s *Stats) merge(o *Stats) {
	s.Sent += o.Sent
	s.Answered += o.Answered
	s.Errors += o.Errors
	s.Incomplete += o.Incomplete
	s.Within += o.Within
	for code, n := range o.Refused {
		s.Refused[code] += n
	}
	s.FirstToken.Merge(o.FirstToken)
	s.Total.Merge(o.Total)
	s.BetweenTokens.Merge(o.BetweenTokens)
}

// Quantiles summarises a histogram in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

const microsecondsPerMillisecond = 1000

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: milliseconds(h.Max())}
}

func milliseconds(microseconds int64) float64 {
	return math.Round(float64(microseconds)/microsecondsPerMillisecond*100) / 100
}
