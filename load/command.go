package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/baobablanding/baobablanding/ctl"
)

// commandArgs holds the flags of baobab-load.
type commandArgs struct {
	Profiles            []string      `arg:"--profile,separate" help:"built-in scenario: garrafon or guild; may be repeated; the default is garrafon if there is no --scenario"`
	ScenarioFile        string        `arg:"--scenario" placeholder:"FILE" help:"YAML file with a scenario to run"`
	Variants            []string      `arg:"--variant,separate" help:"burst, steady, batch, batch-alone, over-rate, data-centre-out, gateway-killed, direct or idle; may be repeated; the default is burst; each run is compared with the first variant, but data-centre-out and gateway-killed with steady if that is run too"`
	Seed                uint64        `arg:"--seed" help:"seed of the request schedule, in place of the scenario's; the same seed gives the same schedule"`
	Duration            time.Duration `arg:"--duration" help:"length of the measured period after the warm-up, in place of the scenario's, such as 30s"`
	Offered             float64       `arg:"--offered" help:"offered requests per second, all workspaces together; the rate limits are scaled by the same factor"`
	EngineArg           []string      `arg:"--engine-arg,separate" help:"argument of the stand-in engines, in place of the scenario's; may be repeated"`
	Slots               int           `arg:"--slots" help:"concurrent requests per engine, in place of the scenario's"`
	GatewayCount        int           `arg:"--gateways" help:"number of gateways, in place of the scenario's"`
	EngineCount         int           `arg:"--engines" help:"number of engines, in place of the scenario's"`
	WorkspaceCount      int           `arg:"--workspaces" help:"number of workspaces; those added to the scenario's send no requests"`
	NoDataCentreLatency bool          `arg:"--no-distance" help:"run without network latency between data centres"`
	NoStream            bool          `arg:"--whole" help:"request responses without streaming"`
	BinDir              string        `arg:"--bin" help:"directory with the programs of the fleet; the default is the directory of baobab-load"`
	Gateways            []string      `arg:"--gateway,separate" placeholder:"URL" help:"base URL of a gateway of a running fleet; may be repeated; without it baobab-load starts a fleet of its own"`
	Keys                []string      `arg:"--key,separate" placeholder:"WORKSPACE=KEY" help:"API key of a workspace of the running fleet; may be repeated"`
	AdminKey            string        `arg:"--admin-key,env:BAOBAB_ADMIN_KEY" help:"operators' key of the running fleet; needed to take a data centre out"`
	Model               string        `arg:"--model" default:"demo-chat" help:"model that requests to the running fleet name"`
	JSON                string        `arg:"--json" placeholder:"FILE" help:"write the results as JSON to this file; - is standard output"`
	HTML                string        `arg:"--html" placeholder:"FILE" help:"write an HTML page with charts to this file"`
}

// Command runs baobab-load with the arguments of the process and returns its exit code: 0
// for success, 1 for an error, which it prints. SIGINT and SIGTERM end the run.
func Command() int {
	var args commandArgs
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := args.run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// run runs every variant of every scenario and writes the reports.
func (a *commandArgs) run(ctx context.Context, out io.Writer) error {
	scenarios, err := a.scenarios()
	if err != nil {
		return err
	}
	var all []*Result
	for i := range scenarios {
		results, err := a.runVariants(ctx, out, &scenarios[i])
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	return a.writeReports(out, all)
}

// scenarios returns the scenario of the file and those of the profiles, with the overrides
// of the command line. Without either it returns the profile garrafon.
func (a *commandArgs) scenarios() ([]Scenario, error) {
	var list []Scenario
	if a.ScenarioFile != "" {
		s, err := ReadScenario(a.ScenarioFile)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	if len(a.Profiles) == 0 && a.ScenarioFile == "" {
		a.Profiles = []string{"garrafon"}
	}
	for _, name := range a.Profiles {
		s, err := Profile(name)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	for i := range list {
		if err := a.override(&list[i]); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// override replaces the settings of the scenario for which a flag is set. It returns an
// error if the offered rates of the scenario cannot be scaled to --offered.
func (a *commandArgs) override(s *Scenario) error {
	if a.Seed != 0 {
		s.Seed = a.Seed
	}
	if a.Duration != 0 {
		s.Duration = a.Duration
	}
	if len(a.EngineArg) > 0 {
		s.Fleet.EngineArgs = a.EngineArg
	}
	if a.NoDataCentreLatency {
		s.Fleet.DataCentreLatency = 0
	}
	if a.Slots != 0 {
		s.Fleet.Slots = a.Slots
	}
	s.Fleet.Gateways = cmp.Or(a.GatewayCount, s.Fleet.Gateways)
	s.Fleet.Engines = cmp.Or(a.EngineCount, s.Fleet.Engines)
	for i := len(s.Workspaces); i < a.WorkspaceCount; i++ {
		s.Workspaces = append(s.Workspaces, Workspace{Name: fmt.Sprintf("silent-%d", i), Rate: 1, Burst: 1})
	}
	s.Request.NoStream = s.Request.NoStream || a.NoStream
	if a.Offered > 0 {
		return s.scaleOffered(a.Offered)
	}
	return nil
}

// scaleOffered scales the offered rates so that they add up to offered requests per
// second. The workspaces' rates and bursts are scaled by the same factor. It returns an
// error if no workspace offers requests.
func (s *Scenario) scaleOffered(offered float64) error {
	var sum float64
	for _, w := range s.Workspaces {
		sum += w.Offered
	}
	if sum <= 0 {
		return fmt.Errorf("--offered %g: the workspaces of scenario %q offer no requests that could be scaled", offered, s.Name)
	}
	factor := offered / sum
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		w.Offered *= factor
		w.Rate *= factor
		w.Burst = max(1, int(float64(w.Burst)*factor))
	}
	return nil
}

// runVariants runs each variant of the scenario and writes its table, then the ratios
// between the variants.
func (a *commandArgs) runVariants(ctx context.Context, out io.Writer, base *Scenario) ([]*Result, error) {
	names := a.Variants
	if len(names) == 0 {
		names = []string{"burst"}
	}
	var results []*Result
	for _, name := range names {
		s, err := Variant(*base, name)
		if err != nil {
			return nil, err
		}
		r, err := a.runScenario(ctx, &s)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		results = append(results, r)
		if err := WriteTable(out, r); err != nil {
			return nil, err
		}
	}
	return results, WriteComparison(out, results)
}

// runScenario runs the scenario on the fleet that the command line names, or on a new one.
func (a *commandArgs) runScenario(ctx context.Context, s *Scenario) (*Result, error) {
	if len(a.Gateways) == 0 {
		bin := a.BinDir
		if bin == "" {
			self, err := os.Executable()
			if err != nil {
				return nil, err
			}
			bin = filepath.Dir(self)
		}
		return RunOnNewFleet(ctx, s, bin)
	}
	target, err := a.target()
	if err != nil {
		return nil, err
	}
	return Run(ctx, s, target)
}

// target returns the running fleet that the command line names. Without the operators' key
// it cannot take data centres out.
func (a *commandArgs) target() (*Target, error) {
	t := &Target{Gateways: a.Gateways, Keys: make(map[string]string), Model: a.Model}
	for _, k := range a.Keys {
		workspace, key, ok := strings.Cut(k, "=")
		if !ok {
			return nil, fmt.Errorf("a value of --key has no \"=\": write it as WORKSPACE=KEY")
		}
		t.Keys[workspace] = key
	}
	if a.AdminKey != "" {
		t.SetTakenOut = newSetTakenOut(func(i int) *ctl.Client { return ctl.NewClient(a.Gateways[i], a.AdminKey) })
	}
	return t, nil
}

// writeReports writes the results to the files of --json and --html.
func (a *commandArgs) writeReports(out io.Writer, results []*Result) error {
	if a.JSON != "" {
		data, err := JSON(results)
		if err != nil {
			return err
		}
		if a.JSON == "-" {
			_, err = out.Write(append(data, '\n'))
			return err
		}
		if err := os.WriteFile(a.JSON, data, 0o644); err != nil {
			return fmt.Errorf("write results of --json: %w", err)
		}
	}
	if a.HTML == "" {
		return nil
	}
	file, err := os.Create(a.HTML)
	if err != nil {
		return fmt.Errorf("create page of --html: %w", err)
	}
	defer file.Close()
	return WritePage(file, results)
}
