//go:build review

// Package cases plays the scripted cases of the third review, on loopback addresses. It starts the
// entry daemons as processes, with stand-ins of its own for the store, the engines and the clients,
// which follow the operators' pages and share no code with the system.
package cases

import (
	"fmt"
	"os"
	"testing"
)

// plays maps the names of the cases to what plays them.
var plays = map[string]func(*Script) int{
	"oversize":  oversizePlay,
	"slowmodel": slowmodelPlay,
	"late":      latePlay,
	"unseenend": unseenendPlay,
	"oneslot":   oneslotPlay,
	"earlystop": earlystopPlay,
}

// TestMain plays the case that the first argument names and writes its record to the path in the
// second one.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(NotRun)
	}
	Play(plays[os.Args[1]], os.Args[2])
}
