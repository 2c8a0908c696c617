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

// WriteTable writes the result for people.
func WriteTable(w io.Writer, r *Result) error {
	fmt.Fprintf(w, "\n%s: seed %d, %s after a warm-up of %s, %s, load average %s\n",
		r.Scenario.Name, r.Scenario.Seed, r.Scenario.Duration, r.Scenario.Warmup,
		r.At.Format("2006-01-02 15:04 MST"), r.LoadAverage)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workspace\tsent\tanswered\twithin rate\trefused though within\tabove rate\terrors\tincomplete\tfirst token p50\tp99\tp99.9\tbetween p99\ttotal p99\t")
	for _, s := range append(slices.Clone(r.Workspaces), r.Overall) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			s.Name, s.Sent, s.Answered, s.Within, s.WrongfullyRefused, s.AboveRate, s.Errors, s.Incomplete,
			s.FirstToken.P50, s.FirstToken.P99, s.FirstToken.P999, s.BetweenTokens.P99, s.Total.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	writeFooter(w, r)
	return nil
}

// maxSendLag is the p99 of late sending, in milliseconds, above which a run's
// latencies say more about the machine than about the fleet.
const maxSendLag = 3

func writeFooter(w io.Writer, r *Result) {
	fmt.Fprintf(w, "latencies in ms from the intended send time; requests were sent at most %.2f ms late (p99 %.2f)\n", r.SendLag.Max, r.SendLag.P99)
	if r.SendLag.P99 > maxSendLag {
		fmt.Fprintln(w, "the machine was too busy to send on time: latencies of this run tell little")
	}
	if len(r.Overall.Refused) > 0 {
		fmt.Fprintf(w, "refusals: %s\n", refusals(r.Overall.Refused))
	}
	if s := r.Workspace(r.Worst); s != nil {
		fmt.Fprintf(w, "worst-served workspace: %s, %.3f%% answered, first token p99 %.2f ms\n", s.Name, 100*s.AnsweredOfWithin, s.FirstToken.P99)
	}
	if r.Batch != nil {
		fmt.Fprintf(w, "batch: %d items done, %.1f/s, %d failed\n", r.Batch.Items, r.Batch.PerSecond, r.Batch.Failed)
	}
	for _, u := range r.Usage {
		fmt.Fprintf(w, "%d x %s: %.4f cores, at most %.1f MB and %.0f bytes/s each\n", u.Processes, u.Program, u.Cores, u.ResidentMB, u.BytesPerSecond)
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "at %s\n", note)
	}
}

// refusals names the refusals by code.
func refusals(byCode map[int]int64) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(byCode)) {
		parts = append(parts, fmt.Sprintf("%d %s (%d)", byCode[code], result.Code(code), code))
	}
	return strings.Join(parts, ", ")
}
