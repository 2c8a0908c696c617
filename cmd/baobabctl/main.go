// Command baobabctl is the command line for operators.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
