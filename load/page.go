package load

import (
	"fmt"
	"io"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"

	"github.com/baobablanding/baobablanding/plot"
)

// WritePage writes the results as an HTML page with two bar charts for each run and, for
// several runs, one that compares them.
func WritePage(w io.Writer, results []*Result) error {
	var bars []*charts.Bar
	for _, r := range results {
		bars = append(bars, firstTokenChart(r), requestChart(r))
	}
	if len(results) > 1 {
		bars = append(bars, comparisonChart(results))
	}
	return plot.WritePage(w, "baobab-load", bars)
}

// addSeries adds a named series to the chart, with one value for each summary.
func addSeries(chart *charts.Bar, name string, list []Summary, value func(*Summary) float64) {
	data := make([]opts.BarData, 0, len(list))
	for i := range list {
		data = append(data, opts.BarData{Value: value(&list[i])})
	}
	chart.AddSeries(name, data)
}

// withOverall returns the summary of all workspaces, followed by one for each workspace.
func withOverall(r *Result) []Summary { return append([]Summary{r.Overall}, r.Workspaces...) }

func summaryNames(list []Summary) []string {
	names := make([]string, 0, len(list))
	for i := range list {
		names = append(names, list[i].Name)
	}
	return names
}

// subtitle returns the subtitle of a run's charts.
func subtitle(r *Result) string {
	text := fmt.Sprintf("seed %d, load average %s", r.Scenario.Seed, r.LoadAverage)
	if r.Batch != nil {
		text += fmt.Sprintf(", batch %.1f items/s", r.Batch.PerSecond)
	}
	return text
}

func firstTokenChart(r *Result) *charts.Bar {
	list := withOverall(r)
	chart := plot.NewBarChart(r.Scenario.Name+": time to first token", subtitle(r), "ms", summaryNames(list))
	addSeries(chart, "p50", list, func(s *Summary) float64 { return s.FirstToken.P50 })
	addSeries(chart, "p95", list, func(s *Summary) float64 { return s.FirstToken.P95 })
	addSeries(chart, "p99", list, func(s *Summary) float64 { return s.FirstToken.P99 })
	addSeries(chart, "p99.9", list, func(s *Summary) float64 { return s.FirstToken.P999 })
	return chart
}

func requestChart(r *Result) *charts.Bar {
	list := r.Workspaces
	chart := plot.NewBarChart(r.Scenario.Name+": requests", subtitle(r), "requests", summaryNames(list))
	addSeries(chart, "sent", list, func(s *Summary) float64 { return float64(s.Sent) })
	addSeries(chart, "within rate", list, func(s *Summary) float64 { return float64(s.WithinRate) })
	addSeries(chart, "answered", list, func(s *Summary) float64 { return float64(s.Answered) })
	addSeries(chart, "rejected within rate", list, func(s *Summary) float64 { return float64(s.WrongfullyRejected) })
	addSeries(chart, "failed", list, func(s *Summary) float64 { return float64(s.Errors + s.Incomplete) })
	return chart
}

func comparisonChart(results []*Result) *charts.Bar {
	list := make([]Summary, 0, len(results))
	names := make([]string, 0, len(results))
	for _, r := range results {
		list = append(list, r.Overall)
		names = append(names, r.Scenario.Name)
	}
	chart := plot.NewBarChart("All runs: time to first token", "", "ms", names)
	addSeries(chart, "p50", list, func(s *Summary) float64 { return s.FirstToken.P50 })
	addSeries(chart, "p99", list, func(s *Summary) float64 { return s.FirstToken.P99 })
	return chart
}
