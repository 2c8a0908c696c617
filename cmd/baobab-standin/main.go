// Command baobab-standin runs a stand-in for an external system in tests and the demo.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/standin"
)

func main() { os.Exit(standin.Command()) }
