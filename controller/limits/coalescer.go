package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobablanding/baobablanding/timer"
)

const (
	// askTimeout bounds the wait for the home gateway's response. It leaves time to
	// forward a request before its admission is too old.
	askTimeout = 60 * time.Millisecond
	// maxAskTime bounds the time in which a request asks the home gateway again while
	// no response comes.
	maxAskTime = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the time without calls after a response that
	// granted fewer tokens than were asked for.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// askFunc asks the workspace's home gateway for tokens.
type askFunc func(w *workspaceLimiter, tokens int, batch bool) tokenResponse

// tokenResponse is the home gateway's response to a call for tokens.
type tokenResponse struct {
	sent       time.Time     // when the call was sent
	tokens     int           // requests that may be admitted
	wait       time.Duration // time until a token may be granted, if known
	unanswered bool          // the call failed or its response came too late
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
	unanswered   atomic.Bool  // the last call was unanswered
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

// tokenOutcome is what one request got from a call to the home gateway.
type tokenOutcome struct {
	admitted   bool
	at         time.Time     // if admitted: when the token counts as taken, that is when the call was sent
	wait       time.Duration // otherwise: time until a token may be granted, or 0 if not known
	unanswered bool          // the home gateway did not respond to the last call
}

// take waits for a call that asks for a token for this request. During a backoff, or when
// ctx is done, it returns without a token.
func (q *coalescer) take(ctx context.Context) tokenOutcome {
	if remaining := time.Duration(q.backoffUntil.Load() - time.Now().UnixNano()); remaining > 0 {
		return tokenOutcome{wait: remaining, unanswered: q.unanswered.Load()}
	}
	call := q.join()
	select {
	case <-call.done:
	case <-ctx.Done():
		return tokenOutcome{}
	}
	if call.tokensLeft.Add(-1) >= 0 {
		return tokenOutcome{admitted: true, at: call.response.sent}
	}
	return tokenOutcome{wait: call.response.wait, unanswered: call.response.unanswered}
}

// takeRepeatedly calls take again, for at most maxAskTime, while the home gateway does not
// respond. It also ends when local, which it calls after each unsuccessful try, returns
// true.
func (q *coalescer) takeRepeatedly(ctx context.Context, local func() bool) tokenOutcome {
	giveUp := time.Now().Add(maxAskTime)
	for {
		out := q.take(ctx)
		if out.admitted {
			return out
		}
		if local() {
			return tokenOutcome{admitted: true, at: time.Now()}
		}
		if !out.unanswered || time.Now().Add(out.wait).After(giveUp) || !timer.Sleep(ctx, out.wait) {
			return out
		}
	}
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
		q.unanswered.Store(current.response.unanswered)
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
