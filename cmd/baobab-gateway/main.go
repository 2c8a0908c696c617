// Command baobab-gateway serves the APIs for callers and operators.
package main

import (
	"os"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/daemon"
)

func main() {
	os.Exit(daemon.Command("baobab-gateway", config.RoleGateway, daemon.StartGateway))
}
