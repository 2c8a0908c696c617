package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// questionTimeout bounds the wait for another gateway's answer.
	questionTimeout = 60 * time.Millisecond
	// minQuiet and maxQuiet bound the time without questions after an answer
	// that granted nothing.
	minQuiet = 20 * time.Millisecond
	maxQuiet = 250 * time.Millisecond
)

// asker asks another gateway for tokens of the workspace.
type asker func(w *workspace, tokens int, batch bool) answer

// answer is what another gateway granted.
type answer struct {
	sent   time.Time
	tokens int
	wait   time.Duration
}

// backoff decides how long to ask nothing.
type backoff struct {
	last time.Duration
}

// after returns the time without questions after an answer. It doubles while
// the answers grant less than was asked for.
func (b *backoff) after(asked int, a answer) time.Duration {
	if a.tokens >= asked {
		b.last = 0
		return 0
	}
	b.last = min(maxQuiet, max(minQuiet, 2*b.last, a.wait))
	return b.last
}

// questions joins the requests of one workspace that wait for another gateway:
// while one question is under way, the requests that arrive gather for the next
// one.
type questions struct {
	send func(tokens int) answer

	quietUntil atomic.Int64 // ns since the Unix epoch
	backoff    backoff      // used by run only

	mu      sync.Mutex
	next    *question // gathers requests, or nil
	running bool
}

// question is one question for the requests that wait for it.
type question struct {
	waiting int
	left    atomic.Int64
	answer  answer
	done    chan struct{}
}

// ask waits for a question that includes the request. It returns when the token
// was taken.
func (q *questions) ask(ctx context.Context) (at time.Time, ok bool, wait time.Duration) {
	if quiet := time.Duration(q.quietUntil.Load() - time.Now().UnixNano()); quiet > 0 {
		return time.Time{}, false, quiet
	}
	joined := q.join()
	select {
	case <-joined.done:
	case <-ctx.Done():
		return time.Time{}, false, 0
	}
	if joined.left.Add(-1) >= 0 {
		return joined.answer.sent, true, 0
	}
	return time.Time{}, false, joined.answer.wait
}

func (q *questions) join() *question {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == nil {
		q.next = &question{done: make(chan struct{})}
	}
	q.next.waiting++
	joined := q.next
	if !q.running {
		q.running = true
		go q.run()
	}
	return joined
}

// run asks until no request waits.
func (q *questions) run() {
	for {
		current := q.takeNext()
		if current == nil {
			return
		}
		current.answer = q.send(current.waiting)
		if quiet := q.backoff.after(current.waiting, current.answer); quiet > 0 {
			q.quietUntil.Store(time.Now().Add(quiet).UnixNano())
		}
		current.left.Store(int64(current.answer.tokens))
		close(current.done)
	}
}

func (q *questions) takeNext() *question {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.next
	q.next = nil
	q.running = current != nil
	return current
}
