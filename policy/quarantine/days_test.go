package quarantine

import (
	"testing"
	"time"
)

const (
	// maxCrashesBefore is the stated bound of crashes before the decision holds everywhere, at
	// a share of 1 in 20 with 7 to 9 daemons and 14 engines.
	maxCrashesBefore = 5
	// maxLate is the stated bound of deadly requests later than 3 s after the fifth crash.
	maxLate = 3
	// maxMistake and maxRefusedShare are the stated bounds of sound requests refused.
	maxMistake, maxRefusedShare = 2 * time.Second, 0.01
	daySeeds                    = 8
)

// TestQuarantineOnSimulatedDays guards against segments that go on crashing engines, and
// against sound ones that stay blocked.
func TestQuarantineOnSimulatedDays(t *testing.T) {
	const short, long = 30 * time.Second, 150 * time.Second
	for _, d := range []day{
		{name: "1 in 1000", daemons: 9, share: 0.001, deadly: 1, length: long},
		{name: "1 in 20", daemons: 9, share: 0.05, deadly: 1, length: long},
		{name: "1 in 20, 7 daemons", daemons: 7, share: 0.05, deadly: 1, length: short},
		{name: "1 in 3", daemons: 9, share: 1.0 / 3, deadly: 1, length: short},
		{name: "two segments", daemons: 9, share: 0.05, deadly: 2, length: short},
		{name: "first segment", daemons: 9, share: 0.05, deadly: 1, first: true, length: short},
		{name: "harmless after 30 s", daemons: 9, share: 0.05, deadly: 1, length: long, harmlessAt: short},
		{name: "false evidence", daemons: 9, length: short, liar: true},
		{name: "zone loss", daemons: 9, length: short, zoneLossAt: 10 * time.Second},
		{name: "zone loss beside 1 in 20", daemons: 9, share: 0.05, deadly: 1, length: short, zoneLossAt: 10 * time.Second},
		{name: "a fifth of the engines", daemons: 36, engines: 45, rate: 220, length: short, fifthEach: 2500 * time.Millisecond, firstEvent: 3 * time.Second},
		{name: "a fifth of the engines beside 1 in 20", daemons: 36, engines: 45, rate: 220, share: 0.05, deadly: 1, length: short, fifthEach: 2500 * time.Millisecond, firstEvent: 3 * time.Second},
		{name: "rolling kill", daemons: 9, length: short, rollingKill: true},
		{name: "restarts", daemons: 9, share: 0.05, deadly: 1, length: short, restarts: true},
		{name: "38 daemons with sums", daemons: 38, engines: 48, rate: 220, share: 0.05, deadly: 1, length: short, farWay: 500 * time.Millisecond},
	} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			if d.engines == 0 {
				d.engines, d.rate = 14, 65
			}
			checkDay(t, d)
		})
	}
}

// checkDay plays the day with several seeds and checks the stated bounds.
func checkDay(t *testing.T, d day) {
	var worst simulation
	var refused, sound int
	for seed := range uint64(daySeeds) {
		s := newSimulation(d, seed)
		s.run()
		if s.late > maxLate {
			t.Errorf("seed %d: %d deadly requests reached engines later than 3 s after the fifth crash", seed, s.late)
		}
		if !d.restarts && d.share <= 0.05 && d.engines == 14 && s.crashesBefore > maxCrashesBefore*max(d.deadly, 1) {
			t.Errorf("seed %d: %d crashes before the decisions held everywhere", seed, s.crashesBefore)
		}
		if s.longest > maxMistake {
			t.Errorf("seed %d: requests with a sound segment were refused for %v", seed, s.longest)
		}
		if d.harmlessAt > 0 && s.now.Sub(s.lastRefused) < d.length/4 {
			t.Errorf("seed %d: a segment that was harmless since %v was refused at %v", seed, d.harmlessAt, s.lastRefused.Sub(dayStart))
		}
		refused, sound = refused+s.soundRefused, sound+s.soundRequests
		worst.crashes, worst.crashesBefore = max(worst.crashes, s.crashes), max(worst.crashesBefore, s.crashesBefore)
		worst.late, worst.longest = max(worst.late, s.late), max(worst.longest, s.longest)
	}
	if float64(refused) > maxRefusedShare*float64(sound) {
		t.Errorf("%d of %d sound requests were refused", refused, sound)
	}
	t.Logf("%s: worst of %d seeds: %d crashes, %d before the decisions held, %d late; %d of %d sound requests refused, longest mistake %v",
		d.name, daySeeds, worst.crashes, worst.crashesBefore, worst.late, refused, sound, worst.longest)
}

// endFifth ends every fifth engine, one after the other, the time after the first of them.
func (s *simulation) endFifth(passed time.Duration) {
	const pause = 50 * time.Millisecond
	if i := int(passed / pause); passed%pause == 0 && i < len(s.engines)/5 {
		s.end(s.engines[5*i])
	}
}
