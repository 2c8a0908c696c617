// Package report sums the objectives' counters of every gateway and reports how
// fast each objective uses up its error budget.
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

// Getter reads a resource of a gateway's operators' interface.
type Getter interface {
	// Get reads the resource at path into value.
	Get(ctx context.Context, path string, value any) error
}

// Source is one gateway of the inventory.
type Source struct {
	// Name is the gateway's name.
	Name string
	// Client reaches the gateway.
	Client Getter
}

// Format is the form of a report.
type Format string

const (
	// Table is text for people.
	Table Format = "table"
	// JSON is a JSON document.
	JSON Format = "json"
	// HTML is a page with plots.
	HTML Format = "html"
)

// Report is the burn of every objective over the whole fleet.
type Report struct {
	// At is when the report was made.
	At time.Time `json:"at"`
	// Gateways counts the gateways that were summed.
	Gateways int `json:"gateways"`
	// Missing names the gateways that did not answer. Their events are not
	// counted.
	Missing []string `json:"missing,omitempty"`
	// Since is when the gateway that was started last began to count. Events
	// before it may be missing.
	Since time.Time `json:"since,omitzero"`
	// Objectives holds the burn of each objective.
	Objectives []Objective `json:"objectives"`
}

// Objective is the burn of one objective.
type Objective struct {
	// Name, Workspace, Route, Kind, Threshold and Target are the objective's
	// entry in the inventory.
	Name      string        `json:"name"`
	Workspace string        `json:"workspace,omitempty"`
	Route     string        `json:"route,omitempty"`
	Kind      string        `json:"kind"`
	Threshold time.Duration `json:"threshold,omitempty"`
	Target    float64       `json:"target"`
	// Windows holds the counts and burn over each window, the shortest first.
	Windows []Window `json:"windows"`
	// Pairs holds the state of each pair of windows, the fastest burn first.
	Pairs []Pair `json:"pairs"`
	// Alert tells that a pair alerts.
	Alert bool `json:"alert"`
}

// Window is the burn over a window that ends now.
type Window struct {
	// Window is the length of the window.
	Window time.Duration `json:"window"`
	burn.Count
	// Burn is the burn rate.
	Burn float64 `json:"burn"`
}

// Pair is the state of a pair of windows.
type Pair struct {
	// Short and Long are the windows.
	Short time.Duration `json:"short"`
	Long  time.Duration `json:"long"`
	// Threshold is the burn rate from which the pair alerts.
	Threshold float64 `json:"threshold"`
	// ShortBurn and LongBurn are the burn rates.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// Alert tells that both rates reach the threshold.
	Alert bool `json:"alert"`
}

// Run reads the counters of the gateways and writes the report in the format.
func Run(ctx context.Context, sources []Source, format Format, w io.Writer) error {
	r, err := Collect(ctx, sources)
	if err != nil {
		return err
	}
	return Write(w, r, format)
}

// Write writes the report in the format.
func Write(w io.Writer, r *Report, format Format) error {
	switch format {
	case JSON:
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	case HTML:
		return WritePage(w, r)
	case Table:
		return WriteTable(w, r)
	default:
		return fmt.Errorf("format %q must be table, json or html", format)
	}
}

// maxParallel bounds the gateways that are asked at once.
const maxParallel = 16

// Collect reads the counters of the gateways and sums them. It fails only if no
// gateway answers.
func Collect(ctx context.Context, sources []Source) (*Report, error) {
	answers := make([]*gateway.BurnResponse, len(sources))
	errs := make([]error, len(sources))
	slots := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, s := range sources {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			answer := new(gateway.BurnResponse)
			if errs[i] = s.Client.Get(ctx, gateway.BurnPath, answer); errs[i] == nil {
				answers[i] = answer
			}
			<-slots
		}()
	}
	wg.Wait()
	sum := newSum()
	for i, answer := range answers {
		if answer == nil {
			sum.report.Missing = append(sum.report.Missing, sources[i].Name)
			continue
		}
		sum.add(answer)
	}
	if sum.report.Gateways == 0 {
		return nil, fmt.Errorf("no gateway answered: %w", firstError(errs))
	}
	return sum.finish(), nil
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return fmt.Errorf("no gateway was named")
}
