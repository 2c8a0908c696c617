package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestWaitingRequestsShareOneCall checks that requests that arrive while a call is in
// flight share the next call, and that no more of them are admitted than tokens were
// granted.
func TestWaitingRequestsShareOneCall(t *testing.T) {
	const requests, granted = 10, 4
	first, sent := make(chan struct{}), make(chan int, requests)
	q := coalescer{}
	q.send = func(tokens int) tokenResponse {
		sent <- tokens
		if tokens == 1 {
			<-first
			return tokenResponse{sent: time.Now(), tokens: 1}
		}
		return tokenResponse{sent: time.Now(), tokens: granted, wait: time.Hour}
	}
	var admitted atomic.Int64
	var wg sync.WaitGroup
	take := func() {
		defer wg.Done()
		if _, ok, _ := q.take(context.Background()); ok {
			admitted.Add(1)
		}
	}
	wg.Add(1)
	go take()
	if n := <-sent; n != 1 {
		t.Fatalf("the first call asks for %d tokens", n)
	}
	for range requests {
		wg.Add(1)
		go take()
	}
	for waiters := 0; waiters < requests; time.Sleep(time.Millisecond) {
		q.mu.Lock()
		if q.next != nil {
			waiters = q.next.waiters
		}
		q.mu.Unlock()
	}
	close(first)
	wg.Wait()
	if n := <-sent; n != requests || len(sent) != 0 {
		t.Errorf("the second call asks for %d tokens, and %d more calls were sent", n, len(sent))
	}
	if n := admitted.Load(); n != 1+granted {
		t.Errorf("%d requests were admitted, want %d", n, 1+granted)
	}
	if _, ok, wait := q.take(context.Background()); ok || wait <= 0 || wait > maxBackoff {
		t.Errorf("after a small grant: admitted %t, wait %s", ok, wait)
	}
}

// TestTakeEndsWithItsContext checks that a request whose context is done gets no token.
func TestTakeEndsWithItsContext(t *testing.T) {
	q := coalescer{send: func(int) tokenResponse { time.Sleep(50 * time.Millisecond); return tokenResponse{} }}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, ok, _ := q.take(ctx); ok {
		t.Error("a request was admitted without a token")
	}
}
