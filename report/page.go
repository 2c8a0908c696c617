package report

import (
	"fmt"
	"io"
	"math"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"

	"github.com/baobablanding/baobablanding/plot"
)

// WritePage writes the report to w as an HTML page with plots.
func WritePage(w io.Writer, r *Report) error {
	var bars []*charts.Bar
	bars = append(bars, overviewChart(r))
	for i := range r.Objectives {
		bars = append(bars, windowChart(&r.Objectives[i]))
	}
	return plot.WritePage(w, "Service-level burn", bars)
}

// overviewChart plots the burn rate of every objective over the long window of each
// pair.
func overviewChart(r *Report) *charts.Bar {
	names := make([]string, 0, len(r.Objectives))
	for i := range r.Objectives {
		names = append(names, r.Objectives[i].Name)
	}
	chart := plot.NewBarChart("Service-level burn", formatHeading(r), "burn rate", names)
	if len(r.Objectives) == 0 {
		return chart
	}
	for pairIndex, pair := range r.Objectives[0].Pairs {
		data := make([]opts.BarData, 0, len(r.Objectives))
		for i := range r.Objectives {
			data = append(data, opts.BarData{Value: roundBurn(r.Objectives[i].Pairs[pairIndex].LongBurn)})
		}
		chart.AddSeries(fmt.Sprintf("%s, alerts from %g", formatWindow(pair.Long), pair.Threshold), data)
	}
	return chart
}

// windowChart plots the burn rate of one objective over every window.
func windowChart(o *Objective) *charts.Bar {
	names := make([]string, 0, len(o.Windows))
	data := make([]opts.BarData, 0, len(o.Windows))
	for _, w := range o.Windows {
		names = append(names, fmt.Sprintf("%s: %d of %d", formatWindow(w.Window), w.Good, w.Total))
		data = append(data, opts.BarData{Value: roundBurn(w.Burn)})
	}
	subtitle := fmt.Sprintf("%s; %s; target %s; alert: %s", formatScope(o), formatKind(o), formatPercent(o.Target), formatAlert(o))
	chart := plot.NewBarChart(o.Name, subtitle, "burn rate", names)
	chart.AddSeries("burn rate", data)
	return chart
}

// roundBurn rounds a burn rate to two decimals.
func roundBurn(v float64) float64 { return math.Round(v*100) / 100 }
