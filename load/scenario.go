// Package load sends open-loop load to a fleet and reports what callers saw.
package load

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/baobablanding/baobablanding/fleet"
)

// maxDuration bounds a run.
const maxDuration = 5 * time.Minute

// Scenario describes a run: the fleet, what callers send and what happens
// meanwhile.
type Scenario struct {
	// Name identifies the scenario in reports.
	Name string `yaml:"name" json:"name"`
	// Seed makes the schedule. The same seed gives the same schedule.
	Seed uint64 `yaml:"seed" json:"seed"`
	// Warmup is sent before the run and not counted.
	Warmup time.Duration `yaml:"warmup" json:"warmup"`
	// Duration is the length of the counted part.
	Duration time.Duration `yaml:"duration" json:"duration"`
	// Fleet sizes a fleet that the run starts itself.
	Fleet FleetSize `yaml:"fleet" json:"fleet"`
	// Request describes an online request.
	Request RequestShape `yaml:"request" json:"request"`
	// Workspaces lists the tenants and what they offer.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Bursts raises the offered rate for a while.
	Bursts []Burst `yaml:"bursts" json:"bursts,omitempty"`
	// Batch is a job that runs beside the online requests. It may be nil.
	Batch *BatchJob `yaml:"batch" json:"batch,omitempty"`
	// DataCentreOut takes a data centre out and returns it. It may be nil.
	DataCentreOut *DataCentreOut `yaml:"data_centre_out" json:"data_centre_out,omitempty"`
	// KillGateway ends a gateway. It may be nil.
	KillGateway *KillGateway `yaml:"kill_gateway" json:"kill_gateway,omitempty"`
	// Direct sends the requests to the engines, past the fleet.
	Direct bool `yaml:"direct" json:"direct,omitempty"`
	// Variant names how the scenario was changed.
	Variant string `yaml:"-" json:"variant,omitempty"`
}

// FleetSize sizes the fleet of a run.
type FleetSize struct {
	// DataCentres, Gateways and Engines count the parts.
	DataCentres int `yaml:"data_centres" json:"data_centres"`
	Gateways    int `yaml:"gateways" json:"gateways"`
	Engines     int `yaml:"engines" json:"engines"`
	// Slots and ColdSlots bound the requests at an engine.
	Slots     int `yaml:"slots" json:"slots"`
	ColdSlots int `yaml:"cold_slots" json:"cold_slots"`
	// Distance is the time one way between two data centres.
	Distance time.Duration `yaml:"distance" json:"distance"`
	// EngineArgs are arguments of the stand-in engines.
	EngineArgs []string `yaml:"engine_args" json:"engine_args"`
	// Rules bounds the fleet.
	Rules fleet.Rules `yaml:"rules" json:"rules"`
}

// RequestShape describes an online request.
type RequestShape struct {
	// Tokens is the length of an answer.
	Tokens int `yaml:"tokens" json:"tokens"`
	// Prompts is the number of different prompts of a workspace.
	Prompts int `yaml:"prompts" json:"prompts"`
	// Whole asks for whole answers in place of streams.
	Whole bool `yaml:"whole" json:"whole,omitempty"`
}

// Workspace is a tenant and what it offers.
type Workspace struct {
	// Name identifies the workspace.
	Name string `yaml:"name" json:"name"`
	// Rate and Burst are its limit over the whole fleet.
	Rate  float64 `yaml:"rate" json:"rate"`
	Burst int     `yaml:"burst" json:"burst"`
	// Offered is the mean number of requests that it sends in a second.
	Offered float64 `yaml:"offered" json:"offered"`
}

// Burst multiplies the offered rate for a while.
type Burst struct {
	// At and Length place the burst in the counted part of the run.
	At     time.Duration `yaml:"at" json:"at"`
	Length time.Duration `yaml:"length" json:"length"`
	// Factor multiplies the offered rate.
	Factor float64 `yaml:"factor" json:"factor"`
	// Workspace limits the burst to one workspace; empty means all.
	Workspace string `yaml:"workspace" json:"workspace,omitempty"`
}

// covers tells whether the burst holds for the workspace at the time.
func (b *Burst) covers(workspace string, at time.Duration) bool {
	inTime := at >= b.At && at < b.At+b.Length
	return inTime && (b.Workspace == "" || b.Workspace == workspace)
}

// BatchJob is a job that runs beside the online requests.
type BatchJob struct {
	// Workspace owns the job.
	Workspace string `yaml:"workspace" json:"workspace"`
	// Items is the number of items; choose more than the fleet can do.
	Items int `yaml:"items" json:"items"`
	// Tokens is the length of an item's answer.
	Tokens int `yaml:"tokens" json:"tokens"`
}

// DataCentreOut takes a data centre out and returns it.
type DataCentreOut struct {
	// Name is the data centre.
	Name string `yaml:"name" json:"name"`
	// Out and In place both changes in the counted part of the run.
	Out time.Duration `yaml:"out" json:"out"`
	In  time.Duration `yaml:"in" json:"in"`
}

// KillGateway ends a gateway without a planned stop.
type KillGateway struct {
	// Name is the gateway.
	Name string `yaml:"name" json:"name"`
	// At places the end in the counted part of the run.
	At time.Duration `yaml:"at" json:"at"`
}

// ReadScenario reads a scenario from a YAML file.
func ReadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	return ParseScenario(data)
}

// ParseScenario reads and checks the YAML text of a scenario.
func ParseScenario(data []byte) (Scenario, error) {
	var s Scenario
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil {
		return s, fmt.Errorf("parse scenario: %w", err)
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	if s.Duration <= 0 || s.Warmup < 0 || s.Warmup+s.Duration > maxDuration {
		return fmt.Errorf("scenario %q: duration must be above 0 and at most %s", s.Name, maxDuration)
	}
	if len(s.Workspaces) == 0 {
		return fmt.Errorf("scenario %q has no workspaces", s.Name)
	}
	for _, w := range s.Workspaces {
		if w.Name == "" || !(w.Rate > 0) || w.Burst < 1 || w.Offered < 0 {
			return fmt.Errorf("workspace %q needs a name, a rate above 0, a burst from 1 and an offered rate", w.Name)
		}
	}
	if s.Batch != nil && (s.Batch.Items < 1 || s.workspace(s.Batch.Workspace) == nil) {
		return fmt.Errorf("batch job needs items and a workspace of the scenario, not %q", s.Batch.Workspace)
	}
	return nil
}

func (s *Scenario) workspace(name string) *Workspace {
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return &s.Workspaces[i]
		}
	}
	return nil
}
