package blackboard

import "time"

// VMs is what the platform's VM list said last.
type VMs struct {
	// Leaving holds the names of the VMs that stop soon.
	Leaving map[string]bool
	// Read is when this state of the list was first read, or zero.
	Read time.Time
}
