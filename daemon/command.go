package daemon

import (
	"errors"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/config"
)

// Exit codes of the daemons.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Version is the version of the programs; the build sets it.
var Version = "dev"

// arguments is the command line of a gateway or agent.
type arguments struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"read the settings of the daemon from this YAML file"`
	Check    bool   `arg:"--check" help:"check the settings file and exit without starting the daemon"`
}

// Version implements go-arg's versioned interface.
func (arguments) Version() string { return Version }

// Command parses the command line of the named daemon, reads its settings and runs it
// until a signal stops it. It returns the exit code: 0 after a graceful shutdown, 1
// after a failure, 2 for an invalid command line or invalid settings.
func Command(name string, role config.Role, start func(config.Settings, *log.Logger) (Process, error)) int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: name}, &args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	switch err := parser.Parse(os.Args[1:]); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(os.Stdout)
		return exitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(Version)
		return exitOK
	case err != nil:
		parser.WriteUsage(os.Stderr)
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, err := config.ReadSettings(args.Settings, role)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if args.Check {
		return exitOK
	}
	return runDaemon(settings, start)
}
