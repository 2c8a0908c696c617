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

// commandArgs is the command line of baobab-load.
type commandArgs struct {
	Profiles       []string      `arg:"--profile,separate" help:"garrafon or guild; may be repeated"`
	File           string        `arg:"--scenario" placeholder:"FILE" help:"YAML file with a scenario"`
	Variants       []string      `arg:"--variant,separate" help:"burst, steady, batch, batch-alone, over-rate, data-centre-out, gateway-killed, direct or idle; may be repeated; the first is the base of the ratios"`
	Seed           uint64        `arg:"--seed" help:"seed of the schedule"`
	Duration       time.Duration `arg:"--duration" help:"length of the counted part"`
	Offered        float64       `arg:"--offered" help:"offered requests per second over all workspaces; their rates grow with it"`
	EngineArg      []string      `arg:"--engine-arg,separate" help:"argument of the stand-in engines in place of the scenario's"`
	Slots          int           `arg:"--slots" help:"requests that an engine gets at once"`
	GatewayCount   int           `arg:"--gateways" help:"number of gateways in place of the scenario's"`
	EngineCount    int           `arg:"--engines" help:"number of engines in place of the scenario's"`
	WorkspaceCount int           `arg:"--workspaces" help:"number of workspaces; those beyond the scenario's send nothing"`
	NoDistance     bool          `arg:"--no-distance" help:"put the data centres next to each other"`
	Whole          bool          `arg:"--whole" help:"ask for whole answers in place of streams"`
	Bin            string        `arg:"--bin" help:"folder with the programs; the default is this program's folder"`
	Gateways       []string      `arg:"--gateway,separate" placeholder:"URL" help:"base address of a running gateway; without one the run starts a fleet"`
	Keys           []string      `arg:"--key,separate" placeholder:"WORKSPACE=KEY" help:"key of a workspace of the running fleet"`
	AdminKey       string        `arg:"--admin-key,env:BAOBAB_ADMIN_KEY" help:"operators' key of the running fleet"`
	Model          string        `arg:"--model" default:"demo-chat" help:"model of the running fleet"`
	JSON           string        `arg:"--json" placeholder:"FILE" help:"write the results as JSON; - is standard output"`
	HTML           string        `arg:"--html" placeholder:"FILE" help:"write a page with plots"`
}

// Command runs baobab-load and returns its exit code.
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

func (a *commandArgs) run(ctx context.Context, out io.Writer) error {
	bases, err := a.bases()
	if err != nil {
		return err
	}
	var all []*Result
	for i := range bases {
		results, err := a.runVariants(ctx, out, &bases[i])
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	return a.writeFiles(out, all)
}

// bases returns the scenarios that the command line names.
func (a *commandArgs) bases() ([]Scenario, error) {
	var list []Scenario
	if a.File != "" {
		s, err := ReadScenario(a.File)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	if len(a.Profiles) == 0 && a.File == "" {
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
		a.override(&list[i])
	}
	return list, nil
}

// override replaces the parts of the scenario that the command line names.
func (a *commandArgs) override(s *Scenario) {
	if a.Seed != 0 {
		s.Seed = a.Seed
	}
	if a.Duration != 0 {
		s.Duration = a.Duration
	}
	if len(a.EngineArg) > 0 {
		s.Fleet.EngineArgs = a.EngineArg
	}
	if a.NoDistance {
		s.Fleet.Distance = 0
	}
	if a.Slots != 0 {
		s.Fleet.Slots = a.Slots
	}
	s.Fleet.Gateways = cmp.Or(a.GatewayCount, s.Fleet.Gateways)
	s.Fleet.Engines = cmp.Or(a.EngineCount, s.Fleet.Engines)
	for i := len(s.Workspaces); i < a.WorkspaceCount; i++ {
		s.Workspaces = append(s.Workspaces, Workspace{Name: fmt.Sprintf("silent-%d", i), Rate: 1, Burst: 1})
	}
	s.Request.Whole = s.Request.Whole || a.Whole
	if a.Offered > 0 {
		s.scale(a.Offered)
	}
}

// scale changes the offered rates so that they add up to offered, and the
// workspaces' limits with them.
func (s *Scenario) scale(offered float64) {
	var sum float64
	for _, w := range s.Workspaces {
		sum += w.Offered
	}
	factor := offered / sum
	for i := range s.Workspaces {
		w := &s.Workspaces[i]
		w.Offered *= factor
		w.Rate *= factor
		w.Burst = max(1, int(float64(w.Burst)*factor))
	}
}

// runVariants runs each variant and writes its table and the ratios.
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
		r, err := a.runOne(ctx, &s)
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

func (a *commandArgs) runOne(ctx context.Context, s *Scenario) (*Result, error) {
	if len(a.Gateways) == 0 {
		bin := a.Bin
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

// target describes the running fleet that the command line names.
func (a *commandArgs) target() (*Target, error) {
	t := &Target{Gateways: a.Gateways, Keys: make(map[string]string), Model: a.Model}
	for _, k := range a.Keys {
		workspace, key, ok := strings.Cut(k, "=")
		if !ok {
			return nil, fmt.Errorf("--key must be WORKSPACE=KEY")
		}
		t.Keys[workspace] = key
	}
	if a.AdminKey != "" {
		t.TakeOut = takeOut(func(i int) *ctl.Client { return ctl.NewClient(a.Gateways[i], a.AdminKey) })
	}
	return t, nil
}

// writeFiles writes the results as JSON and HTML where the command line says.
func (a *commandArgs) writeFiles(out io.Writer, results []*Result) error {
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
			return fmt.Errorf("write results: %w", err)
		}
	}
	if a.HTML == "" {
		return nil
	}
	file, err := os.Create(a.HTML)
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	defer file.Close()
	return WritePage(file, results)
}
