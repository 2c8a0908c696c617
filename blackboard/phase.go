package blackboard

// Phase is a phase in the life cycle of a process.
type Phase uint8

const (
	// Starting means that the process does not accept requests yet.
	Starting Phase = iota
	// Serving means that the process accepts requests.
	Serving
	// Leaving means that the process is about to shut down: it still accepts
	// requests but tells its callers to use another daemon.
	Leaving
	// Draining means that the process rejects new requests and finishes the
	// running ones.
	Draining
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "draining"}[p]
}
