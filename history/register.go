package history

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Effect states whether an operation on a register or lease took effect.
type Effect uint8

const (
	// Applied means that the operation took effect.
	Applied Effect = iota
	// Conflicted means that the operation changed nothing, because another one took
	// effect before it.
	Conflicted
	// Undecided means that no answer arrived. The operation may have taken effect, may
	// take effect at any later time, or never.
	Undecided
)

// RegisterOp is one operation on a versioned register, such as the head of the
// configuration. Each change that takes effect raises the version by 1.
type RegisterOp struct {
	// Client is the number of the caller.
	Client int
	// Read reports whether the operation is a read. Otherwise it is a change.
	Read bool
	// Operation is the ID of a change. Changes with the same ID take effect once. For a
	// read it is the ID of the change that made the version.
	Operation string
	// Base is the version that a change requires the register to have, or 0 for any.
	Base uint64
	// Version is the version that a read returned or a change made.
	Version uint64
	// Effect is the outcome of a change; Applied is the zero value. A read ignores it.
	Effect Effect
	// Call and Return are the times before the operation was sent and after it ended.
	// Return is not used if Effect is Undecided.
	Call, Return time.Time
}

// registerState is the version of a register and the IDs of the changes that took
// effect, in order, as one string: porcupine requires a comparable state.
type registerState struct {
	version    uint64
	operations string
}

// opSeparator ends each ID in registerState.operations.
const opSeparator = "\n"

// versionOf returns the version that the change with the ID operation made, or 0 if it
// has not taken effect. The register had the version start at first.
func (s registerState) versionOf(start uint64, operation string) uint64 {
	for i, op := range strings.Split(s.operations, opSeparator) {
		if op == operation && op != "" {
			return start + uint64(i) + 1
		}
	}
	return 0
}

// lastOperation returns the ID of the last change that took effect, or "".
func (s registerState) lastOperation() string {
	list := strings.Split(strings.TrimSuffix(s.operations, opSeparator), opSeparator)
	return list[len(list)-1]
}

// withOperation returns the state after the change with the ID operation took effect.
func (s registerState) withOperation(operation string) registerState {
	return registerState{version: s.version + 1, operations: s.operations + operation + opSeparator}
}

// stepRegister reports whether op can end as recorded in state s, and returns the
// state after it. The register had the version start at first. An undecided change
// is taken as applied if the state allows that; CheckRegister adds the case that it
// was not applied.
func stepRegister(start uint64, s registerState, op RegisterOp) (bool, registerState) {
	if op.Read {
		return op.Version == s.version && (s.operations == "" || op.Operation == s.lastOperation()), s
	}
	made := s.versionOf(start, op.Operation)
	switch {
	case op.Effect == Conflicted:
		return made == 0 && (op.Base == 0 || op.Base != s.version), s
	case made != 0:
		return op.Effect == Undecided || op.Version == made, s
	case op.Base != 0 && op.Base != s.version:
		return op.Effect == Undecided, s
	case op.Effect == Undecided:
		return true, s.withOperation(op.Operation)
	default:
		return op.Version == s.version+1, s.withOperation(op.Operation)
	}
}

// undecidedReturnUnixNano is the return time of undecided operations. It is later than
// that of all others, so that they may take effect at any time after their call.
const undecidedReturnUnixNano = int64(1) << 62

// linearizabilityCheckTimeout is the longest time of one linearizability check, whose
// cost can grow exponentially with the number of concurrent operations.
const linearizabilityCheckTimeout = 20 * time.Second

var (
	errNotLinearizable = errors.New("the history is not linearizable")
	errCheckTimeout    = errors.New("the linearizability check timed out")
)

// CheckRegister returns an error unless the operations on one register are
// linearizable. The register had the version start at first. An undecided change may
// have taken effect at any time after its call, or never. CheckRegister also returns
// an error if the check takes longer than 20 seconds.
func CheckRegister(ops []RegisterOp, start uint64) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{registerState{version: start}} },
		Step: func(state, input, _ any) []any {
			s, op := state.(registerState), input.(RegisterOp)
			ok, next := stepRegister(start, s, op)
			if !ok {
				return nil
			}
			if op.Effect == Undecided && next != s {
				return []any{s, next}
			}
			return []any{next}
		},
	}
	history := make([]porcupine.Operation, 0, len(ops))
	for _, op := range ops {
		history = append(history, porcupine.Operation{
			ClientId: op.Client, Input: op, Call: op.Call.UnixNano(), Return: returnUnixNano(op.Return, op.Effect),
		})
	}
	return checkLinearizable(model.ToModel(), history)
}

// returnUnixNano returns the time in nanoseconds since 1970 by which an operation with
// effect e has taken effect.
func returnUnixNano(at time.Time, e Effect) int64 {
	if e == Undecided {
		return undecidedReturnUnixNano
	}
	return at.UnixNano()
}

// checkLinearizable returns errNotLinearizable or errCheckTimeout, or nil.
func checkLinearizable(model porcupine.Model, history []porcupine.Operation) error {
	switch porcupine.CheckOperationsTimeout(model, history, linearizabilityCheckTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return fmt.Errorf("%w (%d operations)", errNotLinearizable, len(history))
	default:
		return errCheckTimeout
	}
}

// Observation is the configuration version that a daemon had in force at one time.
type Observation struct {
	// Daemon is the name of the daemon.
	Daemon string
	// At is the time of the observation.
	At time.Time
	// Version is the version that the daemon reported as in force.
	Version uint64
}

// CheckNeverReverts returns an error if a daemon had a lower version in force than
// before. The observations of each daemon must be in order of time.
func CheckNeverReverts(seen []Observation) error {
	highest := make(map[string]uint64)
	var errs []error
	for _, o := range seen {
		if o.Version < highest[o.Daemon] {
			errs = append(errs, fmt.Errorf("%s reverted from version %d to version %d", o.Daemon, highest[o.Daemon], o.Version))
		}
		highest[o.Daemon] = max(highest[o.Daemon], o.Version)
	}
	return errors.Join(errs...)
}

// CheckInForce returns an error if a daemon had a version below the given one in force
// more than bound after that version was accepted.
func CheckInForce(seen []Observation, version uint64, accepted time.Time, bound time.Duration) error {
	last := accepted.Add(bound)
	var errs []error
	for _, o := range seen {
		if o.At.After(last) && o.Version < version {
			errs = append(errs, fmt.Errorf("%s had version %d in force %v after version %d was accepted; the bound is %v",
				o.Daemon, o.Version, o.At.Sub(accepted), version, bound))
		}
	}
	return errors.Join(errs...)
}
