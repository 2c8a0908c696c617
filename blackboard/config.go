package blackboard

import (
	"time"

	"github.com/baobablanding/baobablanding/fleet"
)

// Config is the configuration in force.
type Config struct {
	// View is the configuration, or nil before the first one is known.
	View *fleet.View
	// Head holds the version and the digests of the configuration's parts.
	Head fleet.Head
}

// StoreContact holds the time of this process's last read of the store.
type StoreContact struct {
	// StoreReadAt is when this process last sent a successful read of the
	// configuration's head, or zero before the first one.
	StoreReadAt time.Time
}

// Freshness holds how long the configuration in force may be used.
type Freshness struct {
	// ValidUntil is the time from which requests are rejected unless newer evidence
	// shows that the configuration is current. It is zero before the first check.
	ValidUntil time.Time
}
