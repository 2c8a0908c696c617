package prooftest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
)

// seedVariable is the environment variable that sets the seed of the random faults.
const seedVariable = "BAOBAB_SEED"

// defaultSeed is the seed if the environment variable is not set.
const defaultSeed = 20261204

// binDir is the temporary directory for the programs, which are built once per test run.
var binDir string

func TestMain(m *testing.M) {
	var err error
	binDir, err = os.MkdirTemp("", "baobab-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(binDir)
	os.Exit(code)
}

// newRandom returns a random number generator for the test and logs its seed. The generator
// depends on the name of the test too, so a renamed test draws other faults.
func newRandom(t *testing.T) *rand.Rand {
	t.Helper()
	seed := uint64(defaultSeed)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatalf("%s: %v", seedVariable, err)
		}
	}
	t.Logf("%s=%d", seedVariable, seed)
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(t.Name())))
}

// buildPrograms builds the programs in cmd on the first call and returns their directory.
// It may be called from several goroutines.
var buildPrograms = sync.OnceValues(func() (string, error) {
	cmd := exec.Command("go", "build", "-o", binDir+"/", "./cmd/...")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build programs: %w: %s", err, out)
	}
	return binDir, nil
})

// ampleRate is a rate, in requests per second, and a burst that no test exceeds.
const ampleRate = 100000

// startProcesses starts a fleet of separate processes, which are killed when the test ends.
// It skips the test in short mode. Unless opts has workspaces, there is one with no
// effective rate limit.
func startProcesses(t *testing.T, opts devfleet.Options) *devfleet.Fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("separate processes run only without -short")
	}
	bin, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	opts.BinDir = bin
	if opts.Workspaces == nil {
		opts.Workspaces = []fleet.Workspace{{Name: "garrafon", Rate: ampleRate, Burst: ampleRate}}
	}
	f, err := devfleet.Start(t.Context(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

const (
	waitTimeout  = 50 * time.Second
	waitInterval = 20 * time.Millisecond
)

// eventually waits until condition returns true. After waitTimeout it fails the test.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// restart starts a killed process again.
func restart(t *testing.T, p *devfleet.Process) {
	t.Helper()
	if err := p.Restart(); err != nil {
		t.Fatal(err)
	}
}
