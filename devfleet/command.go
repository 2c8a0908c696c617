package devfleet

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

const stopTimeout = 20 * time.Second

type demoArgs struct{}

type upArgs struct {
	Gateway string `arg:"--gateway" default:"127.0.0.1:8080" help:"address of the first gateway for callers"`
}

type commandArgs struct {
	Demo *demoArgs `arg:"subcommand:demo" help:"run the demo and stop"`
	Up   *upArgs   `arg:"subcommand:up" help:"keep a fleet running until Ctrl-C"`
	Bin  string    `arg:"--bin" help:"folder with the programs; the default is this program's folder"`
}

// Command runs the demo or keeps a fleet running, and returns the exit code.
func Command() int {
	var args commandArgs
	parser := arg.MustParse(&args)
	if args.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		args.Bin = filepath.Dir(self)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case args.Demo != nil:
		err = demo(ctx, args.Bin, os.Stdout)
	case args.Up != nil:
		err = up(ctx, args.Bin, args.Up.Gateway)
	default:
		parser.Fail("name a command")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// up keeps a fleet running until ctx ends.
func up(ctx context.Context, bin, gateway string) error {
	f, err := Start(ctx, Options{Bin: bin, FirstGateway: gateway})
	if err != nil {
		return err
	}
	for i := range f.Inventory.Gateways {
		fmt.Printf("gateway    %s\n", f.URL(i))
	}
	for _, w := range slices.Sorted(mapKeys(f.Keys)) {
		fmt.Printf("key        %-10s %s\n", w, f.Keys[w])
	}
	fmt.Printf("admin key  %s\n", f.AdminKey)
	fmt.Printf("model      %s\nroute      %s\n", ModelName, RoutePrefix)
	fmt.Println("The fleet runs until Ctrl-C.")
	<-ctx.Done()
	return stopFleet(f)
}

func stopFleet(f *Fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return f.Stop(ctx)
}
