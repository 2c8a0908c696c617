package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// LeaseOp is one operation on a lease, such as the claim of a batch chunk. Each
// claim that takes effect raises the epoch of the lease by 1.
type LeaseOp struct {
	// Client is the number of the caller.
	Client int
	// Claim reports whether the operation claims the lease. Otherwise it commits the
	// holder's work, after which the lease can't be claimed again.
	Claim bool
	// Epoch is the epoch that a claim returned, or that a commit was sent with.
	Epoch int
	// Effect is Applied for the zero value.
	Effect Effect
	// Call and Return are the times before the operation was sent and after it ended.
	// Return is not used if Effect is Undecided.
	Call, Return time.Time
}

// leaseState is the state of a lease. It is comparable, as porcupine requires.
type leaseState struct {
	epoch     int
	committed bool
}

// stepLease returns the possible states after op in state s, or none if op can't have
// ended in this way.
func stepLease(s leaseState, op LeaseOp) []any {
	if op.Claim {
		return stepClaim(s, op)
	}
	held := op.Epoch == s.epoch
	next := leaseState{epoch: s.epoch, committed: true}
	switch {
	case op.Effect == Applied && held:
		return []any{next}
	case op.Effect == Applied:
		return nil
	case op.Effect == Conflicted && held && !s.committed:
		return nil
	case op.Effect == Undecided && held:
		return []any{s, next}
	default:
		return []any{s}
	}
}

// stepClaim is stepLease for a claim.
func stepClaim(s leaseState, op LeaseOp) []any {
	next := leaseState{epoch: s.epoch + 1}
	switch {
	case op.Effect == Conflicted:
		return []any{s}
	case op.Effect == Undecided && s.committed:
		return []any{s}
	case op.Effect == Undecided:
		return []any{s, next}
	case s.committed || op.Epoch != next.epoch:
		return nil
	default:
		return []any{next}
	}
}

// CheckLease returns an error unless the operations on one lease are linearizable. They
// are not if, for example, two claims returned the same epoch, a commit was applied
// after a later claim, a claim was applied after a commit, or the commit of the
// holder conflicted although no work was committed. It also returns an error if the
// check takes longer than 20 seconds.
func CheckLease(ops []LeaseOp) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{leaseState{}} },
		Step: func(state, input, _ any) []any { return stepLease(state.(leaseState), input.(LeaseOp)) },
	}
	history := make([]porcupine.Operation, 0, len(ops))
	for _, op := range ops {
		history = append(history, porcupine.Operation{
			ClientId: op.Client, Input: op, Call: op.Call.UnixNano(), Return: returnUnixNano(op.Return, op.Effect),
		})
	}
	return checkLinearizable(model.ToModel(), history)
}
