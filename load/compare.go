package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteComparison writes a table that compares each result with its baseline. It writes
// nothing for fewer than two results.
func WriteComparison(w io.Writer, results []*Result) error {
	if len(results) < 2 {
		return nil
	}
	fmt.Fprintf(w, "\nRatios to the baseline run, seed %d\n", results[0].Scenario.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "run\tbaseline\tfirst token p50\tp95\tp99\tinter-event p99\ttotal p50 added ms\tp99 added ms\trejected within rate\terrors and incomplete\tworst-served answered\tworst-served first token p99\tbatch items/s\t")
	for _, r := range results {
		writeRatios(t, r, baselineResult(results, r))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	writeIdleCapacityShare(w, results)
	return nil
}

// writeRatios writes one row: ratios of latencies, differences of total latencies in
// milliseconds, and the counts of r itself.
func writeRatios(w io.Writer, r, base *Result) {
	a, b := &r.Overall, &base.Overall
	fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%.3f%%\t%.2f\t%s\t\n",
		r.Scenario.Name, base.Scenario.Variant,
		ratio(a.FirstToken.P50, b.FirstToken.P50), ratio(a.FirstToken.P95, b.FirstToken.P95),
		ratio(a.FirstToken.P99, b.FirstToken.P99), ratio(a.InterEvent.P99, b.InterEvent.P99),
		a.Total.P50-b.Total.P50, a.Total.P99-b.Total.P99,
		a.WrongfullyRejected, a.Errors+a.Incomplete, 100*worstServedAnsweredShare(r), worstServedFirstTokenRatio(r, base), formatBatchRate(r))
}

// baselineResult returns the result that r is compared with: the one of the variant in
// baselineOf if it was run, else the first.
func baselineResult(results []*Result, r *Result) *Result {
	if base := resultOfVariant(results, baselineOf[r.Scenario.Variant]); base != nil {
		return base
	}
	return results[0]
}

// resultOfVariant returns the first result of the variant, or nil if there is none.
func resultOfVariant(results []*Result, variant string) *Result {
	for _, r := range results {
		if variant != "" && r.Scenario.Variant == variant {
			return r
		}
	}
	return nil
}

// writeIdleCapacityShare writes which share of the capacity that online requests left idle
// was used by the batch job. Idle capacity is the throughput of the batch job alone less
// the online throughput. It needs results of the variants batch and batch-alone.
func writeIdleCapacityShare(w io.Writer, results []*Result) {
	beside, alone := resultOfVariant(results, "batch"), resultOfVariant(results, "batch-alone")
	if beside == nil || alone == nil || beside.Batch == nil || alone.Batch == nil {
		return
	}
	online := float64(beside.Overall.Answered) / beside.Scenario.Duration.Seconds()
	idle := alone.Batch.PerSecond - online
	fmt.Fprintf(w, "batch alone %.1f items/s, online %.1f requests/s: batch beside online used %.1f%% of the idle capacity\n",
		alone.Batch.PerSecond, online, 100*ratio(beside.Batch.PerSecond, idle))
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// worstServedAnsweredShare returns the answered share of the worst-served workspace, or 1
// if no workspace stayed within its rate.
func worstServedAnsweredShare(r *Result) float64 {
	if s := r.Workspace(r.WorstServed); s != nil {
		return s.AnsweredShare
	}
	return 1
}

// worstServedFirstTokenRatio returns the ratio of the first-token p99 of r's worst-served
// workspace to that of the same workspace in base, or 0 if either is missing.
func worstServedFirstTokenRatio(r, base *Result) float64 {
	a, b := r.Workspace(r.WorstServed), base.Workspace(r.WorstServed)
	if a == nil || b == nil {
		return 0
	}
	return ratio(a.FirstToken.P99, b.FirstToken.P99)
}

func formatBatchRate(r *Result) string {
	if r.Batch == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f", r.Batch.PerSecond)
}
