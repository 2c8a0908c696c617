package blackboard

// Phase is a phase in the life cycle of a process.
type Phase uint8

const (
	// PhaseStarting means that the process does not accept requests yet.
	PhaseStarting Phase = iota
	// PhaseServing means that the process accepts requests.
	PhaseServing
	// PhaseLeaving means that the process is about to shut down: it still accepts
	// requests but tells its callers to use another daemon.
	PhaseLeaving
	// PhaseDraining means that the process rejects new requests and finishes the
	// running ones.
	PhaseDraining
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "draining"}[p]
}
