package ramp

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobablanding/baobablanding/fleet"
	_ "github.com/baobablanding/baobablanding/history/seed"
)

func TestLimit(t *testing.T) {
	spec := &fleet.Upstream{Slots: 8, ColdSlots: 2}
	for _, c := range []struct {
		state     fleet.UpstreamState
		completed int
		want      int
	}{
		{fleet.StateCold, 0, 2},
		{fleet.StateCold, 100, 2},
		{fleet.StateReady, 0, 2},
		{fleet.StateReady, 3, 5},
		{fleet.StateReady, 100, 8},
		{fleet.StateDown, 100, 0},
		{fleet.StateLeaving, 100, 0},
		{fleet.StateUnknown, 0, 0},
	} {
		if got := Limit(spec, c.state, c.completed); got != c.want {
			t.Errorf("Limit(%s, %d) = %d, want %d", c.state, c.completed, got, c.want)
		}
	}
}

func TestMeterCountsOnlyItsEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Meter
		running := []Epoch{}
		want := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				running = append(running, m.Epoch())
			case 2:
				if len(running) == 0 {
					continue
				}
				if running[0] == m.Epoch() {
					want++
				}
				m.CountCompleted(running[0])
				running = running[1:]
			case 3:
				m.BeginEpoch(m.Epoch())
				want = 0
			}
			if m.Completed() != want {
				t.Fatalf("Completed = %d, want %d", m.Completed(), want)
			}
		}
	})
}

func TestMeterResetsAnEpochOnce(t *testing.T) {
	var m Meter
	e := m.Epoch()
	if !m.BeginEpoch(e) || m.BeginEpoch(e) {
		t.Fatal("an epoch was reset twice or not at all")
	}
}

func TestMeterDetectsSlowFirstTokens(t *testing.T) {
	var m Meter
	for range 2 * minSamples {
		if m.ObserveFirstToken(20 * time.Millisecond) {
			t.Fatal("a usual first token looked cold")
		}
	}
	for i := range minSlowInARow - 1 {
		if m.ObserveFirstToken(time.Second) {
			t.Fatalf("%d slow first tokens looked cold", i+1)
		}
	}
	if !m.ObserveFirstToken(time.Second) {
		t.Fatal("three slow first tokens in a row did not look cold")
	}
	m.ObserveFirstToken(20 * time.Millisecond)
	if m.ObserveFirstToken(time.Second) {
		t.Fatal("a usual first token did not end the streak")
	}
}
