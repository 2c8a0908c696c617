// Command baobab-dev runs the demo and a development fleet on loopback.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/devfleet"
)

func main() { os.Exit(devfleet.Command()) }
