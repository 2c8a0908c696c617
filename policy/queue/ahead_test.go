package queue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestFairAheadIsThePositionOfANewEntry guards against predicted waits of one flow that rest on
// the length of all, and against service by Serve that is not counted.
func TestFairAheadIsThePositionOfANewEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFair[bool]()
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 60).Draw(t, "flows") {
			q.Push(fmt.Sprint(i), 1<<i, false)
			if rapid.Bool().Draw(t, "serves") {
				q.Serve(q.Peek())
			}
		}
		i := rapid.IntRange(0, 3).Draw(t, "new")
		ahead, position := q.Ahead(fmt.Sprint(i), 1<<i), 0
		q.Push(fmt.Sprint(i), 1<<i, true)
		for isNew, _ := q.Pop(); !isNew; isNew, _ = q.Pop() {
			position++
		}
		if position < ahead-3 || position > ahead+3 { // one for each other flow with the same tag
			t.Fatalf("served after %d others, predicted %d", position, ahead)
		}
	})
}
