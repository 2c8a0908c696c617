package blackboard

import "time"

// Members is what a gateway knows of the other gateways.
type Members struct {
	// Self is the gateway's own name.
	Self string
	// Incarnation identifies the gateway's process.
	Incarnation string
	// Others lists the other gateways of the inventory.
	Others []Member
}

// Member is another gateway.
type Member struct {
	// Name is the gateway's name in the inventory.
	Name string
	// Address is the gateway's peer address.
	Address string
	// Listed is when the inventory was first seen to list the gateway.
	Listed time.Time
	// Connected tells whether the gateway is reached.
	Connected bool
	// Refused tells that the gateway's host refuses connections: no process of
	// the gateway runs.
	Refused bool
	// Incarnation identifies the gateway's process, or is empty before it was
	// heard of.
	Incarnation string
	// ConfigVersion is the version that the gateway has in force.
	ConfigVersion uint64
	// StoreRead is when the gateway, or one it heard of, last read the head of
	// the configuration, by the clock of this process, or zero.
	StoreRead time.Time
	// Heard is when the gateway was last heard of, or zero.
	Heard time.Time
	// Draining tells that the gateway stops.
	Draining bool
}
