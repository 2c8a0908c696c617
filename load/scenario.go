// Package load sends open-loop load to a fleet and reports counts and latencies as callers
// see them. Open-loop means that requests are sent on a fixed schedule, however long earlier
// ones take.
package load

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/baobablanding/baobablanding/fleet"
)

// maxDuration bounds the warm-up and the measured period together.
const maxDuration = 5 * time.Minute

// Scenario describes a run: the fleet, the load, and the faults and operator actions during
// the run. A run has a warm-up and then a measured period; times in a scenario count from
// the start of the measured period.
type Scenario struct {
	// Name identifies the scenario in reports.
	Name string `yaml:"name" json:"name"`
	// Seed seeds the random schedule. The same scenario and seed give the same schedule.
	Seed uint64 `yaml:"seed" json:"seed"`
	// Warmup is the length of the warm-up, whose requests are sent but not counted.
	Warmup time.Duration `yaml:"warmup" json:"warmup"`
	// Duration is the length of the measured period.
	Duration time.Duration `yaml:"duration" json:"duration"`
	// Fleet describes the fleet if the run starts one itself.
	Fleet FleetSize `yaml:"fleet" json:"fleet"`
	// Request describes an online request.
	Request RequestShape `yaml:"request" json:"request"`
	// Workspaces lists the workspaces with their limits and their load.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	// Bursts change the offered rate for a time. Bursts that overlap multiply.
	Bursts []Burst `yaml:"bursts" json:"bursts,omitempty"`
	// Batch is a batch job that runs beside the online requests; nil for none.
	Batch *BatchJob `yaml:"batch" json:"batch,omitempty"`
	// DataCentreOutage takes a data centre out and puts it back in service; nil for none.
	DataCentreOutage *DataCentreOutage `yaml:"data_centre_out" json:"data_centre_out,omitempty"`
	// GatewayKill kills a gateway; nil for none.
	GatewayKill *GatewayKill `yaml:"kill_gateway" json:"kill_gateway,omitempty"`
	// Direct sends the requests to the engines, without gateways and agents.
	Direct bool `yaml:"direct" json:"direct,omitempty"`
	// Variant is the name of the variant that changed the scenario; see Variant.
	Variant string `yaml:"-" json:"variant,omitempty"`
}

// FleetSize describes the fleet that a run starts.
type FleetSize struct {
	// DataCentres, Gateways and Engines are the numbers of each in the whole fleet.
	DataCentres int `yaml:"data_centres" json:"data_centres"`
	Gateways    int `yaml:"gateways" json:"gateways"`
	Engines     int `yaml:"engines" json:"engines"`
	// Slots bounds the concurrent requests at an engine, ColdSlots those at a cold engine.
	Slots     int `yaml:"slots" json:"slots"`
	ColdSlots int `yaml:"cold_slots" json:"cold_slots"`
	// DataCentreLatency is the network latency of one direction between two data centres.
	DataCentreLatency time.Duration `yaml:"distance" json:"distance"`
	// EngineArgs are the command-line arguments of the stand-in engines.
	EngineArgs []string `yaml:"engine_args" json:"engine_args"`
	// Rules are the fleet's rules; zero fields have the defaults of package fleet.
	Rules fleet.Rules `yaml:"rules" json:"rules"`
}

// RequestShape describes an online request.
type RequestShape struct {
	// Tokens is the maximum number of tokens in a response.
	Tokens int `yaml:"tokens" json:"tokens"`
	// Prompts is the number of different prompts of a workspace; 0 counts as 1.
	Prompts int `yaml:"prompts" json:"prompts"`
	// NoStream requests responses without streaming.
	NoStream bool `yaml:"whole" json:"whole,omitempty"`
}

// Workspace is a workspace with its limits and its load.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Rate, in requests per second, and Burst, in requests, limit the workspace over the
	// whole fleet.
	Rate  float64 `yaml:"rate" json:"rate"`
	Burst int     `yaml:"burst" json:"burst"`
	// Offered is the mean rate at which callers send, in requests per second, bursts aside.
	Offered float64 `yaml:"offered" json:"offered"`
}

// Burst multiplies the offered rate for a time.
type Burst struct {
	// At is the start of the burst in the measured period, Length its duration.
	At     time.Duration `yaml:"at" json:"at"`
	Length time.Duration `yaml:"length" json:"length"`
	// Factor is the multiplier of the offered rate; it may be below 1.
	Factor float64 `yaml:"factor" json:"factor"`
	// Workspace limits the burst to one workspace; empty means all.
	Workspace string `yaml:"workspace" json:"workspace,omitempty"`
}

// appliesTo reports whether the burst covers the workspace at a time of the measured period.
func (b *Burst) appliesTo(workspace string, at time.Duration) bool {
	inTime := at >= b.At && at < b.At+b.Length
	return inTime && (b.Workspace == "" || b.Workspace == workspace)
}

// BatchJob describes a batch job that runs beside the online requests.
type BatchJob struct {
	// Workspace owns the job.
	Workspace string `yaml:"workspace" json:"workspace"`
	// Items is the number of items. It must be more than the fleet completes in the run, or
	// the job ends early and the throughput comes out too low.
	Items int `yaml:"items" json:"items"`
	// Tokens is the maximum number of tokens in an item's response.
	Tokens int `yaml:"tokens" json:"tokens"`
}

// DataCentreOutage takes a data centre out and puts it back in service, as an operator does.
type DataCentreOutage struct {
	// Name is the name of the data centre.
	Name string `yaml:"name" json:"name"`
	// TakeOutAt and ReturnAt are the times of both changes in the measured period.
	TakeOutAt time.Duration `yaml:"out" json:"out"`
	ReturnAt  time.Duration `yaml:"in" json:"in"`
}

// GatewayKill kills a gateway without a planned stop.
type GatewayKill struct {
	// Name is the name of the gateway.
	Name string `yaml:"name" json:"name"`
	// At is the time of the kill in the measured period.
	At time.Duration `yaml:"at" json:"at"`
}

// ReadScenario reads a scenario from a YAML file. Its errors are those of reading the file
// and of ParseScenario.
func ReadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("read scenario: %w", err)
	}
	return ParseScenario(data)
}

// ParseScenario decodes and validates the YAML text of a scenario. An unknown field is an
// error.
func ParseScenario(data []byte) (Scenario, error) {
	var s Scenario
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&s); err != nil {
		return s, fmt.Errorf("parse scenario: %w", err)
	}
	return s, s.validate()
}

// validate returns an error that names the first invalid field.
func (s *Scenario) validate() error {
	if s.Duration <= 0 || s.Warmup < 0 || s.Warmup+s.Duration > maxDuration {
		return fmt.Errorf("scenario %q: duration must be above 0, warmup must be 0 or more, and their sum must be at most %s", s.Name, maxDuration)
	}
	if len(s.Workspaces) == 0 {
		return fmt.Errorf("scenario %q: workspaces is empty; list at least one workspace", s.Name)
	}
	for _, w := range s.Workspaces {
		if w.Name == "" || !(w.Rate > 0) || w.Burst < 1 || w.Offered < 0 {
			return fmt.Errorf("workspace %q: name must not be empty, rate must be above 0, burst at least 1 and offered 0 or more", w.Name)
		}
	}
	if s.Batch != nil && (s.Batch.Items < 1 || s.workspace(s.Batch.Workspace) == nil) {
		return fmt.Errorf("batch: items must be at least 1 and workspace must be listed under workspaces, got workspace %q", s.Batch.Workspace)
	}
	return nil
}

// workspace returns the workspace of that name, or nil.
func (s *Scenario) workspace(name string) *Workspace {
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return &s.Workspaces[i]
		}
	}
	return nil
}
