package route

import (
	"testing"
	"time"
)

// workloads are the workloads on which policies are compared.
var workloads = []struct {
	name string
	work workload
	gain float64 // smallest accepted ratio of cache hits with and without prefixes
}{
	// A service of an existing user: 14 engines in three data centres.
	{"today", workload{
		dataCentres: 3, gateways: 4, engines: 14, slots: 8,
		cached: 24, prefixes: 400, skew: 1.1,
		prefill: 200 * time.Millisecond, decode: 800 * time.Millisecond,
		rate: 90, length: 120 * time.Second,
	}, 1.3},
	// The same service near its capacity, where most requests go to any upstream
	// with a free slot.
	{"busy", workload{
		dataCentres: 3, gateways: 4, engines: 14, slots: 8,
		cached: 24, prefixes: 400, skew: 1.1,
		prefill: 200 * time.Millisecond, decode: 800 * time.Millisecond,
		rate: 112, length: 120 * time.Second,
	}, 1},
	// A quarter of the target size, with the same ratio of engines to gateways and
	// the same request rate per engine and per gateway.
	{"target", workload{
		dataCentres: 3, gateways: 100, engines: 450, slots: 16,
		cached: 24, prefixes: 6000, skew: 1.1,
		prefill: 200 * time.Millisecond, decode: 9 * time.Second,
		rate: 550, length: 60 * time.Second,
	}, 1.3},
}

// BenchmarkComparePolicies runs every policy on the same workloads.
func BenchmarkComparePolicies(b *testing.B) {
	for _, w := range workloads {
		for _, p := range policies {
			b.Run(w.name+"/"+p.name, func(b *testing.B) {
				for i := range b.N {
					o := w.work.run(p, uint64(i+1))
					b.ReportMetric(ms(o.p50), "p50-ms")
					b.ReportMetric(ms(o.p99), "p99-ms")
					b.ReportMetric(100*o.hitRatio, "hit-%")
					b.ReportMetric(o.rejections, "asks/req")
					b.ReportMetric(float64(o.requests), "reqs")
				}
			})
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// TestPrefixesImproveCacheHitsWithoutLongerTails compares Choose with the same score
// without prefixes: the p99 time to the first token may be at most a tenth longer,
// and the cache hits must reach the gain of the workload.
func TestPrefixesImproveCacheHitsWithoutLongerTails(t *testing.T) {
	chosen := namedPolicy{"chosen", pickChosen, MaxNoWaitAttempts}
	plain := namedPolicy{"plain", pickScore, MaxNoWaitAttempts}
	for _, w := range workloads {
		w.work.length /= 2
		got, want := w.work.run(chosen, 1), w.work.run(plain, 1)
		t.Logf("%s: chosen %+v, without prefixes %+v", w.name, got, want)
		if got.requests != want.requests {
			t.Fatalf("%d requests compared with %d", got.requests, want.requests)
		}
		if limit := want.p99 + want.p99/10; got.p99 > limit {
			t.Errorf("%s: p99 %v, limit %v", w.name, got.p99, limit)
		}
		if got.hitRatio < w.gain*want.hitRatio {
			t.Errorf("%s: cache hits %.2f, without prefixes %.2f", w.name, got.hitRatio, want.hitRatio)
		}
	}
}
