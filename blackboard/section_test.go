package blackboard

import (
	"context"
	"sync"
	"testing"
	"time"
)

// TestSectionPublishWakesEveryWaiter checks that all goroutines that wait for a
// change see the published value.
func TestSectionPublishWakesEveryWaiter(t *testing.T) {
	var s Section[int]
	first := s.Load()
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			<-first.Changed()
			if got := s.Value(); got < 1 {
				t.Errorf("value after wake = %d, want at least 1", got)
			}
		}()
	}
	s.Publish(1)
	wg.Wait()
}

// TestSectionConcurrentUpdatesAreNotLost checks that a reader, while several
// goroutines update the section, sees values that only grow and is woken up until
// it sees the last one.
func TestSectionConcurrentUpdatesAreNotLost(t *testing.T) {
	const writers, updates = 8, 500
	var s Section[int]
	var wg sync.WaitGroup
	for range writers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range updates {
				s.Update(func(v int) int { return v + 1 })
			}
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	last := 0
	for last < writers*updates {
		snap := s.Load()
		if snap.Value < last {
			t.Fatalf("value went back from %d to %d", last, snap.Value)
		}
		last = snap.Value
		if last == writers*updates {
			break
		}
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			t.Fatalf("no change after value %d", last)
		}
	}
	wg.Wait()
	if v := s.Load().Version; v != writers*updates {
		t.Fatalf("version = %d, want %d", v, writers*updates)
	}
}

func BenchmarkSectionLoad(b *testing.B) {
	var s Section[int]
	s.Publish(1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.Load()
		}
	})
}
