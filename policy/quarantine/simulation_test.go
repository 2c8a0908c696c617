package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
)

// day is one simulated day: a fleet, its requests and what goes wrong.
type day struct {
	name             string
	daemons, engines int
	rate             float64       // requests per second of the fleet
	share            float64       // of requests with a deadly segment
	deadly           int           // number of deadly segments
	first            bool          // whether the deadly segment is the first of the prompt
	length           time.Duration // of the day
	farWay           time.Duration // of reports to other data centres, which send sums; 0 if none do
	harmlessAt       time.Duration // when the deadly segments become harmless, or 0
	liar             bool          // whether daemon 0 claims crashes of sound segments
	zoneLossAt       time.Duration // when a data centre with its daemons loses power, or 0
	firstEvent       time.Duration // of answers, at most; maxFirstEvent if 0
	fifthEach        time.Duration // how often a fifth of the engines ends within half a second, or 0
	rollingKill      bool          // whether an engine ends each second
	restarts         bool          // whether a daemon restarts each 5 s
}

const (
	simStep       = 5 * time.Millisecond
	simZones      = 3
	reportSteps   = 6 // simulated steps between two reports
	engineDown    = 4 * time.Second
	reportLoss    = 0.05
	nearShare     = 0.8 // of requests that go to an engine of their data centre
	maxReportWay  = 40 * time.Millisecond
	maxFirstEvent = 400 * time.Millisecond
	deadlyFrom    = 4 * time.Second // no request is deadly before
)

// simDaemon is a daemon of a simulated fleet.
type simDaemon struct {
	ledger    *Ledger
	roster    *blackboard.Roster
	sound     map[blackboard.Segment]clock.Instant
	tried     map[blackboard.Segment]int64 // window of the last trial
	downUntil clock.Instant
	toldAt    clock.Instant
	version   uint64
	changedAt clock.Instant
}

// simEngine is an engine with the requests that it has not begun to answer.
type simEngine struct {
	startedAtMs int64
	zone        int
	downUntil   clock.Instant
	running     []simRequest
}

type simRequest struct {
	daemon   *simDaemon
	id       uint64
	segments []blackboard.Segment
	answerAt clock.Instant
}

// message is something that happens at a daemon later.
type message struct {
	at     clock.Instant
	to     *simDaemon
	handle func()
}

// simulation is a fleet on one day, and what happened in it.
type simulation struct {
	day
	rng      *rand.Rand
	now      clock.Instant
	members  []blackboard.Peer
	daemons  []*simDaemon
	engines  []*simEngine
	messages []message

	crashes       int // by deadly segments
	crashesBefore int // of them, before each deadly segment was quarantined on all daemons
	fifthAt       clock.Instant
	late          int // deadly requests sent later than 3 s after the fifth crash
	soundRequests int
	soundRefused  int
	mistakenSince map[blackboard.Segment]clock.Instant // when a sound segment was first refused
	longest       time.Duration                        // from the first to the last refusal of a sound segment
	lastRefused   clock.Instant                        // last refusal of a deadly segment
}

const dayStart = clock.Instant(time.Hour)

func newSimulation(d day, seed uint64) *simulation {
	s := &simulation{day: d, rng: rand.New(rand.NewPCG(seed, 1)), now: dayStart, mistakenSince: make(map[blackboard.Segment]clock.Instant)}
	for i := range d.daemons {
		s.members = append(s.members, blackboard.Peer{Name: fmt.Sprint("entry-", i), DataCentre: fmt.Sprint(i % simZones)})
	}
	for i := range d.daemons {
		s.daemons = append(s.daemons, &simDaemon{roster: &blackboard.Roster{Self: s.members[i], Members: s.members, Loaded: true}})
		s.restart(s.daemons[i], 0)
	}
	for i := range d.engines {
		s.engines = append(s.engines, &simEngine{startedAtMs: int64(i), zone: i % simZones})
	}
	return s
}

// restart empties a daemon, which serves again after the time.
func (s *simulation) restart(d *simDaemon, down time.Duration) {
	d.ledger = NewLedger(d.roster.Self.Name)
	d.sound = make(map[blackboard.Segment]clock.Instant)
	d.tried = make(map[blackboard.Segment]int64)
	d.downUntil = s.now.Add(down)
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool { return m.to == d })
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(dayStart) }

func (s *simulation) isDeadly(segment blackboard.Segment) bool {
	return segment < blackboard.Segment(s.deadly) && (s.harmlessAt == 0 || s.elapsed() < s.harmlessAt)
}

// run plays the day.
func (s *simulation) run() {
	for ; s.elapsed() < s.length; s.now = s.now.Add(simStep) {
		s.disrupt()
		for n := s.rate * simStep.Seconds(); n > 0; n-- {
			if s.rng.Float64() < n {
				s.request()
			}
		}
		s.answer()
		s.deliver()
		for i, d := range s.daemons {
			if s.now >= d.downUntil && (int(s.elapsed()/simStep)+i)%reportSteps == 0 {
				s.judge(d)
				s.tell(d)
			}
		}
	}
}

// disrupt plays what goes wrong without deadly segments.
func (s *simulation) disrupt() {
	each := func(interval time.Duration) bool { return s.elapsed() > 0 && s.elapsed()%interval == 0 }
	if s.rollingKill && each(time.Second) {
		s.end(s.engines[int(s.elapsed()/time.Second)%len(s.engines)])
	}
	if s.fifthEach > 0 {
		s.endFifth(s.elapsed() % s.fifthEach)
	}
	if s.restarts && each(5*time.Second) {
		s.restart(s.daemons[int(s.elapsed()/(5*time.Second))%len(s.daemons)], time.Second)
	}
	if s.zoneLossAt > 0 && s.elapsed() == s.zoneLossAt {
		for i, d := range s.daemons {
			if i%simZones == 0 {
				s.restart(d, engineDown)
			}
		}
		for _, e := range s.engines {
			if e.zone == 0 {
				s.end(e)
			}
		}
	}
	if s.liar && each(250*time.Millisecond) {
		s.lie()
	}
}

// lie lets daemon 0 claim crashes of sound segments and decisions on them.
func (s *simulation) lie() {
	for _, d := range s.daemons[1:] {
		for _, segment := range s.soundSegments() {
			c := blackboard.CrashClaim{Reporter: "entry-0", EngineCrash: blackboard.EngineCrash{
				Engine: fmt.Sprint(s.rng.IntN(100)), Request: s.rng.Uint64(), Segments: []blackboard.Segment{segment}, SeenAt: s.now,
			}}
			d.ledger.AddCrash(c, s.now)
			d.ledger.AddDecisionClaim(blackboard.DecisionClaim{Reporter: "entry-0", Segment: segment, LastCrash: s.now, TrialDue: s.now.Add(time.Hour)}, s.now)
		}
	}
}

// soundSegments returns the shared segments of a sound request: one of a few prompts, and a
// document, of which there are always new ones.
func (s *simulation) soundSegments() []blackboard.Segment {
	prompt := 100 + s.rng.IntN(5)
	document := 1000 + int(s.elapsed()/(200*time.Millisecond)) + s.rng.IntN(20)
	return []blackboard.Segment{blackboard.Segment(prompt), blackboard.Segment(document)}
}

// request lets a caller send a request to a daemon.
func (s *simulation) request() {
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	if s.now < d.downUntil {
		return
	}
	r := simRequest{daemon: d, id: s.rng.Uint64(), segments: s.soundSegments()}
	isDeadly := s.elapsed() >= deadlyFrom && s.rng.Float64() < s.share
	if isDeadly {
		at := 0
		if !s.first {
			at = 1 + s.rng.IntN(2)
		}
		r.segments = slices.Insert(r.segments, at, blackboard.Segment(s.rng.IntN(s.deadly)))
	} else {
		s.soundRequests++
	}
	if by, refused := s.isRefused(d, r.segments); refused {
		if isDeadly {
			s.lastRefused = s.now
		} else {
			s.noteMistake(by)
		}
		return
	}
	if isDeadly && s.fifthAt > 0 && s.now.Sub(s.fifthAt) > 3*time.Second && s.isDeadly(0) {
		s.late++
	}
	s.send(r)
}

// noteMistake notes that a sound request was refused because of the segment.
func (s *simulation) noteMistake(segment blackboard.Segment) {
	s.soundRefused++
	if s.mistakenSince[segment] == 0 {
		s.mistakenSince[segment] = s.now
	}
	s.longest = max(s.longest, s.now.Sub(s.mistakenSince[segment]))
}

// isRefused reports whether the daemon refuses a request with the segments, and because of
// which.
func (s *simulation) isRefused(d *simDaemon, segments []blackboard.Segment) (by blackboard.Segment, refused bool) {
	for _, segment := range segments {
		v := d.ledger.Decision(segment)
		if v == nil {
			continue
		}
		trial := TrialOf(segment, s.now.Sub(v.TrialDue), time.Duration(s.now), d.roster)
		if !trial.MayTry || d.tried[segment] == trial.Window {
			return segment, true
		}
		d.tried[segment] = trial.Window
	}
	return 0, false
}

// send hands a request to a random engine that runs, mostly to one of the daemon's data
// centre.
func (s *simulation) send(r simRequest) {
	running := slices.DeleteFunc(slices.Clone(s.engines), func(e *simEngine) bool { return s.now < e.downUntil })
	near := slices.DeleteFunc(slices.Clone(running), func(e *simEngine) bool { return fmt.Sprint(e.zone) != r.daemon.roster.Self.DataCentre })
	if len(near) > 0 && s.rng.Float64() < nearShare {
		running = near
	}
	if len(running) == 0 {
		return
	}
	e := running[s.rng.IntN(len(running))]
	r.answerAt = s.now.Add(time.Duration(s.rng.Int64N(int64(cmp.Or(s.firstEvent, maxFirstEvent)))))
	e.running = append(e.running, r)
}

// answer lets the engines begin the answers that are due.
func (s *simulation) answer() {
	for _, e := range s.engines {
		for _, r := range slices.Clone(e.running) {
			if s.now < r.answerAt || s.now < e.downUntil {
				continue
			}
			if slices.ContainsFunc(r.segments, s.isDeadly) {
				s.countCrash()
				s.end(e)
				break
			}
			for _, segment := range r.segments {
				r.daemon.sound[segment] = s.now
			}
			e.running = slices.DeleteFunc(e.running, func(o simRequest) bool { return o.id == r.id })
		}
	}
}

// countCrash counts the crash of an engine by a deadly segment.
func (s *simulation) countCrash() {
	s.crashes++
	if s.crashes == 5 {
		s.fifthAt = s.now
	}
	for _, d := range s.daemons {
		for segment := range s.deadly {
			if s.now >= d.downUntil && d.ledger.Decision(blackboard.Segment(segment)) == nil {
				s.crashesBefore = s.crashes
			}
		}
	}
}

// end ends an engine. The daemons that had requests there find that out a little later.
func (s *simulation) end(e *simEngine) {
	for _, r := range e.running {
		d, zone, started := r.daemon, fmt.Sprint(e.zone), e.startedAtMs
		seen := s.now.Add(time.Duration(s.rng.Int64N(int64(50 * time.Millisecond))))
		s.messages = append(s.messages, message{at: seen, to: d, handle: func() {
			c := blackboard.CrashClaim{Reporter: d.roster.Self.Name, EngineDataCentre: zone, EngineCrash: blackboard.EngineCrash{
				Engine: "engine", StartedAtMs: started, Request: r.id, SeenAt: s.now,
			}}
			for _, segment := range r.segments {
				if d.sound[segment] == 0 {
					c.Segments = append(c.Segments, segment)
				}
			}
			d.ledger.AddCrash(c, s.now)
			s.judge(d)
		}})
	}
	e.running, e.startedAtMs, e.downUntil = nil, e.startedAtMs+1000, s.now.Add(engineDown)
}

// deliver lets the daemons handle what arrives.
func (s *simulation) deliver() {
	due := slices.DeleteFunc(slices.Clone(s.messages), func(m message) bool { return m.at > s.now })
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool { return m.at <= s.now })
	for _, m := range due {
		if s.now >= m.to.downUntil {
			m.handle()
		}
	}
}

// judge lets a daemon judge what it knows.
func (s *simulation) judge(d *simDaemon) {
	for _, segment := range d.ledger.Doubtful() {
		if at := d.sound[segment]; at != 0 {
			d.ledger.Clear(blackboard.ClearClaim{Segment: segment, AnsweredAt: at, SeenHere: true}, s.now)
		}
	}
	d.ledger.Evaluate(s.now, len(s.daemons))
}

// tell sends a daemon's evidence to the others: for 300 ms after it changed in each report,
// else once a second.
func (s *simulation) tell(d *simDaemon) {
	if d.version != d.ledger.Version() {
		d.version, d.changedAt = d.ledger.Version(), s.now
	}
	if s.now.Sub(d.changedAt) >= 300*time.Millisecond && s.now.Sub(d.toldAt) < time.Second {
		return
	}
	d.toldAt = s.now
	e := d.ledger.Evidence(s.now)
	for _, to := range s.daemons {
		if to == d || s.rng.Float64() < reportLoss {
			continue
		}
		way, sumOf := maxReportWay, ""
		if self := &d.roster.Self; s.farWay > 0 && to.roster.Self.DataCentre != self.DataCentre {
			way, sumOf = s.farWay, self.DataCentre
		}
		sentAt, at := s.now, s.now.Add(time.Duration(s.rng.Int64N(int64(way))))
		s.messages = append(s.messages, message{at: at, to: to, handle: func() { s.hear(to, d.roster.Self.Name, sumOf, e, s.now.Sub(sentAt)) }})
	}
}

// hear adds what another daemon reported. Its times are late by the delay of the report.
func (s *simulation) hear(d *simDaemon, from, sumOf string, e *blackboard.Evidence, delay time.Duration) {
	for _, c := range e.Clears {
		if c.SeenHere {
			c.AnsweredAt, c.SeenHere = c.AnsweredAt.Add(delay), false
			d.ledger.Clear(c, s.now)
		}
	}
	for _, c := range e.Crashes {
		if c.Reporter == from {
			c.SeenAt, c.SumOf = c.SeenAt.Add(delay), sumOf
			d.ledger.AddCrash(c, s.now)
		}
	}
	for _, v := range e.Decisions {
		if v.Reporter == from {
			v.LastCrash, v.TrialDue, v.SumOf = v.LastCrash.Add(delay), v.TrialDue.Add(delay), sumOf
			d.ledger.AddDecisionClaim(v, s.now)
		}
	}
	s.judge(d)
}
