package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTrialsOfADeadlySegmentInTwoMinutes guards against more than three requests with a
// segment that crashes engines on a day of two minutes, by trials of items and of online
// requests together, whichever of them wait.
func TestTrialsOfADeadlySegmentInTwoMinutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row ItemTrials
		lastCrash, extensions, sent := dayStart, 0, 0
		changes := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 24).Draw(t, "what waits")
		for at := dayStart; at < dayStart.Add(2*time.Minute); at = at.Add(100 * time.Millisecond) {
			waits := changes[int(at.Sub(dayStart)/(5*time.Second))%len(changes)]
			storeNow := time.Duration(at)
			online := waits&1 != 0 && at >= lastCrash.Add(quarantineTimeAfter(extensions))
			item := waits&2 != 0 && at >= ItemTrialDue(lastCrash, row.Trials) && row.Wait(storeNow) <= 0
			switch {
			case online:
				extensions++
			case item:
				row = row.Take("a", storeNow)
			default:
				continue
			}
			sent, lastCrash = sent+1, at
		}
		if sent > maxLate {
			t.Fatalf("%d requests were sent, want at most %d", sent, maxLate)
		}
	})
}

// TestItemTrialsGrowRarer guards against times between trials that do not grow, overflow or
// follow a store's clock that was set back.
func TestItemTrialsGrowRarer(t *testing.T) {
	row, now := ItemTrials{}, time.Hour
	for _, want := range []time.Duration{0, 20 * time.Second, 40 * time.Second, 80 * time.Second, 160 * time.Second, 320 * time.Second, maxQuarantineTime, maxQuarantineTime} {
		if got := row.Wait(now); got != want {
			t.Errorf("after %d trials: wait %v, want %v", row.Trials, got, want)
		}
		row = row.Take("a", now)
	}
	if got := row.Wait(now - 20*time.Minute); got > maxQuarantineTime {
		t.Errorf("wait %v on a clock that was set back", got)
	}
	row.Trials = 1 << 60
	if got := row.Wait(now); got != maxQuarantineTime {
		t.Errorf("wait %v after very many trials", got)
	}
	if got := row.Wait(now + 2*forgetTime); got != 0 {
		t.Errorf("wait %v by an old row", got)
	}
}
