package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Sizes that both profiles have in common.
const (
	profileEngines  = 14
	profileSlots    = 8
	profileCold     = 2
	profileTokens   = 16
	profilePrompts  = 50
	profileDistance = 1500 * time.Microsecond
	profileWarmup   = 2 * time.Second
	profileDuration = 7 * time.Second
	overRateFactor  = 5
)

// profileEngineArgs describes engines of which each answers about 50 requests
// a second at its knee.
var profileEngineArgs = []string{"--prefill", "40ms", "--per-token", "8ms", "--knee", "8"}

// Profile returns the scenario of the named deployment.
func Profile(name string) (Scenario, error) {
	switch name {
	case "garrafon":
		return profile(name, 3, []float64{90, 60, 20, 15, 15, 10, 10, 5}), nil
	case "guild":
		return profile(name, 4, []float64{70, 50, 30, 20, 15, 10, 10, 5}), nil
	default:
		return Scenario{}, fmt.Errorf("profile %q does not exist; choose garrafon or guild", name)
	}
}

// profile returns a scenario with a gateway in each data centre and a
// workspace for each offered rate, which is half of what the workspace may
// send.
func profile(name string, dataCentres int, offered []float64) Scenario {
	s := Scenario{
		Name:     name,
		Seed:     1,
		Warmup:   profileWarmup,
		Duration: profileDuration,
		Fleet: FleetSize{
			DataCentres: dataCentres, Gateways: dataCentres, Engines: profileEngines,
			Slots: profileSlots, ColdSlots: profileCold, EngineArgs: profileEngineArgs, Distance: profileDistance,
			Rules: fleet.Rules{ChunkItems: 20},
		},
		Request: RequestShape{Tokens: profileTokens, Prompts: profilePrompts},
		Bursts:  []Burst{{At: 2 * time.Second, Length: 2 * time.Second, Factor: 1.8}},
	}
	for i, rate := range offered {
		s.Workspaces = append(s.Workspaces, Workspace{
			Name: fmt.Sprintf("%s-%d", name, i+1), Rate: 2 * rate, Burst: int(2 * rate), Offered: rate,
		})
	}
	owner := &s.Workspaces[batchOwner]
	owner.Rate, owner.Burst = batchOwnerRate, batchOwnerBurst
	return s
}

// batchOwner is the index of the workspace that submits batch jobs. Its rate
// covers what the engines can do.
const (
	batchOwner      = 1
	batchOwnerRate  = 1000 // requests per second
	batchOwnerBurst = 500  // requests
	batchItems      = 20000
)

// addBatch adds a job with more items than the engines can do.
func addBatch(s *Scenario) {
	s.Batch = &BatchJob{Workspace: s.Workspaces[batchOwner].Name, Items: batchItems, Tokens: profileTokens}
}

func offerNothing(s *Scenario) {
	for i := range s.Workspaces {
		s.Workspaces[i].Offered = 0
	}
}

// variants changes a scenario by name.
var variants = map[string]func(*Scenario){
	"burst":  func(*Scenario) {},
	"steady": func(s *Scenario) { s.Bursts = nil },
	"batch":  addBatch,
	"batch-alone": func(s *Scenario) {
		addBatch(s)
		offerNothing(s)
	},
	"idle": offerNothing,
	"over-rate": func(s *Scenario) {
		s.Workspaces[0].Offered = overRateFactor * s.Workspaces[0].Rate
	},
	"data-centre-out": func(s *Scenario) {
		s.Bursts = nil
		s.DataCentreOut = &DataCentreOut{Name: "dc-1", Out: 2 * time.Second, In: 4500 * time.Millisecond}
	},
	"gateway-killed": func(s *Scenario) {
		s.Bursts = nil
		s.KillGateway = &KillGateway{Name: "gateway-1", At: 2 * time.Second}
	},
	"direct": func(s *Scenario) {
		s.Bursts = nil
		s.Direct = true
	},
}

// baseOf names the variant that a variant is compared with, where it is not the
// first one of the run.
var baseOf = map[string]string{
	"data-centre-out": "steady",
	"gateway-killed":  "steady",
}

// Variant returns the scenario changed as the named variant says.
func Variant(s Scenario, name string) (Scenario, error) {
	change, ok := variants[name]
	if !ok {
		names := slices.Sorted(maps.Keys(variants))
		return s, fmt.Errorf("variant %q does not exist; choose of %s", name, strings.Join(names, ", "))
	}
	s.Workspaces = slices.Clone(s.Workspaces)
	change(&s)
	s.Variant = name
	s.Name += "/" + name
	return s, s.check()
}
