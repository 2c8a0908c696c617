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
		q := NewFair[int]()
		flow := rapid.IntRange(0, 3)
		weightOf := func(i int) int { return 1 << i }
		for range rapid.IntRange(0, 60).Draw(t, "entries") {
			i := flow.Draw(t, "flow")
			q.Push(fmt.Sprint(i), weightOf(i), 0)
			if rapid.Bool().Draw(t, "serves") {
				q.Serve(q.Peek())
			}
		}
		i := flow.Draw(t, "new")
		ahead := q.Ahead(fmt.Sprint(i), weightOf(i))
		q.Push(fmt.Sprint(i), weightOf(i), 1)
		for position := 0; ; position++ {
			if v, ok := q.Pop(); !ok {
				t.Fatal("the new entry was lost")
			} else if v == 1 {
				if position < ahead-3 || position > ahead+3 { // one for each other flow with the same tag
					t.Fatalf("served after %d others, predicted %d", position, ahead)
				}
				return
			}
		}
	})
}
