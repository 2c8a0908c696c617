// Command baobab-load sends open-loop load to a fleet and reports what callers
// saw.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/load"
)

func main() { os.Exit(load.Command()) }
