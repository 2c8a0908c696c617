package admission

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/admission"
)

// newBoard returns a board with one engine of four slots, and runs a controller on it.
func newBoard(t *testing.T) *blackboard.EntryBoard {
	board := blackboard.NewEntryBoard()
	board.Engines.Publish(blackboard.NewEngines([]*blackboard.Engine{{
		Engine: &catalog.Engine{ID: "e", Service: "s", Slots: 4}, Load: new(blackboard.EngineLoad),
	}}))
	go New(board, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}).Run(t.Context())
	return board
}

func join(board *blackboard.EntryBoard, priority int, limit time.Duration) *blackboard.WaitingRequest {
	now := clock.Now()
	w := blackboard.NewWaitingRequest("s", admission.Arrival{Now: now, Until: now.Add(limit), Priority: priority, Workspace: "w", Weight: 1})
	board.Places.Joins <- w
	return w
}

// gets fails the test unless the request is told something soon.
func gets(t *testing.T, w *blackboard.WaitingRequest) blackboard.Turn {
	t.Helper()
	select {
	case turn := <-w.Turn:
		return turn
	case <-time.After(5 * time.Second):
		t.Fatal("the request did not get the turn")
		return blackboard.Turn{}
	}
}

// TestFreePlaceGoesToTheMostUrgent guards against a turn that is lost, given without a free
// place, given to the one that waits longest, or kept by one that avoids the free engine, and against requests that are held although
// no place can become free in their time.
func TestFreePlaceGoesToTheMostUrgent(t *testing.T) {
	board := newBoard(t)
	first := join(board, 1, time.Minute)
	gets(t, first)
	board.Places.ReturnTurn(first, false)
	urgent := join(board, 0, time.Minute)
	select {
	case <-urgent.Turn:
		t.Fatal("the request got the turn without a free place")
	case <-time.After(20 * time.Millisecond):
	}
	board.Places.PlaceFreed()
	gets(t, urgent)
	board.Places.ReturnTurn(urgent, true)
	gets(t, first) // there may be more places
	board.Places.Leave(first)
	selective := join(board, 0, time.Minute)
	gets(t, selective)
	behind := join(board, 0, time.Minute)
	selective.Selective = true
	board.Places.ReturnTurn(selective, false)
	gets(t, behind) // a place may be where the one before avoids the engine
	board.Places.ReturnTurn(behind, true)
	board.Places.Leave(selective)
	gets(t, join(board, 2, time.Minute))
	if turn := gets(t, join(board, 0, time.Millisecond)); turn.Refused != admission.TooLate {
		t.Errorf("told %+v, want a refusal as too late", turn)
	}
}
