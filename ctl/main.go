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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file was invalid.
	ExitUsage = 2
	// ExitConflict means that another change was accepted first, so that the given base
	// is no longer the current version.
	ExitConflict = 3
	// ExitUnreachable means that the gateway did not respond.
	ExitUnreachable = 4
	// ExitPending means that a change was accepted but was not in force on every daemon
	// when the timeout passed.
	ExitPending = 5
)

// Version is the version of the program; the build sets it.
var Version = "dev"

// keyArgs is the command "key".
type keyArgs struct {
	Issue    *keyIssueArgs    `arg:"subcommand:issue" help:"issue a key for a workspace; the key is shown only once"`
	List     *keyListArgs     `arg:"subcommand:list" help:"list the issued and withdrawn keys"`
	Withdraw *keyWithdrawArgs `arg:"subcommand:withdraw" help:"withdraw a key and wait until every daemon rejects it"`
}

// dataCentreArgs is the command "dc".
type dataCentreArgs struct {
	Out *setDataCentreArgs `arg:"subcommand:out" help:"take a data centre out of service: it gets no new work"`
	In  *setDataCentreArgs `arg:"subcommand:in" help:"return a data centre to service"`
}

// reportArgs is the command "report".
type reportArgs struct {
	Burn *burnArgs `arg:"subcommand:burn" help:"show how fast each service-level objective uses up its error budget"`
}

// arguments is the command line of baobabctl.
type arguments struct {
	Check      *checkArgs      `arg:"subcommand:check" help:"check an inventory or settings file"`
	Diff       *diffArgs       `arg:"subcommand:diff" help:"compare an inventory file with the inventory in force"`
	Apply      *applyArgs      `arg:"subcommand:apply" help:"replace the inventory and wait until it is in force"`
	Show       *showArgs       `arg:"subcommand:show" help:"print the inventory in force"`
	History    *historyArgs    `arg:"subcommand:history" help:"list the accepted changes of the configuration"`
	Key        *keyArgs        `arg:"subcommand:key" help:"issue, list and withdraw keys"`
	DataCentre *dataCentreArgs `arg:"subcommand:dc" help:"take a data centre out of service or return it"`
	Upstreams  *upstreamsArgs  `arg:"subcommand:upstreams" help:"list the upstreams and their state"`
	Workspaces *workspacesArgs `arg:"subcommand:workspaces" help:"list the workspaces"`
	Jobs       *jobsArgs       `arg:"subcommand:jobs" help:"list the batch jobs or watch one of them"`
	Status     *statusArgs     `arg:"subcommand:status" help:"show the state of every daemon and the version of its configuration"`
	Report     *reportArgs     `arg:"subcommand:report" help:"print reports about the whole fleet"`
	Trace      *traceArgs      `arg:"subcommand:trace" help:"show what happened to a request, batch job or item, from log files"`

	Gateway string `arg:"--gateway,env:BAOBAB_GATEWAY" default:"http://127.0.0.1:8080" placeholder:"URL" help:"base URL of a gateway"`
	KeyFile string `arg:"--admin-key-file" placeholder:"FILE" help:"read the operators' key from this file; the default is the value of the environment variable BAOBAB_ADMIN_KEY"`
	JSON    bool   `arg:"--json" help:"print JSON instead of text"`
}

// Description implements go-arg's described interface.
func (arguments) Description() string {
	return "baobabctl manages a fleet: it checks and applies the inventory, issues and withdraws\n" +
		"keys, takes data centres out of service, and shows the state of daemons and jobs."
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

Exit codes: 0 success, 1 failure, 2 invalid command line or file,
3 another change was accepted first, 4 gateway unreachable,
5 change accepted but not in force on every daemon before the timeout.`
}

// Version implements go-arg's versioned interface.
func (arguments) Version() string { return Version }

// command is a subcommand that can be run.
type command interface {
	// run executes the command and prints its result.
	run(ctx context.Context, s *session) error
}

// session holds what the commands share: the client of the gateway and the output.
type session struct {
	client *Client
	json   bool
	out    io.Writer
}

// Main runs baobabctl with the arguments argv, without the program name, and returns
// the exit code. Results go to out, errors and usage to errOut.
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
		return printUsage(parser, errOut, err)
	}
	if args.DataCentre != nil && args.DataCentre.Out != nil {
		args.DataCentre.Out.takeOut = true
	}
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		return printUsage(parser, errOut, errors.New("no command given; run baobabctl --help for the list of commands"))
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

// printUsage prints the error with the usage of the command and returns ExitUsage.
func printUsage(parser *arg.Parser, errOut io.Writer, err error) int {
	_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
	fmt.Fprintln(errOut, "baobabctl:", err)
	return ExitUsage
}

// connect sets the client of the gateway. It makes no call yet.
func (s *session) connect(args *arguments) error {
	key := os.Getenv("BAOBAB_ADMIN_KEY")
	if args.KeyFile != "" {
		data, err := os.ReadFile(args.KeyFile)
		if err != nil {
			return fmt.Errorf("read the operators' key from the file of --admin-key-file: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	s.client = NewClient(strings.TrimSuffix(args.Gateway, "/"), key)
	return nil
}

// errNotInForce is the error of a change that was accepted but was not in force on
// every daemon before the timeout.
var errNotInForce = errors.New("accepted but not yet in force on every daemon")

// errUsage is the error of a command line whose values are invalid.
var errUsage = errors.New("invalid command line")

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var problem config.Problem
	var resultErr *result.Error
	var pathErr *fs.PathError
	switch {
	case errors.As(err, &problem), errors.As(err, &pathErr), errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errNotInForce):
		return ExitPending
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	case errors.As(err, &resultErr) && resultErr.Code == result.ConfigConflict:
		return ExitConflict
	case errors.As(err, &resultErr) && resultErr.Code == result.ConfigInvalid:
		return ExitUsage
	default:
		return ExitFailed
	}
}

// author returns the name of the user who runs the command, or "unknown".
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
