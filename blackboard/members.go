package blackboard

import "time"

// Members is what a gateway knows of the other gateways. It is immutable.
type Members struct {
	// Self is the gateway's own name.
	Self string
	// Incarnation identifies this start of the gateway.
	Incarnation string
	// Others lists the other gateways of the inventory.
	Others []Member
}

// Member is another gateway, known from the inventory and its gossip messages.
type Member struct {
	// Name is the gateway's name in the inventory.
	Name string
	// Address is the IP address and port on which the gateway accepts connections
	// of the system's own processes.
	Address string
	// ListedAt is when the inventory was first seen to list the gateway with this
	// address.
	ListedAt time.Time
	// Connected reports whether there is a connection to the gateway.
	Connected bool
	// ConnectionRefused reports whether the gateway's host refuses connections, which
	// means that the gateway has stopped.
	ConnectionRefused bool
	// Incarnation identifies the start of the gateway that sent the last gossip
	// message. It is empty before the first message.
	Incarnation string
	// ConfigVersion is the highest version that the gateway reported to be in
	// force on it.
	ConfigVersion uint64
	// StoreReadAt is when the gateway, or one whose gossip it received, last read
	// the head of the configuration. It is a time of this process's clock, or zero.
	StoreReadAt time.Time
	// LastHeardAt is when the last gossip message of the gateway arrived, or zero.
	LastHeardAt time.Time
	// Draining reports whether the gateway is draining.
	Draining bool
}
