//go:build review

// Package cases plays the scripted cases of the second review. It starts the project's own
// programs as separate processes on loopback addresses, with a stand-in of the platform's store of
// the project and engines and clients of its own.
package cases

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"open-batch":    openBatch,
	"stray-entry":   strayEntry,
	"late-entry":    lateEntry,
	"deadly-turn":   deadlyTurn,
	"failing-item":  failingItem,
	"version-paths": versionPaths,
}

// TestMain runs the case that the first argument names. Its record goes to record.txt in the folder
// that the second argument names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], filepath.Join(os.Args[2], "record.txt")))
}

// play runs a case and returns its exit code.
func play(run func(*fleet, bool) (bool, error), record string) int {
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	f.logf("trouble: %t", trouble)
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		f.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		f.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// startAll starts two engines and the daemons entry-1, entry-2, ... on loopback addresses of their
// own, after the configuration was written, and waits until all are ready.
func (f *fleet) startAll(daemons int) ([]*daemon, error) {
	if err := f.publish(); err != nil {
		return nil, err
	}
	for _, id := range []string{"i-7f3a91c2", "i-1c60d2e4"} {
		if _, err := f.startEngine(id, mainService); err != nil {
			return nil, err
		}
	}
	var all []*daemon
	for i := 1; i <= daemons; i++ {
		d, err := f.newDaemon(fmt.Sprintf("entry-%d", i), fmt.Sprintf("127.0.0.%d", 10+i))
		if err != nil {
			return nil, err
		}
		if err := d.start(); err != nil {
			return nil, err
		}
		all = append(all, d)
	}
	for _, d := range all {
		if err := f.await(d.name+" is ready", d.ready); err != nil {
			return nil, err
		}
	}
	return all, nil
}
