package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"os/user"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/result"
)

// Exit codes of baobabctl.
const (
	// ExitOK means that the command did what it says.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means a wrong command line or an invalid file.
	ExitUsage = 2
	// ExitConflict means that another change was accepted first.
	ExitConflict = 3
	// ExitUnreachable means that the gateway did not answer.
	ExitUnreachable = 4
	// ExitPending means that an accepted change was not in force everywhere
	// when the time to wait had passed.
	ExitPending = 5
)

// Version is the version of the program; the build sets it.
var Version = "dev"

type keyArgs struct {
	Issue    *keyIssueArgs    `arg:"subcommand:issue" help:"issue a key; it is shown only once"`
	List     *keyListArgs     `arg:"subcommand:list" help:"list the keys"`
	Withdraw *keyWithdrawArgs `arg:"subcommand:withdraw" help:"withdraw a key and wait until it works nowhere"`
}

type dataCentreArgs struct {
	Out *setDataCentreArgs `arg:"subcommand:out" help:"give a data centre no new work"`
	In  *setDataCentreArgs `arg:"subcommand:in" help:"return a data centre to service"`
}

type reportArgs struct {
	Burn *burnArgs `arg:"subcommand:burn" help:"burn of the service-level objectives"`
}

// arguments is the command line.
type arguments struct {
	Check      *checkArgs      `arg:"subcommand:check" help:"check an inventory or settings file"`
	Diff       *diffArgs       `arg:"subcommand:diff" help:"show what an inventory file would change"`
	Apply      *applyArgs      `arg:"subcommand:apply" help:"replace the inventory"`
	Show       *showArgs       `arg:"subcommand:show" help:"print the inventory in force"`
	History    *historyArgs    `arg:"subcommand:history" help:"list accepted changes"`
	Key        *keyArgs        `arg:"subcommand:key" help:"issue, list and withdraw keys"`
	DataCentre *dataCentreArgs `arg:"subcommand:dc" help:"take a data centre out or return it"`
	Upstreams  *upstreamsArgs  `arg:"subcommand:upstreams" help:"list the upstreams and their state"`
	Workspaces *workspacesArgs `arg:"subcommand:workspaces" help:"list the workspaces"`
	Jobs       *jobsArgs       `arg:"subcommand:jobs" help:"list the batch jobs"`
	Status     *statusArgs     `arg:"subcommand:status" help:"show every daemon and its configuration"`
	Report     *reportArgs     `arg:"subcommand:report" help:"reports"`
	Trace      *traceArgs      `arg:"subcommand:trace" help:"tell the story of a request, job or item from log files"`

	Gateway string `arg:"--gateway,env:BAOBAB_GATEWAY" default:"http://127.0.0.1:8080" placeholder:"URL" help:"address of a gateway"`
	KeyFile string `arg:"--admin-key-file" placeholder:"FILE" help:"file with the operators' key; the default is the variable BAOBAB_ADMIN_KEY"`
	JSON    bool   `arg:"--json" help:"print JSON for programs"`
}

// Description implements go-arg's described interface.
func (arguments) Description() string {
	return "baobabctl drives a fleet by its inventory: it checks and applies it, issues and\n" +
		"withdraws keys, takes data centres out and shows the state."
}

// Epilogue implements go-arg's epilogued interface.
func (arguments) Epilogue() string {
	return `Examples:
  baobabctl check inventory.yaml
  baobabctl apply inventory.yaml
  baobabctl key issue garrafon
  baobabctl key withdraw key-3fA9x0aB
  baobabctl dc out bajio-2
  baobabctl --json status
  baobabctl trace 9c41d07be2a35f68 /var/log/baobab

Exit codes: 0 done, 1 failed, 2 wrong command line or invalid file,
3 another change was accepted first, 4 gateway unreachable,
5 accepted but not in force everywhere in time.`
}

// Version implements go-arg's versioned interface.
func (arguments) Version() string { return Version }

// command is one command of the command line.
type command interface {
	run(ctx context.Context, c *session) error
}

// session is what a command works with.
type session struct {
	client *Client
	json   bool
	out    io.Writer
}

// Main runs the command line and returns the exit code.
func Main(argv []string, out, errOut io.Writer) int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "baobabctl", Out: out}, &args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, Version)
		return ExitOK
	case err != nil:
		return usage(parser, errOut, err)
	}
	if args.DataCentre != nil && args.DataCentre.Out != nil {
		args.DataCentre.Out.out = true
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		return usage(parser, errOut, errors.New("a command is missing"))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := &session{json: args.JSON, out: out}
	if err := s.connect(&args); err != nil {
		fmt.Fprintln(errOut, "baobabctl:", err)
		return ExitUsage
	}
	if err := cmd.run(ctx, s); err != nil {
		fmt.Fprintln(errOut, "baobabctl:", err)
		return exitCode(err)
	}
	return ExitOK
}

func usage(parser *arg.Parser, errOut io.Writer, err error) int {
	_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
	fmt.Fprintln(errOut, "baobabctl:", err)
	return ExitUsage
}

// connect sets the client of the gateway.
func (s *session) connect(args *arguments) error {
	key := os.Getenv("BAOBAB_ADMIN_KEY")
	if args.KeyFile != "" {
		data, err := os.ReadFile(args.KeyFile)
		if err != nil {
			return fmt.Errorf("read operators' key: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	s.client = NewClient(strings.TrimSuffix(args.Gateway, "/"), key)
	return nil
}

// errPending reports a change that was not in force everywhere in time.
var errPending = errors.New("not in force everywhere")

func exitCode(err error) int {
	var problem config.Problem
	var typed *result.Error
	var file *fs.PathError
	switch {
	case errors.As(err, &problem), errors.As(err, &file):
		return ExitUsage
	case errors.Is(err, errPending):
		return ExitPending
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	case errors.As(err, &typed) && typed.Code == result.ConfigConflict:
		return ExitConflict
	case errors.As(err, &typed) && typed.Code == result.ConfigInvalid:
		return ExitUsage
	default:
		return ExitFailed
	}
}

// author returns the name of the user who runs the command.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
