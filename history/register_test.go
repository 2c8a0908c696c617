package history_test

import (
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/history"
)

// write returns a change that was applied and made the version.
func write(op string, version uint64, call, end int) history.RegisterOp {
	return history.RegisterOp{Operation: op, Version: version, Call: at(call), Return: at(end)}
}

// read returns a read of the version that the change op made.
func read(op string, version uint64, call, end int) history.RegisterOp {
	return history.RegisterOp{Read: true, Operation: op, Version: version, Call: at(call), Return: at(end)}
}

// undecided returns a change whose caller received no answer.
func undecided(op string, call int) history.RegisterOp {
	return history.RegisterOp{Operation: op, Effect: history.Undecided, Call: at(call)}
}

// conflict returns a change that was rejected because of another change.
func conflict(op string, base uint64, call, end int) history.RegisterOp {
	return history.RegisterOp{Operation: op, Base: base, Effect: history.Conflicted, Call: at(call), Return: at(end)}
}

// TestCheckRegister guards against a check that misses lost, stale or repeated
// operations, or rejects what concurrent changes and lost answers may cause.
func TestCheckRegister(t *testing.T) {
	tests := []struct {
		name     string
		accepted bool
		ops      []history.RegisterOp
	}{
		{"writes in order", true, []history.RegisterOp{write("a", 1, 0, 1), read("a", 1, 2, 3), write("b", 2, 4, 5)}},
		{"concurrent writes", true, []history.RegisterOp{write("a", 2, 0, 9), write("b", 1, 0, 9)}},
		{"two writes of one version", false, []history.RegisterOp{write("a", 1, 0, 9), write("b", 1, 0, 9)}},
		{"lost update", false, []history.RegisterOp{write("a", 1, 0, 1), write("b", 2, 2, 3), read("a", 2, 4, 5)}},
		{"stale read", false, []history.RegisterOp{write("a", 1, 0, 1), write("b", 2, 2, 3), read("a", 1, 4, 5)}},
		{"lost answer that took effect", true, []history.RegisterOp{undecided("a", 0), read("a", 1, 2, 3)}},
		{"lost answer without effect", true, []history.RegisterOp{undecided("a", 0), write("b", 1, 2, 3)}},
		{"lost answer applied late", true, []history.RegisterOp{undecided("a", 0), write("b", 1, 2, 3), read("a", 2, 4, 5)}},
		{"repeated operation", true, []history.RegisterOp{undecided("a", 0), write("a", 1, 2, 3), write("b", 2, 4, 5), write("a", 1, 6, 7)}},
		{"operation applied twice", false, []history.RegisterOp{write("a", 1, 0, 1), write("a", 2, 2, 3)}},
		{"conflict after another write", true, []history.RegisterOp{write("a", 1, 0, 1), conflict("b", 5, 2, 3)}},
		{"conflict without another write", false, []history.RegisterOp{write("a", 1, 0, 1), conflict("b", 1, 2, 3), read("a", 1, 4, 5)}},
		{"conflict that took effect", false, []history.RegisterOp{conflict("a", 0, 0, 1), read("a", 1, 2, 3)}},
		{"write against an old base", false, []history.RegisterOp{
			write("a", 1, 0, 1), write("b", 2, 2, 3),
			{Operation: "c", Base: 1, Version: 3, Call: at(4), Return: at(5)},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkVerdict(t, tt.accepted, history.CheckRegister(tt.ops, 0)) })
	}
}

// TestCheckLease guards against a check that misses a commit after a lost claim or two
// holders of one epoch, or rejects what lost answers may cause.
func TestCheckLease(t *testing.T) {
	claim := func(epoch, call, end int) history.LeaseOp {
		return history.LeaseOp{Claim: true, Epoch: epoch, Call: at(call), Return: at(end)}
	}
	commit := func(epoch int, effect history.Effect, call, end int) history.LeaseOp {
		return history.LeaseOp{Epoch: epoch, Effect: effect, Call: at(call), Return: at(end)}
	}
	tests := []struct {
		name     string
		accepted bool
		ops      []history.LeaseOp
	}{
		{"claim and commit", true, []history.LeaseOp{claim(1, 0, 1), commit(1, history.Applied, 2, 3)}},
		{"late commit is rejected", true, []history.LeaseOp{claim(1, 0, 1), claim(2, 2, 3), commit(1, history.Conflicted, 4, 5), commit(2, history.Applied, 6, 7)}},
		{"late commit is applied", false, []history.LeaseOp{claim(1, 0, 1), claim(2, 2, 3), commit(1, history.Applied, 4, 5)}},
		{"two holders of one epoch", false, []history.LeaseOp{claim(1, 0, 1), claim(1, 2, 3)}},
		{"claim after the end", false, []history.LeaseOp{claim(1, 0, 1), commit(1, history.Applied, 2, 3), claim(2, 4, 5)}},
		{"holder rejected without cause", false, []history.LeaseOp{claim(1, 0, 1), commit(1, history.Conflicted, 2, 3)}},
		{"lost commit repeated", true, []history.LeaseOp{claim(1, 0, 1), commit(1, history.Undecided, 2, 3), commit(1, history.Applied, 4, 5)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkVerdict(t, tt.accepted, history.CheckLease(tt.ops)) })
	}
}

// TestCheckNeverReverts guards against a check that misses an older version, or compares
// the versions of different daemons.
func TestCheckNeverReverts(t *testing.T) {
	checkVerdict(t, true, history.CheckNeverReverts([]history.Observation{{Daemon: "a", Version: 2}, {Daemon: "b", Version: 1}, {Daemon: "a", Version: 3}}))
	checkVerdict(t, false, history.CheckNeverReverts([]history.Observation{{Daemon: "a", Version: 2}, {Daemon: "a", Version: 1}}))
}

// TestCheckInForce guards against a check that ignores the bound.
func TestCheckInForce(t *testing.T) {
	seen := []history.Observation{{Daemon: "a", At: at(500), Version: 1}, {Daemon: "a", At: at(1500), Version: 2}}
	checkVerdict(t, true, history.CheckInForce(seen, 2, at(0), time.Second))
	checkVerdict(t, false, history.CheckInForce(seen, 2, at(0), 100*time.Millisecond))
}
