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

// shutdownTimeout bounds the graceful shutdown of a fleet.
const shutdownTimeout = 20 * time.Second

type demoArgs struct{}

type upArgs struct {
	Gateway string `arg:"--gateway" default:"127.0.0.1:8080" help:"listen address of the first gateway, as IP:PORT"`
}

type commandArgs struct {
	Demo *demoArgs `arg:"subcommand:demo" help:"run the demo and exit"`
	Up   *upArgs   `arg:"subcommand:up" help:"run a fleet until Ctrl-C"`
	Bin  string    `arg:"--bin" help:"directory with the project's programs; the default is the directory of this program"`
}

// Command runs the subcommand demo or up, and returns the exit code.
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
		parser.Fail("missing subcommand: demo or up")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// up starts a fleet, prints its addresses and keys, and stops it when ctx ends.
func up(ctx context.Context, bin, gateway string) error {
	f, err := Start(ctx, Options{BinDir: bin, FirstGateway: gateway})
	if err != nil {
		return err
	}
	for i := range f.Inventory.Gateways {
		fmt.Printf("gateway    %s\n", f.URL(i))
	}
	for _, workspace := range slices.Sorted(mapKeys(f.Keys)) {
		fmt.Printf("key        %-10s %s\n", workspace, f.Keys[workspace])
	}
	fmt.Printf("admin key  %s\n", f.AdminKey)
	fmt.Printf("model      %s\nroute      %s\n", ModelName, ServicePathPrefix)
	fmt.Println("The fleet is running. Press Ctrl-C to stop it.")
	<-ctx.Done()
	return stopFleet(f)
}

// stopFleet shuts the fleet down within shutdownTimeout.
func stopFleet(f *Fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return f.Stop(ctx)
}
