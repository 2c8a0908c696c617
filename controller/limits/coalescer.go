package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// askTimeout bounds the wait for the home gateway's response.
	askTimeout = 60 * time.Millisecond
	// minBackoff and maxBackoff bound the time without calls after a response that
	// granted fewer tokens than were asked for.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// askFunc asks the workspace's home gateway for tokens.
type askFunc func(w *workspaceLimiter, tokens int, batch bool) tokenResponse

// tokenResponse is the home gateway's response to a call for tokens. It is zero if the
// call failed.
type tokenResponse struct {
	sent   time.Time     // when the call was sent
	tokens int           // requests that may be admitted
	wait   time.Duration // time until a token may be granted, if known
}

// backoff computes the delay between calls to a home gateway that grants too little.
type backoff struct {
	delay time.Duration
}

// after returns the time without calls after a response. It doubles while the responses
// grant less than was asked for, and is at least the wait of the response, up to
// maxBackoff.
func (b *backoff) after(asked int, resp tokenResponse) time.Duration {
	if resp.tokens >= asked {
		b.delay = 0
		return 0
	}
	b.delay = min(maxBackoff, max(minBackoff, 2*b.delay, resp.wait))
	return b.delay
}

// coalescer combines the token requests of one workspace into calls to its home gateway:
// while one call is in flight, the requests that arrive wait for the next one. It is safe
// for concurrent use.
type coalescer struct {
	send func(tokens int) tokenResponse

	backoffUntil atomic.Int64 // ns since the Unix epoch
	backoff      backoff      // used by run only

	mu      sync.Mutex
	next    *pendingCall // the call that arriving requests join, or nil
	running bool         // a goroutine executes run
}

// pendingCall is one call for tokens and the requests that wait for its response.
type pendingCall struct {
	waiters    int           // guarded by coalescer.mu until takeNext returns the call
	tokensLeft atomic.Int64  // tokens of the response that no waiter has taken yet
	response   tokenResponse // set before done is closed
	done       chan struct{}
}

// take waits for a call that asks for a token for this request. It reports whether the
// request got one and the time at which the token counts as taken: when the call was
// sent. Otherwise, wait is the time until a token may be granted, or 0 if that is not
// known. During a backoff, or when ctx is done, it returns without a token.
func (q *coalescer) take(ctx context.Context) (at time.Time, ok bool, wait time.Duration) {
	if remaining := time.Duration(q.backoffUntil.Load() - time.Now().UnixNano()); remaining > 0 {
		return time.Time{}, false, remaining
	}
	call := q.join()
	select {
	case <-call.done:
	case <-ctx.Done():
		return time.Time{}, false, 0
	}
	if call.tokensLeft.Add(-1) >= 0 {
		return call.response.sent, true, 0
	}
	return time.Time{}, false, call.response.wait
}

// join adds a request to the next call and starts run if it is not running.
func (q *coalescer) join() *pendingCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == nil {
		q.next = &pendingCall{done: make(chan struct{})}
	}
	q.next.waiters++
	call := q.next
	if !q.running {
		q.running = true
		go q.run()
	}
	return call
}

// run sends calls until no request waits.
func (q *coalescer) run() {
	for {
		current := q.takeNext()
		if current == nil {
			return
		}
		current.response = q.send(current.waiters)
		if delay := q.backoff.after(current.waiters, current.response); delay > 0 {
			q.backoffUntil.Store(time.Now().Add(delay).UnixNano())
		}
		current.tokensLeft.Store(int64(current.response.tokens))
		close(current.done)
	}
}

// takeNext returns the call to send, so that later requests join a new one, or nil if no
// request waits. In that case run must return.
func (q *coalescer) takeNext() *pendingCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := q.next
	q.next = nil
	q.running = current != nil
	return current
}
