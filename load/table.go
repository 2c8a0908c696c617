package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/baobablanding/baobablanding/result"
)

// WriteTable writes the result as a text table with a row for each workspace and one for
// all, followed by notes.
func WriteTable(w io.Writer, r *Result) error {
	fmt.Fprintf(w, "\n%s: seed %d, %s after a warm-up of %s, %s, load average %s\n",
		r.Scenario.Name, r.Scenario.Seed, r.Scenario.Duration, r.Scenario.Warmup,
		r.At.Format("2006-01-02 15:04 MST"), r.LoadAverage)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workspace\tsent\tanswered\twithin rate\trejected within rate\tabove rate\terrors\tincomplete\tfirst token p50\tp99\tp99.9\tinter-event p99\ttotal p99\t")
	for _, s := range append(slices.Clone(r.Workspaces), r.Overall) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			s.Name, s.Sent, s.Answered, s.WithinRate, s.WrongfullyRejected, s.RateExcess, s.Errors, s.Incomplete,
			s.FirstToken.P50, s.FirstToken.P99, s.FirstToken.P999, s.InterEvent.P99, s.Total.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	writeFooter(w, r)
	return nil
}

// maxSendLagP99Millis is the p99 of the send lag above which the latencies of a run depend
// more on the load generator than on the fleet.
const maxSendLagP99Millis = 3

func writeFooter(w io.Writer, r *Result) {
	fmt.Fprintf(w, "latencies in ms from the intended send time; requests were sent at most %.2f ms late (p99 %.2f)\n", r.SendLag.Max, r.SendLag.P99)
	if r.SendLag.P99 > maxSendLagP99Millis {
		fmt.Fprintln(w, "baobab-load was too busy to send requests on time: do not rely on the latencies of this run; repeat it on an idle computer")
	}
	if len(r.Overall.Rejected) > 0 {
		fmt.Fprintf(w, "rejected: %s\n", formatRejections(r.Overall.Rejected))
	}
	if s := r.Workspace(r.WorstServed); s != nil {
		fmt.Fprintf(w, "worst-served workspace: %s, %.3f%% answered, first token p99 %.2f ms\n", s.Name, 100*s.AnsweredShare, s.FirstToken.P99)
	}
	if r.Batch != nil {
		fmt.Fprintf(w, "batch: %d items ended, %.1f items/s, %d failed\n", r.Batch.Items, r.Batch.PerSecond, r.Batch.Failed)
	}
	for _, u := range r.Usage {
		fmt.Fprintf(w, "%d x %s: %.4f cores, at most %.1f MiB and %.0f bytes/s each\n", u.Processes, u.Program, u.Cores, u.ResidentMiB, u.BytesPerSecond)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
}

// formatRejections lists the number of rejected requests by result code.
func formatRejections(byCode map[int]int64) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(byCode)) {
		parts = append(parts, fmt.Sprintf("%d %s (%d)", byCode[code], result.Code(code), code))
	}
	return strings.Join(parts, ", ")
}
