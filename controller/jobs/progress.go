package jobs

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/relay"
)

// progress is what an item has reached.
type progress struct {
	job     *owned
	index   int
	reached atomic.Pointer[reached] // replaced by the run's goroutine
	saved   int64                   // number of the last event that is in the store
	failed  int                     // answers that count as failed attempts
	refused map[string]clock.Instant

	ran time.Duration // of its runs before this one

	engine  string             // where it runs
	cancel  context.CancelFunc // nil while it does not run
	started clock.Instant
	cut     bool
}

// reached is the output of an item so far. It is never modified.
type reached struct {
	output []string // data of the events
	last   int64    // number of the last event, or -1
}

func newProgress(o *owned, index int) *progress {
	p := &progress{job: o, index: index, saved: -1, refused: make(map[string]clock.Instant)}
	p.reached.Store(&reached{last: -1})
	return p
}

// resume takes in the progress that an earlier owner of the job saved.
func (p *progress) resume(saved job.Progress) {
	p.reached.Store(&reached{output: []string{saved.Output}, last: saved.Last})
	p.saved, p.failed, p.ran = saved.Last, saved.Failed, saved.Ran
}

func (p *progress) item() *job.Item { return &p.job.items[p.index] }

// last returns the number of the last event, or -1.
func (p *progress) last() int64 { return p.reached.Load().last }

// add appends the event unless it is there already.
func (p *progress) add(e relay.Event) {
	old := p.reached.Load()
	if e.Number < 0 || e.Number <= old.last {
		return
	}
	p.reached.Store(&reached{output: append(old.output, string(e.Data)), last: e.Number})
}

// wasRefused tells whether the engine refused or broke off the item lately.
func (p *progress) wasRefused(e *blackboard.Engine) bool {
	at, ok := p.refused[e.ID]
	return ok && clock.Since(at) < time.Second
}

// soFar returns how long the item ran, with the run that goes on.
func (p *progress) soFar() time.Duration {
	if p.cancel == nil {
		return p.ran
	}
	return p.ran + clock.Since(p.started)
}

// snapshot returns the progress as it is kept in the store.
func (p *progress) snapshot() job.Progress {
	r := p.reached.Load()
	return job.Progress{
		Index: p.index, Last: r.last, Output: strings.Join(r.output, "\n"), Failed: p.failed, Ran: p.soFar(),
	}
}

func (p *progress) result(state job.State) job.Finished {
	r := job.Result{ID: p.item().ID, State: state}
	if state == job.Completed {
		r.Output = strings.Join(p.reached.Load().output, "\n")
	}
	return job.Finished{Index: p.index, Tokens: p.item().Tokens, Result: r}
}
