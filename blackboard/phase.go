package blackboard

// Phase is a step in the life of a process.
type Phase uint8

const (
	// Starting means that the process takes no requests yet.
	Starting Phase = iota
	// Serving means that the process takes requests.
	Serving
	// Leaving means that the process still takes requests but asks its callers
	// to go elsewhere.
	Leaving
	// Draining means that the process only finishes what it runs.
	Draining
)

// String returns the name of p.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "draining"}[p]
}
