package fleet

// Class separates interactive requests from bulk work.
type Class uint8

const (
	// Online is an interactive request.
	Online Class = iota
	// Batch is an item of a batch job.
	Batch
)

// String returns the name of c.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// UpstreamState is the state of an upstream as its agent reports it.
type UpstreamState uint8

const (
	// Unknown means that no agent has reported the upstream.
	Unknown UpstreamState = iota
	// Cold means that the upstream is in cold start and bears little.
	Cold
	// Ready means that the upstream takes its full load.
	Ready
	// Leaving means that the upstream gets no new work.
	Leaving
	// Down means that the upstream does not answer.
	Down
)

var stateNames = [...]string{"unknown", "cold", "ready", "leaving", "down"}

// String returns the name of s.
func (s UpstreamState) String() string { return stateNames[s] }
