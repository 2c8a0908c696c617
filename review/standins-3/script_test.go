//go:build review

package cases

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Times of the rule for items that are left lying.
const (
	FinishTime = 18 * time.Second // finishS
	CalmTime   = 5 * time.Second  // in which no engine had an item of the job
	QuietTime  = 3 * time.Second  // in which no item was finished
)

// Script is one run of a script.
type Script struct {
	*Record
	Store   *Store
	Engines []*Engine
	Daemons []*Daemon

	dir string
	mu  sync.Mutex // guards Engines and Daemons until the end
}

// Play runs a script with the record at the path, ends all that it started, and exits with the code
// that play returns.
func Play(play func(*Script) int, record string) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	s := &Script{Record: NewRecord(record), Store: StartStore(), dir: dir}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stops
		s.end()
		os.Exit(NotRun)
	}()
	code := play(s)
	s.end()
	os.Exit(code)
}

// end ends all that the script started.
func (s *Script) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.Daemons {
		d.Kill()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	s.Store.Close()
	os.RemoveAll(s.dir)
}

// StartEngine starts an engine.
func (s *Script) StartEngine(c EngineConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Engines = append(s.Engines, StartEngine(s.Store, c))
}

// AddDaemon starts a daemon in the zone.
func (s *Script) AddDaemon(contracts, name, zone string) *Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := StartDaemon(s.dir, name, zone, contracts, s.Store)
	s.Daemons = append(s.Daemons, d)
	return d
}

// StartDaemons starts a daemon in each zone and waits until all know each other. It reports whether
// all became ready.
func (s *Script) StartDaemons(contracts string, zones ...string) bool {
	for _, zone := range zones {
		s.AddDaemon(contracts, "edge-"+zone+"-1", zone)
	}
	for _, d := range s.Daemons {
		if !d.AwaitReady(10 * time.Second) {
			s.Add("%s is not ready", d.Name)
			return false
		}
	}
	time.Sleep(4 * time.Second)
	return true
}

// SubmitAs submits a job with a key and returns the answer.
func SubmitAs(key string, d *Daemon, id, prefix string, items []Item) Answer {
	return Call{
		Method: "POST", Front: d.Front, Host: HostName, Path: prefix + id, Key: key, ID: id, Body: EncodeJob(items), Timeout: 4 * time.Second,
	}.Do()
}

// Submit submits a job of the first tenant and reports whether it was accepted.
func (s *Script) Submit(d *Daemon, id, prefix string, items []Item) bool {
	answer := SubmitAs(Key, d, id, prefix, items)
	s.Add("job %s with %d items is sent to %s under %s: %d %v; Token-Count of its first item %s, of its last %s", id, len(items), d.Name, prefix,
		answer.Status, answer.Err, items[0].Headers["Token-Count"], items[len(items)-1].Headers["Token-Count"])
	return answer.Status == 202
}

// Listed returns the states of the listed items of a job by their ids, and false if the job cannot be
// read.
func (s *Script) Listed(d *Daemon, id string) (states map[string]string, ok bool) {
	states = make(map[string]string)
	for {
		answer := Call{
			Method: "GET", Front: d.Front, Host: HostName, Path: fmt.Sprintf("/v1/lots/%s?after=%d", id, len(states)), Key: Key, Timeout: 4 * time.Second,
		}.Do()
		var page struct {
			Results []struct{ ID, State string } `json:"results"`
		}
		if answer.Status != 200 || answer.Err != nil || json.Unmarshal(answer.Body, &page) != nil {
			s.Add("job %s cannot be read: %d %v", id, answer.Status, answer.Err)
			return nil, false
		}
		if len(page.Results) == 0 {
			return states, true
		}
		for _, r := range page.Results {
			states[r.ID] = r.State
		}
	}
}

// FinishedLately returns the number of items and requests that engines finished in the last
// QuietTime.
func (s *Script) FinishedLately(now time.Time) int {
	n := 0
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			if r.Whole && now.Sub(r.End) < QuietTime {
				n++
			}
		}
	}
	return n
}

// HadLately returns the number of runs of the job's items that engines had in the last CalmTime. A
// run that its sender ended within a second does not count.
func (s *Script) HadLately(now time.Time, job string) int {
	n := 0
	for _, e := range s.Engines {
		for _, r := range e.Runs() {
			isShort := r.Cut && r.End.Sub(r.Start) < time.Second
			if JobOf(r.ID) == job && (r.End.IsZero() || now.Sub(r.End) < CalmTime) && !isShort {
				n++
			}
		}
	}
	return n
}

// MostLately returns the largest number of requests that an engine of the service had at once in the
// last CalmTime.
func (s *Script) MostLately(now time.Time, service string) int {
	most := 0
	for _, e := range s.Engines {
		if e.Service != service {
			continue
		}
		runs := e.Runs()
		for t := now.Add(-CalmTime); t.Before(now); t = t.Add(20 * time.Millisecond) {
			n := 0
			for _, r := range runs {
				if !r.Start.After(t) && (r.End.IsZero() || r.End.After(t)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// JudgeLying checks the rule for the jobs at the end of finishS: an item that is not listed is left
// lying if no engine had an item of its job in the last CalmTime, engines of its service were under
// half full, and no item of any job was finished in the last QuietTime. It leaves out the items for
// which excused returns true.
func (s *Script) JudgeLying(reader *Daemon, service string, jobs map[string][]Item, excused func(Item) bool) int {
	now := time.Now()
	finished, most, slots := s.FinishedLately(now), s.MostLately(now, service), 0
	for _, e := range s.Engines {
		s.Add("engine %s of %s: %d runs so far, %d requests rejected as larger than its memory", e.ID, e.Service, len(e.Runs()), e.Rejected())
		if e.Service == service {
			slots = e.Slots
		}
	}
	s.Add("in the last 3 s %d items were finished; in the last 5 s an engine of %s had at most %d requests at once on its %d slots", finished, service, most, slots)
	lying := 0
	for id, items := range jobs {
		states, ok := s.Listed(reader, id)
		if !ok {
			return NotRun
		}
		missing, had := 0, s.HadLately(now, id)
		for _, item := range items {
			if states[item.ID] == "" && !excused(item) {
				missing++
			}
		}
		s.Add("job %s: %d of %d items are listed, %d others count; engines had its items %d times in the last 5 s", id, len(states), len(items), missing, had)
		if had == 0 {
			lying += missing
		}
	}
	if lying > 0 && finished == 0 && 2*most < slots {
		s.Add("LOST: %d items of open jobs are left lying", lying)
		return Broken
	}
	s.Add("held")
	return Held
}

// JobOf returns the job of an item that NewItems made, by the item's id.
func JobOf(item string) string { return item[:min(len(item), 16)] }
