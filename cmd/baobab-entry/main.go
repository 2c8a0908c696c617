// Command baobab-entry serves callers on an entry VM of the operators' platform. It
// forwards requests directly to the engines that are registered in the platform's store.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/daemon"
)

func main() { os.Exit(daemon.EntryCommand()) }
