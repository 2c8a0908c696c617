package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteComparison writes the ratios of each result to its base.
func WriteComparison(w io.Writer, results []*Result) error {
	if len(results) < 2 {
		return nil
	}
	fmt.Fprintf(w, "\nRatios on the same seed, %d\n", results[0].Scenario.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "run\tto\tfirst token p50\tp95\tp99\tbetween p99\ttotal p50 added ms\tp99 added ms\trefused though within\terrors and incomplete\tworst-served answered\tits first token p99\tbatch items/s\t")
	for _, r := range results {
		writeRatios(t, r, baseResult(results, r))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	writeIdleShare(w, results)
	return nil
}

func writeRatios(w io.Writer, r, base *Result) {
	a, b := &r.Overall, &base.Overall
	fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%.3f%%\t%.2f\t%s\t\n",
		r.Scenario.Name, base.Scenario.Variant,
		ratio(a.FirstToken.P50, b.FirstToken.P50), ratio(a.FirstToken.P95, b.FirstToken.P95),
		ratio(a.FirstToken.P99, b.FirstToken.P99), ratio(a.BetweenTokens.P99, b.BetweenTokens.P99),
		a.Total.P50-b.Total.P50, a.Total.P99-b.Total.P99,
		a.WrongfullyRefused, a.Errors+a.Incomplete, 100*worstShare(r), worstRatio(r, base), batchRate(r))
}

// baseResult returns the result that r is compared with.
func baseResult(results []*Result, r *Result) *Result {
	if base := variantResult(results, baseOf[r.Scenario.Variant]); base != nil {
		return base
	}
	return results[0]
}

func variantResult(results []*Result, variant string) *Result {
	for _, r := range results {
		if variant != "" && r.Scenario.Variant == variant {
			return r
		}
	}
	return nil
}

// writeIdleShare compares the batch throughput beside online requests with what
// these leave of the throughput without them.
func writeIdleShare(w io.Writer, results []*Result) {
	beside, alone := variantResult(results, "batch"), variantResult(results, "batch-alone")
	if beside == nil || alone == nil || beside.Batch == nil || alone.Batch == nil {
		return
	}
	online := float64(beside.Overall.Answered) / beside.Scenario.Duration.Seconds()
	idle := alone.Batch.PerSecond - online
	fmt.Fprintf(w, "batch alone %.1f items/s, online %.1f/s: batch used %.1f%% of what was idle\n",
		alone.Batch.PerSecond, online, 100*ratio(beside.Batch.PerSecond, idle))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func worstShare(r *Result) float64 {
	if s := r.Workspace(r.Worst); s != nil {
		return s.AnsweredOfWithin
	}
	return 1
}

// worstRatio compares the worst-served workspace with itself in the base run.
func worstRatio(r, base *Result) float64 {
	a, b := r.Workspace(r.Worst), base.Workspace(r.Worst)
	if a == nil || b == nil {
		return 0
	}
	return ratio(a.FirstToken.P99, b.FirstToken.P99)
}

func batchRate(r *Result) string {
	if r.Batch == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f", r.Batch.PerSecond)
}
