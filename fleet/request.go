package fleet

// Class is the class of a request: online or batch. Daemons send each other the
// number, so the order of the constants must not change.
type Class uint8

const (
	// ClassOnline is a request whose caller waits for the response.
	ClassOnline Class = iota
	// ClassBatch is an item of a batch job.
	ClassBatch
)

// String returns the name of the class.
func (c Class) String() string {
	if c == ClassBatch {
		return "batch"
	}
	return "online"
}

// UpstreamState is the state of an upstream as its agent reports it. Daemons send
// each other the number, so the order of the constants must not change.
type UpstreamState uint8

const (
	// StateUnknown means that no agent has reported the state.
	StateUnknown UpstreamState = iota
	// StateCold means that the upstream is in cold start and gets few requests at once.
	StateCold
	// StateReady means that the upstream can take its full load.
	StateReady
	// StateLeaving means that the upstream is about to stop and gets no new work.
	StateLeaving
	// StateDown means that the upstream does not respond to the agent's probes.
	StateDown
)

var upstreamStateNames = [...]string{"unknown", "cold", "ready", "leaving", "down"}

// String returns the name of the state. It panics for an undefined state.
func (s UpstreamState) String() string { return upstreamStateNames[s] }
