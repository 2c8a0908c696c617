//go:build review

// Package cases holds the scripts' cases of the review and their stand-ins. It is built as a
// test program, see ../build.sh. A case starts entry daemons as processes, with stand-ins of
// the store, the engines, the operator and the clients, and checks one rule.
//
//	cases NAME ROOT RECORD
//
// ROOT is the root of the repository, RECORD the file that the record is written to. It exits
// with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0
// in the environment, the case runs without its disruption.
package cases

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxRunTime bounds the time of a case.
const maxRunTime = 118 * time.Second

// fleet is what a case runs.
type fleet struct {
	rec     *record
	store   *store
	engines []*engine
	daemons []*daemon
	doors   []*door // of the daemons, in their order
	config  map[string]any
	trouble bool
	stop    chan struct{} // closed at the end of the case
}

// cases has the cases by name. A case returns whether the rule held.
var cases = map[string]func(*fleet) (bool, error){
	"new-route":    newRoute,
	"roster-blind": rosterBlind,
	"gone-engine":  goneEngine,
}

// TestMain runs the case that the command line names.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME ROOT RECORD")
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// run runs a case in a temporary folder and returns the exit code.
func run(c func(*fleet) (bool, error), root, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	f := &fleet{rec: rec, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	defer f.close()
	rec.say("disruption: %v", f.trouble)
	time.AfterFunc(maxRunTime, func() {
		rec.say("the case could not run: it takes longer than %v", maxRunTime)
		os.Exit(couldNot) // the daemons end with this process
	})
	ok, err := c(f)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return couldNot
	case ok:
		rec.say("the rule held")
		return held
	default:
		rec.say("the rule was broken")
		return broken
	}
}

// close ends all processes of the fleet.
func (f *fleet) close() {
	close(f.stop)
	for _, d := range f.daemons {
		d.kill()
	}
}

// startInterval is the time from the start of one daemon to that of the next. Eight daemons
// then start within the 0.3 s in which machines start.
const startInterval = 40 * time.Millisecond

// readyLimit is the longest time until a daemon is ready.
const readyLimit = 15 * time.Second

// begin starts the store, the engines and the daemons, and waits until all daemons are ready.
func (f *fleet) begin(root, dir string, engines, daemons int) error {
	f.store = newStore()
	f.store.put("op", "config", f.config)
	for i := range engines {
		e, err := startEngine(f.rec, fmt.Sprintf("i-engine%d", i+1))
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		go e.register(f.store, "svc", f.stop)
	}
	for i := range daemons {
		door, err := f.store.newDoor()
		if err != nil {
			return err
		}
		f.doors = append(f.doors, door)
		d, err := newDaemon(f.rec, root, dir, i+1, door.Address)
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
		time.Sleep(startInterval)
	}
	for _, d := range f.daemons {
		if !d.awaitReady(readyLimit) {
			return errors.New("daemon " + d.Name + " does not become ready")
		}
	}
	time.Sleep(2 * time.Second) // all daemons know each other
	return nil
}

// route returns a route of the configuration.
func route(name, prefix, kind string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": "svc",
		"timeoutMs": 5000, "targetLatencyMs": 400, "priority": 0, "public": false, "maxAttempts": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// newConfig returns the configuration with version 1 and the routes.
func newConfig(routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 1, "routes": routes,
		"services": []map[string]any{{"name": "svc", "healthPath": "/health", "maxConnections": 170, "coldStartS": 3.0, "coldPerS": 28.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "ratePerS": 200, "burst": 200}},
	}
}

// change writes a new version of the configuration with the routes.
func (f *fleet) change(routes ...map[string]any) {
	f.config["version"] = f.config["version"].(int) + 3
	f.config["routes"] = routes
	f.store.put("op", "config", f.config)
	f.rec.log("operator's change is acknowledged: version %d with %d routes", f.config["version"], len(routes))
}
