package history

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Effect tells whether an operation on a register took effect.
type Effect uint8

const (
	// Applied means that the operation took effect.
	Applied Effect = iota
	// Conflicted means that another operation was first; nothing was changed.
	Conflicted
	// Undecided means that the answer was lost; the operation may take effect
	// at any later moment.
	Undecided
)

// RegisterOp is an operation on a versioned register whose accepted changes are
// numbered in order, such as the head of the configuration.
type RegisterOp struct {
	// Client numbers the caller.
	Client int
	// Read tells that the operation only reads.
	Read bool
	// Operation identifies a change; a repeated one takes effect once. For a
	// read it is the operation that made the version.
	Operation string
	// Base is the version that a change was made against, or 0 for any.
	Base uint64
	// Version is the version that was read or made.
	Version uint64
	// Effect is the outcome of a change.
	Effect Effect
	// Call and Return bound the operation.
	Call, Return time.Time
}

// registerState is the sequence of accepted operations. It is comparable.
type registerState struct {
	version    uint64
	operations string
}

// opSeparator ends each operation in registerState.operations.
const opSeparator = "\n"

// find returns the version that the operation made, or 0.
func (s registerState) find(start uint64, operation string) uint64 {
	for i, op := range strings.Split(s.operations, opSeparator) {
		if op == operation && op != "" {
			return start + uint64(i) + 1
		}
	}
	return 0
}

func (s registerState) last() string {
	list := strings.Split(strings.TrimSuffix(s.operations, opSeparator), opSeparator)
	return list[len(list)-1]
}

func (s registerState) with(operation string) registerState {
	return registerState{version: s.version + 1, operations: s.operations + operation + opSeparator}
}

// stepRegister tells whether op is possible in state s, and returns the state
// after it. The register had the version start at first.
func stepRegister(start uint64, s registerState, op RegisterOp) (bool, registerState) {
	if op.Read {
		return op.Version == s.version && (s.operations == "" || op.Operation == s.last()), s
	}
	made := s.find(start, op.Operation)
	switch {
	case op.Effect == Conflicted:
		return made == 0 && (op.Base == 0 || op.Base != s.version), s
	case made != 0:
		return op.Effect == Undecided || op.Version == made, s
	case op.Base != 0 && op.Base != s.version:
		return op.Effect == Undecided, s
	case op.Effect == Undecided:
		return true, s.with(op.Operation)
	default:
		return op.Version == s.version+1, s.with(op.Operation)
	}
}

// undecidedReturn is the return time of operations that may take effect later.
const undecidedReturn = int64(1) << 62

// registerCheckTimeout bounds a linearizability check.
const registerCheckTimeout = 20 * time.Second

var (
	errNotLinearizable = errors.New("the history is not linearizable")
	errCheckTimeout    = errors.New("the linearizability check timed out")
)

// CheckRegister refuses a history of a register that is not linearizable. The
// register had the version start at first. An undecided change may have taken
// effect at any moment after its call, or never.
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
			ClientId: op.Client, Input: op, Call: op.Call.UnixNano(), Return: returnTime(op.Return, op.Effect),
		})
	}
	return checkLinearizable(model.ToModel(), history)
}

func returnTime(at time.Time, e Effect) int64 {
	if e == Undecided {
		return undecidedReturn
	}
	return at.UnixNano()
}

func checkLinearizable(model porcupine.Model, history []porcupine.Operation) error {
	switch porcupine.CheckOperationsTimeout(model, history, registerCheckTimeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return fmt.Errorf("%w: %d operations", errNotLinearizable, len(history))
	default:
		return errCheckTimeout
	}
}

// Observation is the version that a daemon had in force at a moment.
type Observation struct {
	// Daemon names the process.
	Daemon string
	// At is when the version was seen.
	At time.Time
	// Version is what was seen.
	Version uint64
}

// CheckNeverReverts refuses a history in which a daemon had a lower version in
// force than before. The observations of each daemon are in order of time.
func CheckNeverReverts(seen []Observation) error {
	highest := make(map[string]uint64)
	var errs []error
	for _, o := range seen {
		if o.Version < highest[o.Daemon] {
			errs = append(errs, fmt.Errorf("%s went back from version %d to %d", o.Daemon, highest[o.Daemon], o.Version))
		}
		highest[o.Daemon] = max(highest[o.Daemon], o.Version)
	}
	return errors.Join(errs...)
}

// CheckInForce refuses a history in which a daemon had a version below the
// accepted one in force later than bound after the acceptance.
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
