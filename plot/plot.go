// Package plot writes HTML pages of bar charts.
package plot

import (
	"fmt"
	"io"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// NewBarChart returns a bar chart without series. The names label the groups of bars on the
// horizontal axis; the unit labels the vertical axis.
func NewBarChart(title, subtitle, unit string, names []string) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}),
		charts.WithYAxisOpts(opts.YAxis{Name: unit}),
		charts.WithLegendOpts(opts.Legend{Top: "bottom"}),
	)
	bar.SetXAxis(names)
	return bar
}

// WritePage writes an HTML page with the charts to w.
func WritePage(w io.Writer, title string, bars []*charts.Bar) error {
	page := components.NewPage()
	page.PageTitle = title
	for _, bar := range bars {
		page.AddCharts(bar)
	}
	if err := page.Render(w); err != nil {
		return fmt.Errorf("write HTML page: %w", err)
	}
	return nil
}
