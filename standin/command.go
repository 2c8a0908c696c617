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

// shutdownTimeout bounds the graceful shutdown of a stand-in.
const shutdownTimeout = 5 * time.Second

type platformArgs struct {
	Listen string `arg:"--listen,required" placeholder:"ADDRESS" help:"listen address, as IP:PORT"`
}

type engineArgs struct {
	Listen   string        `arg:"--listen,required" placeholder:"ADDRESS" help:"listen address, as IP:PORT"`
	Prefill  time.Duration `arg:"--prefill" default:"20ms" help:"time to the first token of a prompt that is not cached"`
	PerToken time.Duration `arg:"--per-token" default:"2ms" help:"time between two tokens"`
	Tokens   int           `arg:"--tokens" default:"16" help:"tokens in a response if the request sets no max_tokens"`
	Knee     int           `arg:"--knee" default:"8" help:"requests that can run at once before the engine slows down"`
	Cold     bool          `arg:"--cold" help:"start the engine in cold start"`
}

type serviceArgs struct {
	Listen string        `arg:"--listen,required" placeholder:"ADDRESS" help:"listen address, as IP:PORT"`
	Time   time.Duration `arg:"--time" default:"5ms" help:"duration of one call"`
}

type commandArgs struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"run the platform services: row store, object store and VM list"`
	Engine   *engineArgs   `arg:"subcommand:engine" help:"run a model engine"`
	Service  *serviceArgs  `arg:"subcommand:service" help:"run a plain HTTP service"`
}

// shutdowner is a running stand-in that can be shut down.
type shutdowner interface {
	Shutdown(context.Context) error
}

// Command runs the stand-in selected by the subcommand until the process gets SIGTERM or
// SIGINT, and returns the exit code.
func Command() int {
	var args commandArgs
	parser := arg.MustParse(&args)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s, err := start(&args)
	if errors.Is(err, errNoSubcommand) {
		parser.Fail("missing subcommand: platform, engine or service")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// errNoSubcommand reports a command line without a subcommand.
var errNoSubcommand = errors.New("standin: missing subcommand")

// start starts the stand-in of the subcommand.
func start(args *commandArgs) (shutdowner, error) {
	switch {
	case args.Platform != nil:
		return StartPlatform(args.Platform.Listen)
	case args.Engine != nil:
		return StartEngine(args.Engine.Listen, args.Engine.options())
	case args.Service != nil:
		return StartService(args.Service.Listen, args.Service.Time)
	default:
		return nil, errNoSubcommand
	}
}

// options returns DefaultEngineOptions with the values of the flags.
func (a *engineArgs) options() EngineOptions {
	o := DefaultEngineOptions
	o.Prefill, o.PerToken, o.Tokens, o.FullSpeedRequests, o.StartCold = a.Prefill, a.PerToken, a.Tokens, a.Knee, a.Cold
	return o
}
