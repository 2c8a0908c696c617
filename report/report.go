// Package report sums the counters of the service-level objectives over all gateways and
// reports how fast each objective uses up its error budget.
package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/policy/burn"
)

// Getter reads a resource of the operators' API of a gateway. Collect calls each Getter
// once, several of them at the same time.
type Getter interface {
	// Get reads the resource at path into value.
	Get(ctx context.Context, path string, value any) error
}

// Source is a gateway whose counters are read.
type Source struct {
	// Name is the gateway's name.
	Name string
	// Client calls the gateway.
	Client Getter
}

// Format is the output format of a report.
type Format string

const (
	// FormatTable is a text table.
	FormatTable Format = "table"
	// FormatJSON is a JSON document.
	FormatJSON Format = "json"
	// FormatHTML is an HTML page with plots.
	FormatHTML Format = "html"
)

// Report holds the burn of every objective over the whole fleet.
type Report struct {
	// GeneratedAt is when the report was generated, in UTC.
	GeneratedAt time.Time `json:"at"`
	// Gateways is the number of gateways whose counters were summed.
	Gateways int `json:"gateways"`
	// Missing holds the names of the gateways whose counters could not be read, because
	// they did not respond or returned an error. Their events are not counted.
	Missing []string `json:"missing,omitempty"`
	// Since is when the gateway that was started last began to count, in UTC. Events
	// before it may be missing.
	Since time.Time `json:"since,omitzero"`
	// Objectives holds the burn of each objective in the order in which the gateways
	// list them.
	Objectives []Objective `json:"objectives"`
}

// Objective holds the burn of one objective.
type Objective struct {
	// Name, Workspace, Route, Kind, Threshold and Target are the objective's fields in
	// the inventory. An empty Workspace or Route stands for all; Threshold is zero for
	// kinds without one.
	Name      string        `json:"name"`
	Workspace string        `json:"workspace,omitempty"`
	Route     string        `json:"route,omitempty"`
	Kind      string        `json:"kind"`
	Threshold time.Duration `json:"threshold,omitempty"`
	Target    float64       `json:"target"`
	// Windows holds the counts and the burn over each window, shortest window first.
	Windows []Window `json:"windows"`
	// Pairs holds the state of each pair of windows, highest threshold first.
	Pairs []Pair `json:"pairs"`
	// Alert reports whether at least one pair alerts.
	Alert bool `json:"alert"`
}

// Window holds the burn over a window that ends when the gateways respond.
type Window struct {
	// Window is the length of the window.
	Window time.Duration `json:"window"`
	burn.Count
	// Burn is the burn rate; a rate of 1 uses up exactly the error budget. It is 0
	// without events.
	Burn float64 `json:"burn"`
}

// Pair holds the state of a short and a long window that alert together.
type Pair struct {
	// Short and Long are the lengths of the windows.
	Short time.Duration `json:"short"`
	Long  time.Duration `json:"long"`
	// Threshold is the burn rate from which the pair alerts.
	Threshold float64 `json:"threshold"`
	// ShortBurn and LongBurn are the burn rates over the windows.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// Alert reports whether both burn rates reach the threshold.
	Alert bool `json:"alert"`
}

// Run collects the report from the gateways and writes it to w. It returns the errors
// of Collect and Write.
func Run(ctx context.Context, sources []Source, format Format, w io.Writer) error {
	r, err := Collect(ctx, sources)
	if err != nil {
		return err
	}
	return Write(w, r, format)
}

// Write writes the report to w. It fails if the format is unknown or w fails.
func Write(w io.Writer, r *Report, format Format) error {
	switch format {
	case FormatJSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	case FormatHTML:
		return WritePage(w, r)
	case FormatTable:
		return WriteTable(w, r)
	default:
		return fmt.Errorf("unknown report format %q; use table, json or html", format)
	}
}

// maxConcurrentReads bounds the number of gateways that are read at the same time.
const maxConcurrentReads = 16

// Collect reads the counters of the gateways and sums them. It lists gateways that
// cannot be read in Report.Missing, and fails only if no gateway can be read.
func Collect(ctx context.Context, sources []Source) (*Report, error) {
	responses := make([]*gateway.BurnResponse, len(sources))
	errs := make([]error, len(sources))
	semaphore := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, s := range sources {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			response := new(gateway.BurnResponse)
			if errs[i] = s.Client.Get(ctx, gateway.BurnPath, response); errs[i] == nil {
				responses[i] = response
			}
			<-semaphore
		}()
	}
	wg.Wait()
	totals := newAggregator()
	for i, response := range responses {
		if response == nil {
			totals.report.Missing = append(totals.report.Missing, sources[i].Name)
			continue
		}
		totals.add(response)
	}
	if totals.report.Gateways == 0 {
		return nil, fmt.Errorf("read the burn counters of the gateways: none could be read; first error: %w", firstError(errs))
	}
	return totals.finish(), nil
}

// firstError returns the first error that is not nil, or an error if there is none because
// no gateway was given.
func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return fmt.Errorf("the inventory lists no gateway")
}
