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

// seedVariable names the environment variable that sets the seed.
const seedVariable = "BAOBAB_SEED"

// defaultSeed is the seed of runs that set none.
const defaultSeed = 20261204

// binDir is where the programs are built once for each run of the tests.
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

// newRandom returns the random numbers of a test and prints their seed.
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

// buildPrograms builds the buildPrograms at the first call and returns their folder.
var buildPrograms = sync.OnceValues(func() (string, error) {
	cmd := exec.Command("go", "build", "-o", binDir+"/", "./cmd/...")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build programs: %w: %s", err, out)
	}
	return binDir, nil
})

// ampleRate is a rate that no test exceeds.
const ampleRate = 100000

// startProcesses starts a fleet of separate processes that ends with the test.
func startProcesses(t *testing.T, opts devfleet.Options) *devfleet.Fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("separate processes run only without -short")
	}
	bin, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	opts.Bin = bin
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

// eventually waits until the condition holds, or ends the test.
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
