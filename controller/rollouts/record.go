package rollouts

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/store"
)

// Table is the table with one row for each service that had a roll-out, named after the
// service. The rows have an empty part, as those of the states for operators, so that both
// are written in one transaction.
const Table = "rollouts"

// States of a roll-out in its row. The last three are also told to the operators; they see
// both stages as stateActive.
const (
	stateCanary    = "canary"
	stateSwitch    = "switch"
	stateActive    = "active"
	stateCompleted = "completed"
	stateReverted  = "reverted"
)

// record is the content of a row. Times are of the store's clock.
type record struct {
	// Order is the version of the order's row, and Seen that of the last row with the same
	// order: operators may write it again.
	Order      int64  `json:"order"`
	Seen       int64  `json:"seen"`
	To         string `json:"to"`
	InUse      string `json:"in_use"`
	DurationMs int64  `json:"duration_ms"`
	// StartedMs is a time at which the order was not written yet, or when it was first seen.
	StartedMs int64  `json:"started_ms"`
	State     string `json:"state"`
	// Owner is the incarnation of the daemon that decides. Another one may take over when the
	// row did not change for leaseTime.
	Owner string `json:"owner"`
	// InStageMs is for how long at least the stage was written when the owner last renewed its
	// lease.
	InStageMs int64 `json:"in_stage_ms"`
	// Daemons is the number of daemons among which the slack of the canary stage is divided.
	Daemons int `json:"daemons"`
	// Canaries is the number of new engines that get requests in the canary stage.
	Canaries int    `json:"canaries"`
	Verdict  string `json:"verdict,omitempty"`
	// Old and New are the figures of both versions when the row was written.
	Old blackboard.AnswerFigures `json:"old"`
	New blackboard.AnswerFigures `json:"new"`
}

// versionedRecord is a record with the version of its row.
type versionedRecord struct {
	record
	version int64
}

var errUnknownState = errors.New("state of a roll-out is unknown")

func decodeRecord(row store.Row) (versionedRecord, error) {
	v := versionedRecord{version: row.Version}
	if err := json.Unmarshal(row.Value, &v.record); err != nil {
		return v, err
	}
	switch v.State {
	case stateCanary, stateSwitch, stateCompleted, stateReverted:
		return v, nil
	}
	return v, errUnknownState
}

// isFinal reports whether the roll-out has ended.
func (r *record) isFinal() bool { return r.State == stateCompleted || r.State == stateReverted }

// stage returns the stage of a roll-out that has not ended.
func (r *record) stage() blackboard.RolloutStage {
	if r.State == stateSwitch {
		return blackboard.RolloutSwitch
	}
	return blackboard.RolloutCanary
}

// deadline returns the time of the store's clock at which the order must have ended.
func (r *record) deadline() time.Duration {
	return time.Duration(r.StartedMs+r.DurationMs) * time.Millisecond
}

// isOf reports whether the roll-out carries out the order, which may have been written again.
func (r *record) isOf(order *blackboard.RolloutOrder) bool {
	if order == nil {
		return false
	}
	return order.Version <= r.Seen || !r.isFinal() && order.To == r.To && order.Duration.Milliseconds() == r.DurationMs
}

// key returns the key of the row of the service.
func key(service string) store.Key { return store.Key{Table: Table, Name: service} }

// row returns the row with the record.
func (r *record) row(service string) (store.Row, error) {
	value, err := json.Marshal(r)
	return store.Row{Key: key(service), Value: value}, err
}
