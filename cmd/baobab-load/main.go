// Command baobab-load sends open-loop load to a fleet and reports the results and
// latencies that callers observed.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/load"
)

func main() { os.Exit(load.Command()) }
