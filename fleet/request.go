package fleet

// Class is the class of a request: online or batch. Daemons send each other the
// number, so the order of the constants must not change.
type Class uint8

const (
	// Online is a request whose caller waits for the answer.
	Online Class = iota
	// Batch is an item of a batch job.
	Batch
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// UpstreamState is the state of an upstream as its agent reports it. Daemons send
// each other the number, so the order of the constants must not change.
type UpstreamState uint8

const (
	// Unknown means that no agent has reported the state.
	Unknown UpstreamState = iota
	// Cold means that the upstream is in cold start and gets few requests at once.
	Cold
	// Ready means that the upstream can take its full load.
	Ready
	// Leaving means that the upstream is about to stop and gets no new work.
	Leaving
	// Down means that the upstream does not answer the agent's probes.
	Down
)

var upstreamStateNames = [...]string{"unknown", "cold", "ready", "leaving", "down"}

// String returns the name of the state. It panics for an undefined state.
func (s UpstreamState) String() string { return upstreamStateNames[s] }
