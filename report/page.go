package report

import (
	"fmt"
	"io"
	"math"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// WritePage writes the report as an HTML page with plots.
func WritePage(w io.Writer, r *Report) error {
	page := components.NewPage()
	page.PageTitle = "Service-level burn"
	page.AddCharts(overview(r))
	for i := range r.Objectives {
		page.AddCharts(windows(&r.Objectives[i]))
	}
	if err := page.Render(w); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func newBar(title, subtitle, unit string, names []string) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	bar.SetXAxis(names)
	return bar
}

// overview plots the burn of every objective over each pair's long window.
func overview(r *Report) *charts.Bar {
	names := make([]string, 0, len(r.Objectives))
	for i := range r.Objectives {
		names = append(names, r.Objectives[i].Name)
	}
	bar := newBar("Service-level burn", heading(r), "burn rate", names)
	if len(r.Objectives) == 0 {
		return bar
	}
	for p, pair := range r.Objectives[0].Pairs {
		data := make([]opts.BarData, 0, len(r.Objectives))
		for i := range r.Objectives {
			data = append(data, opts.BarData{Value: rounded(r.Objectives[i].Pairs[p].LongBurn)})
		}
		bar.AddSeries(fmt.Sprintf("%s, alerts from %g", short(pair.Long), pair.Threshold), data)
	}
	return bar
}

// windows plots the burn of one objective over every window.
func windows(o *Objective) *charts.Bar {
	names := make([]string, 0, len(o.Windows))
	data := make([]opts.BarData, 0, len(o.Windows))
	for _, w := range o.Windows {
		names = append(names, fmt.Sprintf("%s: %d of %d", short(w.Window), w.Good, w.Total))
		data = append(data, opts.BarData{Value: rounded(w.Burn)})
	}
	subtitle := fmt.Sprintf("%s; %s; target %s; alert: %s", scope(o), kind(o), percent(o.Target), alert(o))
	bar := newBar(o.Name, subtitle, "burn rate", names)
	bar.AddSeries("burn rate", data)
	return bar
}

func rounded(v float64) float64 { return math.Round(v*100) / 100 }
