package standin

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// stopTimeout bounds the planned stop of a stand-in.
const stopTimeout = 5 * time.Second

type platformArgs struct {
	Listen string `arg:"--listen,required" placeholder:"ADDRESS" help:"IP address and port"`
}

type engineArgs struct {
	Listen   string        `arg:"--listen,required" placeholder:"ADDRESS" help:"IP address and port"`
	Prefill  time.Duration `arg:"--prefill" default:"20ms" help:"time to the first token of an uncached prompt"`
	PerToken time.Duration `arg:"--per-token" default:"2ms" help:"time between tokens"`
	Tokens   int           `arg:"--tokens" default:"16" help:"tokens in an answer when the request sets none"`
	Knee     int           `arg:"--knee" default:"8" help:"requests that run at once without slowing down"`
	Cold     bool          `arg:"--cold" help:"begin in cold start"`
}

type serviceArgs struct {
	Listen string        `arg:"--listen,required" placeholder:"ADDRESS" help:"IP address and port"`
	Time   time.Duration `arg:"--time" default:"5ms" help:"time of one call"`
}

type commandArgs struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"table, object store, VM list and weight store"`
	Engine   *engineArgs   `arg:"subcommand:engine" help:"model engine"`
	Service  *serviceArgs  `arg:"subcommand:service" help:"plain service"`
}

// stopper is a running stand-in.
type stopper interface {
	Shutdown(context.Context) error
}

// Command runs the stand-in that the command line names until a signal arrives,
// and returns the exit code.
func Command() int {
	var args commandArgs
	parser := arg.MustParse(&args)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s, err := start(&args)
	if errors.Is(err, errNoCommand) {
		parser.Fail("name a stand-in")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

var errNoCommand = errors.New("standin: no command")

func start(args *commandArgs) (stopper, error) {
	switch {
	case args.Platform != nil:
		return StartPlatform(args.Platform.Listen)
	case args.Engine != nil:
		return StartEngine(args.Engine.Listen, args.Engine.options())
	case args.Service != nil:
		return StartService(args.Service.Listen, args.Service.Time)
	default:
		return nil, errNoCommand
	}
}

func (a *engineArgs) options() EngineOptions {
	o := DefaultEngine
	o.Prefill, o.PerToken, o.Tokens, o.Knee, o.StartCold = a.Prefill, a.PerToken, a.Tokens, a.Knee, a.Cold
	return o
}
