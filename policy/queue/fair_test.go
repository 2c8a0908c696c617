package queue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/baobablanding/baobablanding/history/seed"
)

func TestFairServesByWeightWhileAllFlowsWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(t, "weights")
		q := NewFair[int]()
		for i, w := range weights {
			for range 200 {
				q.Push(fmt.Sprint(i), w, i)
			}
		}
		served := make([]float64, len(weights))
		for range 100 {
			i, _ := q.Pop()
			served[i]++
		}
		for i := range weights {
			for j := range weights {
				a, b := served[i]/float64(weights[i]), served[j]/float64(weights[j])
				if a-b > 1+1/float64(weights[j])+1e-9 {
					t.Fatalf("served %v with weights %v", served, weights)
				}
			}
		}
	})
}

func TestFairFlowBelowItsShareIsServedNext(t *testing.T) {
	q := NewFair[string]()
	for range 50 {
		q.Push("busy", 1, "busy")
	}
	for range 10 {
		q.Pop()
	}
	q.Push("quiet", 1, "quiet")
	for i := range 2 {
		if v, _ := q.Pop(); v == "quiet" {
			return
		} else if i == 1 {
			t.Fatalf("served %q twice before the quiet flow", v)
		}
	}
}

func TestFairEvictTakesNewestOfLongestFlow(t *testing.T) {
	q := NewFair[string]()
	for i := range 3 {
		q.Push("long", 1, fmt.Sprintf("long-%d", i))
	}
	q.Push("short", 1, "short-0")
	for i := range 4 {
		q.Push("heavy", 4, fmt.Sprintf("heavy-%d", i))
	}
	if v, _ := q.Evict(); v != "long-2" {
		t.Fatalf("evicted %q, want long-2", v)
	}
}

func TestFairKeepsOrderWithinFlowAndLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFair[int]()
		var live []*Entry[int]
		last := map[string]int{}
		flowOf := map[int]string{}
		next, inQueue := 1, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "flow")
				live = append(live, q.Push(name, rapid.IntRange(1, 3).Draw(t, "weight"), next))
				flowOf[next] = name
				next++
				inQueue++
			case 2:
				v, ok := q.Pop()
				if ok != (inQueue > 0) {
					t.Fatalf("Pop = %t with %d entries", ok, inQueue)
				}
				if !ok {
					continue
				}
				inQueue--
				if v < last[flowOf[v]] {
					t.Fatalf("flow %s served %d after %d", flowOf[v], v, last[flowOf[v]])
				}
				last[flowOf[v]] = v
			case 3:
				if len(live) > 0 && q.Remove(rapid.SampledFrom(live).Draw(t, "entry")) {
					inQueue--
				}
			}
			if q.Len() != inQueue {
				t.Fatalf("Len = %d, want %d", q.Len(), inQueue)
			}
		}
	})
}
