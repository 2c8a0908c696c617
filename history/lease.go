package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// LeaseOp is an operation on a lease whose holders are numbered by epochs, such
// as the claim of a batch chunk.
type LeaseOp struct {
	// Client numbers the caller.
	Client int
	// Claim tells that the operation claims the lease; otherwise it commits
	// the holder's work, which ends the lease for good.
	Claim bool
	// Epoch is the epoch that a claim returned or a commit presented.
	Epoch int
	// Effect is the outcome.
	Effect Effect
	// Call and Return bound the operation.
	Call, Return time.Time
}

// leaseState is the state of a lease.
type leaseState struct {
	epoch int
	done  bool
}

// stepLease returns the states that op may lead to.
func stepLease(s leaseState, op LeaseOp) []any {
	if op.Claim {
		return stepClaim(s, op)
	}
	held := op.Epoch == s.epoch
	committed := leaseState{epoch: s.epoch, done: true}
	switch {
	case op.Effect == Applied && held:
		return []any{committed}
	case op.Effect == Applied:
		return nil
	case op.Effect == Conflicted && held && !s.done:
		return nil
	case op.Effect == Undecided && held:
		return []any{s, committed}
	default:
		return []any{s}
	}
}

func stepClaim(s leaseState, op LeaseOp) []any {
	next := leaseState{epoch: s.epoch + 1}
	switch {
	case op.Effect == Conflicted:
		return []any{s}
	case op.Effect == Undecided && s.done:
		return []any{s}
	case op.Effect == Undecided:
		return []any{s, next}
	case s.done || op.Epoch != next.epoch:
		return nil
	default:
		return []any{next}
	}
}

// CheckLease refuses a history in which two claims share an epoch, or a commit
// succeeded although its claim had been lost.
func CheckLease(ops []LeaseOp) error {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{leaseState{}} },
		Step: func(state, input, _ any) []any { return stepLease(state.(leaseState), input.(LeaseOp)) },
	}
	history := make([]porcupine.Operation, 0, len(ops))
	for _, op := range ops {
		history = append(history, porcupine.Operation{
			ClientId: op.Client, Input: op, Call: op.Call.UnixNano(), Return: returnTime(op.Return, op.Effect),
		})
	}
	return checkLinearizable(model.ToModel(), history)
}
