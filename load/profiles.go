package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Settings of the built-in scenarios.
const (
	profileEngines           = 14
	profileSlots             = 8
	profileColdSlots         = 2
	profileTokens            = 16 // per response
	profilePrompts           = 50 // per workspace
	profileDataCentreLatency = 1500 * time.Microsecond
	profileWarmup            = 2 * time.Second
	profileDuration          = 7 * time.Second
	overRateFactor           = 5 // offered rate of variant over-rate, as a multiple of the rate limit
)

// profileEngineArgs are the arguments of the stand-in engines. Each engine completes about
// 50 requests per second at its knee of 8 concurrent requests.
var profileEngineArgs = []string{"--prefill", "40ms", "--per-token", "8ms", "--knee", "8"}

// Profile returns the built-in scenario garrafon or guild, or an error for another name.
func Profile(name string) (Scenario, error) {
	switch name {
	case "garrafon":
		return profile(name, 3, []float64{90, 60, 20, 15, 15, 10, 10, 5}), nil
	case "guild":
		return profile(name, 4, []float64{70, 50, 30, 20, 15, 10, 10, 5}), nil
	default:
		return Scenario{}, fmt.Errorf("--profile: profile %q does not exist; choose garrafon or guild", name)
	}
}

// profile returns a scenario with one gateway per data centre and one workspace for each
// offered rate, in requests per second. The rate limit of a workspace is twice its offered
// rate, its burst one second of the limit; the batch owner has limits of its own.
func profile(name string, dataCentres int, offered []float64) Scenario {
	s := Scenario{
		Name:     name,
		Seed:     1,
		Warmup:   profileWarmup,
		Duration: profileDuration,
		Fleet: FleetSize{
			DataCentres: dataCentres, Gateways: dataCentres, Engines: profileEngines,
			Slots: profileSlots, ColdSlots: profileColdSlots, EngineArgs: profileEngineArgs, DataCentreLatency: profileDataCentreLatency,
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

// The workspace that submits the batch job. Its rate is above the capacity of the engines,
// so that the engines limit the job and not the rate.
const (
	batchOwner      = 1     // index in Scenario.Workspaces
	batchOwnerRate  = 1000  // requests per second
	batchOwnerBurst = 500   // requests
	batchItems      = 20000 // more than the engines complete in a run
)

// addBatch adds a batch job with more items than the engines complete in a run.
func addBatch(s *Scenario) {
	s.Batch = &BatchJob{Workspace: s.Workspaces[batchOwner].Name, Items: batchItems, Tokens: profileTokens}
}

// removeOnlineLoad makes every workspace send nothing.
func removeOnlineLoad(s *Scenario) {
	for i := range s.Workspaces {
		s.Workspaces[i].Offered = 0
	}
}

// variants maps the name of a variant to the function that changes a scenario into it. The
// function owns the list of workspaces, but no other slice of the scenario.
var variants = map[string]func(*Scenario){
	"burst":  func(*Scenario) {},
	"steady": func(s *Scenario) { s.Bursts = nil },
	"batch":  addBatch,
	"batch-alone": func(s *Scenario) {
		addBatch(s)
		removeOnlineLoad(s)
	},
	"idle": removeOnlineLoad,
	"over-rate": func(s *Scenario) {
		s.Workspaces[0].Offered = overRateFactor * s.Workspaces[0].Rate
	},
	"data-centre-out": func(s *Scenario) {
		s.Bursts = nil
		s.DataCentreOutage = &DataCentreOutage{Name: "dc-1", TakeOutAt: 2 * time.Second, ReturnAt: 4500 * time.Millisecond}
	},
	"gateway-killed": func(s *Scenario) {
		s.Bursts = nil
		s.GatewayKill = &GatewayKill{Name: "gateway-1", At: 2 * time.Second}
	},
	"direct": func(s *Scenario) {
		s.Bursts = nil
		s.Direct = true
	},
}

// baselineOf maps a variant to the variant that it is compared with. A variant that is not
// listed is compared with the first of the command line.
var baselineOf = map[string]string{
	"data-centre-out": "steady",
	"gateway-killed":  "steady",
}

// Variant returns a copy of the scenario with the changes of the named variant, or an error
// if the variant does not exist or the changed scenario is invalid.
func Variant(s Scenario, name string) (Scenario, error) {
	change, ok := variants[name]
	if !ok {
		names := slices.Sorted(maps.Keys(variants))
		return s, fmt.Errorf("--variant: variant %q does not exist; choose one of %s", name, strings.Join(names, ", "))
	}
	s.Workspaces = slices.Clone(s.Workspaces)
	change(&s)
	s.Variant = name
	s.Name += "/" + name
	return s, s.validate()
}
