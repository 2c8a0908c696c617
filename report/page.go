package report

import (
	"fmt"
	"io"
	"math"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"

	"github.com/baobablanding/baobablanding/plot"
)

// WritePage writes the report as an HTML page with plots.
func WritePage(w io.Writer, r *Report) error {
	var bars []*charts.Bar
	bars = append(bars, overview(r))
	for i := range r.Objectives {
		bars = append(bars, windows(&r.Objectives[i]))
	}
	return plot.WritePage(w, "Service-level burn", bars)
}

// overview plots the burn of every objective over each pair's long window.
func overview(r *Report) *charts.Bar {
	names := make([]string, 0, len(r.Objectives))
	for i := range r.Objectives {
		names = append(names, r.Objectives[i].Name)
	}
	bar := plot.NewBar("Service-level burn", heading(r), "burn rate", names)
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
	bar := plot.NewBar(o.Name, subtitle, "burn rate", names)
	bar.AddSeries("burn rate", data)
	return bar
}

func rounded(v float64) float64 { return math.Round(v*100) / 100 }
