package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, 1 µs to 10 min, and their precision in decimal digits. Values
// outside the range are recorded as its nearest bound.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 10 * 60 * 1000 * 1000
	significantDigits = 3
)

// Stats counts the requests of one workspace, or of all. NewStats makes one; it must not be
// used by several goroutines at once.
type Stats struct {
	// Sent counts all requests.
	Sent int64
	// Answered counts the complete responses.
	Answered int64
	// Rejected counts the rejected requests by result code.
	Rejected map[int]int64
	// Errors counts the requests that failed without a rejection.
	Errors int64
	// Incomplete counts the responses that broke off.
	Incomplete int64
	// RateExcess is the largest number of requests by which any time window exceeded the
	// burst plus the rate times the window.
	RateExcess int64
	// WithinRate counts the requests within the workspace's rate and burst.
	WithinRate int64
	// FirstToken and Total are latencies since the intended send time, InterEvent holds the
	// inter-event intervals of streams; all in microseconds.
	FirstToken, Total, InterEvent *hdrhistogram.Histogram
}

// NewStats returns empty Stats.
func NewStats() *Stats {
	return &Stats{
		Rejected:   make(map[int]int64),
		FirstToken: newHistogram(),
		Total:      newHistogram(),
		InterEvent: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// recordLatency adds the duration to the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// rejectedTotal returns the number of rejected requests of all result codes.
func (s *Stats) rejectedTotal() int64 {
	var n int64
	for _, count := range s.Rejected {
		n += count
	}
	return n
}

// WrongfullyRejected returns the number of rejections that a single limiter for the whole
// fleet would not have made. For a workspace above its rate, that is the number of requests
// by which the admitted ones fall short of those within the rate.
func (s *Stats) WrongfullyRejected() int64 {
	rejections := s.rejectedTotal()
	admitted := s.Sent - rejections
	return max(0, min(rejections, s.WithinRate-admitted))
}

// AnsweredShare returns the number of complete responses divided by the number of requests
// within the rate, at most 1. It is 1 if no request was within the rate.
func (s *Stats) AnsweredShare() float64 {
	if s.WithinRate == 0 {
		return 1
	}
	return min(1, float64(s.Answered)/float64(s.WithinRate))
}

// merge adds the counts and latencies of o, except RateExcess.
func (s *Stats) merge(o *Stats) {
	s.Sent += o.Sent
	s.Answered += o.Answered
	s.Errors += o.Errors
	s.Incomplete += o.Incomplete
	s.WithinRate += o.WithinRate
	for code, n := range o.Rejected {
		s.Rejected[code] += n
	}
	s.FirstToken.Merge(o.FirstToken)
	s.Total.Merge(o.Total)
	s.InterEvent.Merge(o.InterEvent)
}

// Quantiles holds quantiles of a histogram in milliseconds, rounded to 0.01 ms.
type Quantiles struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

const microsPerMillisecond = 1000

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: milliseconds(h.Max())}
}

// milliseconds converts microseconds to milliseconds, rounded to 0.01 ms.
func milliseconds(microseconds int64) float64 {
	return math.Round(float64(microseconds)/microsPerMillisecond*100) / 100
}
