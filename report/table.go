package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report for people.
func WriteTable(w io.Writer, r *Report) error {
	fmt.Fprintln(w, heading(r))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "objective\tfor\tkind\ttarget\t")
	if len(r.Objectives) > 0 {
		for _, window := range r.Objectives[0].Windows {
			fmt.Fprintf(t, "burn %s\t", short(window.Window))
		}
	}
	fmt.Fprintln(t, "good/total\talert\t")
	for i := range r.Objectives {
		writeRow(t, &r.Objectives[i])
	}
	return t.Flush()
}

// heading says what the report covers and what may be missing.
func heading(r *Report) string {
	text := fmt.Sprintf("Service-level burn at %s, summed over %d gateways. A burn of 1 uses up exactly the budget.",
		r.At.Format(time.RFC3339), r.Gateways)
	if len(r.Missing) > 0 {
		text += " Not counted, since they did not answer: " + strings.Join(r.Missing, ", ") + "."
	}
	return text + " Complete since " + r.Since.Format(time.RFC3339) + "."
}

func writeRow(w io.Writer, o *Objective) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t", o.Name, scope(o), kind(o), percent(o.Target))
	for _, window := range o.Windows {
		fmt.Fprintf(w, "%.2f\t", window.Burn)
	}
	last := o.Windows[len(o.Windows)-1]
	fmt.Fprintf(w, "%d/%d\t%s\t\n", last.Good, last.Total, alert(o))
}

// scope says which requests the objective covers.
func scope(o *Objective) string {
	parts := []string{"all workspaces", "all routes"}
	if o.Workspace != "" {
		parts[0] = o.Workspace
	}
	if o.Route != "" {
		parts[1] = o.Route
	}
	return strings.Join(parts, ", ")
}

func kind(o *Objective) string {
	if o.Threshold == 0 {
		return o.Kind
	}
	return fmt.Sprintf("%s <= %s", o.Kind, o.Threshold)
}

func percent(target float64) string { return fmt.Sprintf("%.4g%%", 100*target) }

// alert names the windows of the fastest pair that alerts.
func alert(o *Objective) string {
	for _, p := range o.Pairs {
		if p.Alert {
			return short(p.Short) + "/" + short(p.Long)
		}
	}
	return "-"
}

// short writes a window as operators do: 5m, 1h, 3d.
func short(d time.Duration) string {
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
