// Command baobab-agent forwards the requests of gateways to the upstreams of one VM.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/daemon"
)

func main() {
	os.Exit(daemon.Command("baobab-agent", config.RoleAgent, daemon.StartAgent))
}
