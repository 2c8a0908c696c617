// Command baobab-standin runs a stand-in of an outside system for tests and the
// demo.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/standin"
)

func main() { os.Exit(standin.Command()) }
