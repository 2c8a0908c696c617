package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestRequestsShareQuestions lets requests arrive while a question is under
// way: they are joined in the next one, and no more are admitted than granted.
func TestRequestsShareQuestions(t *testing.T) {
	const requests, granted = 10, 4
	first, sent := make(chan struct{}), make(chan int, requests)
	q := questions{}
	q.send = func(tokens int) answer {
		sent <- tokens
		if tokens == 1 {
			<-first
			return answer{sent: time.Now(), tokens: 1}
		}
		return answer{sent: time.Now(), tokens: granted, wait: time.Hour}
	}
	var admitted atomic.Int64
	var wg sync.WaitGroup
	ask := func() {
		defer wg.Done()
		if _, ok, _ := q.ask(context.Background()); ok {
			admitted.Add(1)
		}
	}
	wg.Add(1)
	go ask()
	if n := <-sent; n != 1 {
		t.Fatalf("the first question asks for %d tokens", n)
	}
	for range requests {
		wg.Add(1)
		go ask()
	}
	for waiting := 0; waiting < requests; time.Sleep(time.Millisecond) {
		q.mu.Lock()
		if q.next != nil {
			waiting = q.next.waiting
		}
		q.mu.Unlock()
	}
	close(first)
	wg.Wait()
	if n := <-sent; n != requests || len(sent) != 0 {
		t.Errorf("the second question asks for %d tokens, and %d more questions were sent", n, len(sent))
	}
	if n := admitted.Load(); n != 1+granted {
		t.Errorf("%d requests were admitted, want %d", n, 1+granted)
	}
	if _, ok, wait := q.ask(context.Background()); ok || wait <= 0 || wait > maxQuiet {
		t.Errorf("after a small grant: admitted %t, wait %s", ok, wait)
	}
}

// TestQuestionEndsWithItsCaller does not let a caller that has gone wait.
func TestQuestionEndsWithItsCaller(t *testing.T) {
	q := questions{send: func(int) answer { time.Sleep(50 * time.Millisecond); return answer{} }}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, ok, _ := q.ask(ctx); ok {
		t.Error("a request was admitted without a token")
	}
}
