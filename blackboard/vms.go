package blackboard

import "time"

// VMs is what the last read of the platform's VM list shows. It is immutable.
type VMs struct {
	// Leaving is the set of VMs, by name, that will stop soon.
	Leaving map[string]bool
	// FirstReadAt is when this state of the list was first read, or zero.
	FirstReadAt time.Time
}
