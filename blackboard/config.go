package blackboard

import (
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Config is the configuration in force.
type Config struct {
	// View is the configuration, or nil before the first one is known.
	View *fleet.View
	// Head names the parts of the configuration.
	Head fleet.Head
}

// Contact tells when this process was last in touch with the store.
type Contact struct {
	// StoreRead is when this process last read the head of the configuration,
	// or zero.
	StoreRead time.Time
}

// Freshness tells how long the configuration in force may be used.
type Freshness struct {
	// Until is when requests are refused, because no newer evidence says that
	// the configuration is current.
	Until time.Time
}
