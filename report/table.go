package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report to w as a text table.
func WriteTable(w io.Writer, r *Report) error {
	fmt.Fprintln(w, formatHeading(r))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "objective\tfor\tkind\ttarget\t")
	if len(r.Objectives) > 0 {
		for _, window := range r.Objectives[0].Windows {
			fmt.Fprintf(t, "burn %s\t", formatWindow(window.Window))
		}
	}
	fmt.Fprintln(t, "good/total\talert\t")
	for i := range r.Objectives {
		writeRow(t, &r.Objectives[i])
	}
	return t.Flush()
}

// formatHeading returns a text that says which gateways and which time the report
// covers.
func formatHeading(r *Report) string {
	text := fmt.Sprintf("Service-level burn at %s, summed over %d gateways. A burn of 1 uses up exactly the error budget.",
		r.GeneratedAt.Format(time.RFC3339), r.Gateways)
	if len(r.Missing) > 0 {
		text += " Not counted because their counters could not be read: " + strings.Join(r.Missing, ", ") + "."
	}
	return text + " Complete since " + r.Since.Format(time.RFC3339) + "."
}

// writeRow writes the row of one objective. Its last counts are those of the longest window.
func writeRow(w io.Writer, o *Objective) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t", o.Name, formatScope(o), formatKind(o), formatPercent(o.Target))
	for _, window := range o.Windows {
		fmt.Fprintf(w, "%.2f\t", window.Burn)
	}
	last := o.Windows[len(o.Windows)-1]
	fmt.Fprintf(w, "%d/%d\t%s\t\n", last.Good, last.Total, formatAlert(o))
}

// formatScope returns which workspaces and routes the objective covers.
func formatScope(o *Objective) string {
	parts := []string{"all workspaces", "all routes"}
	if o.Workspace != "" {
		parts[0] = o.Workspace
	}
	if o.Route != "" {
		parts[1] = o.Route
	}
	return strings.Join(parts, ", ")
}

// formatKind returns the kind of the objective and its threshold, if it has one.
func formatKind(o *Objective) string {
	if o.Threshold == 0 {
		return o.Kind
	}
	return fmt.Sprintf("%s <= %s", o.Kind, o.Threshold)
}

// formatPercent returns a fraction as a percentage.
func formatPercent(target float64) string { return fmt.Sprintf("%.4g%%", 100*target) }

// formatAlert returns the windows of the first pair that alerts, which is the one with
// the fastest burn, or a dash if no pair alerts.
func formatAlert(o *Objective) string {
	for _, p := range o.Pairs {
		if p.Alert {
			return formatWindow(p.Short) + "/" + formatWindow(p.Long)
		}
	}
	return "-"
}

// formatWindow returns the length of a window in days, hours or minutes, such as 3d, 1h
// or 5m.
func formatWindow(d time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case d >= day && d%day == 0:
		return fmt.Sprintf("%dd", d/day)
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}
