package entrytest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/baobablanding/baobablanding/standin"
)

// disturbance is one failure that a soak brings about.
type disturbance struct {
	at, length time.Duration
	name       string
	begin, end func()
}

const (
	minDisturbances = 5
	maxDisturbances = 14
	maxLength       = 6 * time.Second
	minLength       = 300 * time.Millisecond
	// killedFor is how long a killed daemon stays away.
	killedFor = 300 * time.Millisecond
	// stopGrace is the grace time of the settings.
	stopGrace = 8 * time.Second
)

// schedule returns the disturbances of a seed, which come in series and overlap.
func (s *soak) schedule(random *rand.Rand, length time.Duration) []disturbance {
	kinds := []func(*rand.Rand) disturbance{
		s.storeLink, s.storeLink, s.engineLink, s.frontLink, s.killOne, s.killOne, s.stopOne, s.stopOne, s.pauseOne, s.pauseOne,
		s.killAll, s.storeFault, s.storeFault, s.withdraw, s.withdrawBehindCut, s.configuration, s.drainEngine,
	}
	var all []disturbance
	for range minDisturbances + random.IntN(maxDisturbances-minDisturbances+1) {
		d := kinds[random.IntN(len(kinds))](random)
		d.at = time.Duration(random.Int64N(int64(length)))
		if d.length == 0 {
			d.length = minLength + time.Duration(random.Int64N(int64(maxLength-minLength)))
		}
		all = append(all, d)
	}
	return all
}

// play brings the disturbances about and returns when all have ended.
func (s *soak) play(ctx context.Context, all []disturbance) {
	var wg sync.WaitGroup
	for _, d := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			select {
			case <-time.After(d.at):
			case <-ctx.Done():
				return
			}
			s.logf("begins: %s for %v", d.name, d.length)
			d.begin()
			time.Sleep(d.length)
			if d.end != nil {
				d.end()
			}
			s.logf("ends: %s", d.name)
		}()
	}
	wg.Wait()
}

// some returns one daemon, or all of them now and then.
func (s *soak) some(random *rand.Rand) []*soakDaemon {
	if random.IntN(4) == 0 {
		return s.daemons
	}
	return []*soakDaemon{s.one(random)}
}

func (s *soak) one(random *rand.Rand) *soakDaemon { return s.daemons[random.IntN(len(s.daemons))] }

func harm(random *rand.Rand) linkMode { return linkMode(1 + random.IntN(int(linkModes)-1)) }

// link harms the proxies.
func link(name string, mode linkMode, proxies ...*proxy) disturbance {
	set := func(m linkMode) func() {
		return func() {
			for _, p := range proxies {
				p.set(m)
			}
		}
	}
	return disturbance{name: fmt.Sprintf("%s: %s", name, mode), begin: set(mode), end: set(linkPass)}
}

func (s *soak) storeLink(random *rand.Rand) disturbance {
	var proxies []*proxy
	name := "links to the store of"
	for _, d := range s.some(random) {
		proxies = append(proxies, d.store)
		name += " " + d.name
	}
	return link(name, harm(random), proxies...)
}

func (s *soak) engineLink(random *rand.Rand) disturbance {
	i := random.IntN(len(s.engineLinks))
	return link(fmt.Sprintf("links to engine %d", i), harm(random), s.engineLinks[i])
}

func (s *soak) frontLink(random *rand.Rand) disturbance {
	d := s.one(random)
	return link("callers' links to "+d.name, harm(random), d.front)
}

func (s *soak) killOne(random *rand.Rand) disturbance {
	d := s.one(random)
	return disturbance{name: "kill " + d.name, length: killedFor, begin: d.process.kill, end: d.process.start}
}

func (s *soak) killAll(*rand.Rand) disturbance {
	return disturbance{
		name: "kill all", length: killedFor,
		begin: func() { s.each(func(d *soakDaemon) { d.process.kill() }) },
		end:   func() { s.each(func(d *soakDaemon) { d.process.start() }) },
	}
}

func (s *soak) stopOne(random *rand.Rand) disturbance {
	d := s.one(random)
	return disturbance{name: "planned stop of " + d.name, length: killedFor, begin: d.stop, end: d.process.start}
}

func (s *soak) pauseOne(random *rand.Rand) disturbance {
	d := s.one(random)
	return disturbance{
		name:  "pause " + d.name,
		begin: func() { d.process.signal(syscall.SIGSTOP) },
		end:   func() { d.process.signal(syscall.SIGCONT) },
	}
}

// storeFault lets the store itself fail: silent for calls, late, without answers
// to writes that took effect, or without its history.
func (s *soak) storeFault(random *rand.Rand) disturbance {
	faults := []standin.Faults{
		{Outage: true}, {Delay: 400 * time.Millisecond}, {Delay: 2500 * time.Millisecond}, {LoseAnswers: 8},
	}
	f := faults[random.IntN(len(faults))]
	return disturbance{
		name:  fmt.Sprintf("store: %+v", f),
		begin: func() { s.fleet.store.Set(f); s.fleet.store.Forget() },
		end:   func() { s.fleet.store.Set(standin.Faults{}) },
	}
}

// withdraw takes a key away, and gives another one.
func (s *soak) withdraw(*rand.Rand) disturbance {
	return disturbance{name: "withdraw a key", length: minLength, begin: s.withdrawKey}
}

// withdrawBehindCut takes a key away while daemons do not reach the store.
func (s *soak) withdrawBehindCut(random *rand.Rand) disturbance {
	d := s.storeLink(random)
	cut := d.begin
	d.name, d.length = "withdraw a key behind "+d.name, maxLength
	d.begin = func() {
		cut()
		s.withdrawKey()
	}
	return d
}

func (s *soak) configuration(*rand.Rand) disturbance {
	return disturbance{name: "new configuration", length: minLength, begin: func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.publish()
	}}
}

// drainEngine lets an engine leave, and come back.
func (s *soak) drainEngine(random *rand.Rand) disturbance {
	e := s.engines[random.IntN(len(s.engines))]
	state := func(state string) func() { return func() { s.fleet.register(e, state, 0) } }
	return disturbance{name: "drain " + e.id, begin: state("draining"), end: state("ready")}
}

// each calls f for all daemons at once and waits.
func (s *soak) each(f func(*soakDaemon)) {
	var wg sync.WaitGroup
	for _, d := range s.daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(d)
		}()
	}
	wg.Wait()
}

// stop stops the daemon as planned, and kills it after the grace time.
func (d *soakDaemon) stop() {
	d.process.signal(syscall.SIGTERM)
	if !d.process.wait(stopGrace) {
		d.process.kill()
	}
}
