package fleettest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/standin"
)

// postOrder sends an order by POST, which is not idempotent on the route, to the gateway
// with the given index.
func postOrder(f *fleettest.Fleet, i int, body string) (int, string) {
	return f.Call(context.Background(), i, "garrafon", http.MethodPost, fleettest.ServicePathPrefix+"/new", body)
}

// countOrders returns the number of requests with the body that the services received.
func countOrders(f *fleettest.Fleet, body string) int {
	n := 0
	for _, s := range f.Services {
		for _, request := range s.ReceivedRequests() {
			if request.Prompt == body {
				n++
			}
		}
	}
	return n
}

func decodeError(t *testing.T, body string) gateway.ErrorDetail {
	t.Helper()
	var e gateway.ErrorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("%v in %q", err, body)
	}
	return e.Error
}

// TestNonIdempotentRequestIsNotRetriedAfterLostResponse guards against a second run of an
// order: the service runs the request, but the connection ends without a response.
func TestNonIdempotentRequestIsNotRetriedAfterLostResponse(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Services: 2})
	for _, s := range f.Services {
		s.SetFaults(standin.Faults{DropResponses: 1})
	}
	status, body := postOrder(f, 0, `"once"`)
	if status != http.StatusBadGateway {
		t.Errorf("answered %d %s, want 502", status, body)
	}
	if e := decodeError(t, body); e.NotRun {
		t.Errorf("the request ran, but its error says not run: %s", body)
	}
	if n := countOrders(f, `"once"`); n != 1 {
		t.Errorf("the request ran %d times, want once", n)
	}
}

// TestIdempotentRequestIsRetriedAfterLostResponse guards against a failure that the
// caller sees although the request may be sent to another service: one service drops
// responses.
func TestIdempotentRequestIsRetriedAfterLostResponse(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Services: 2})
	f.Services[0].SetFaults(standin.Faults{DropResponses: 2})
	for range 4 {
		status, body := f.Call(context.Background(), 0, "garrafon", http.MethodGet, fleettest.ServicePathPrefix+"/1", "")
		if status != http.StatusOK {
			t.Errorf("answered %d %s", status, body)
		}
	}
}

// TestNonIdempotentRequestsRunAtMostOnceWhileDaemonsAreKilled guards against orders that
// run twice, and against errors that say "not run" for an order that ran. A gateway and
// agents are killed and started again while callers post distinct orders.
func TestNonIdempotentRequestsRunAtMostOnceWhileDaemonsAreKilled(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Services: 3, ServiceTime: 20 * time.Millisecond})
	type outcome struct {
		status int
		body   string
	}
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ctx.Err() == nil; n++ {
				order := fmt.Sprintf(`"order %d.%d"`, i, n)
				status, body := postOrder(f, n%2, order)
				mu.Lock()
				outcomes[order] = outcome{status, body}
				mu.Unlock()
			}
		}()
	}
	for i := range 6 {
		time.Sleep(100 * time.Millisecond)
		vm := fmt.Sprintf("vm-service-%d", i%3+1)
		f.KillAgent(vm)
		if i%2 == 1 {
			f.KillGateway("gateway-2")
			f.StartGateway("gateway-2")
		}
		f.StartAgent(vm)
	}
	cancel()
	wg.Wait()
	answered, notRun := 0, 0
	for order, o := range outcomes {
		n := countOrders(f, order)
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", order, n)
		case o.status == http.StatusOK:
			answered++
			if n != 1 || !strings.Contains(o.body, order[1:len(order)-1]) {
				t.Errorf("%s ran %d times and was answered %s", order, n, o.body)
			}
		case o.status != 0 && decodeError(t, o.body).NotRun:
			notRun++
			if n != 0 {
				t.Errorf("%s ran, but its error says not run: %s", order, o.body)
			}
		}
	}
	t.Logf("%d orders: %d answered, %d rejected as not run", len(outcomes), answered, notRun)
	if answered == 0 {
		t.Error("no order was answered")
	}
}

// TestResponseOfAnotherRequestIsNotPassedOn guards against callers that get the response
// of another request: an engine answers with a foreign ID and content. With a second
// engine the request must be retried there.
func TestResponseOfAnotherRequestIsNotPassedOn(t *testing.T) {
	for _, stream := range []bool{false, true} {
		f := fleettest.Start(t, fleettest.Options{Engines: 2})
		for _, e := range f.Engines {
			e.SetFaults(standin.Faults{MixUpResponses: 1})
		}
		status, body := f.Chat(context.Background(), 0, "garrafon", "mine", stream)
		if status == http.StatusOK {
			t.Errorf("stream %t: the response of another request was passed on: %s", stream, body)
		}
		for _, e := range f.Engines {
			e.SetFaults(standin.Faults{})
		}
		f.Engines[0].SetFaults(standin.Faults{MixUpResponses: 1})
		for range 4 {
			status, body = f.Chat(context.Background(), 0, "garrafon", "mine", stream)
			if status != http.StatusOK || !strings.Contains(body, "answer to: mine") {
				t.Errorf("stream %t: answered %d %s", stream, status, body)
			}
		}
	}
}

// TestStreamCutAfterFirstEventEndsWithErrorEvent guards against an incomplete stream that
// looks complete, and against a retry after the caller received a part of the stream.
// Each engine ends its stream without the final event.
func TestStreamCutAfterFirstEventEndsWithErrorEvent(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Engines: 2})
	for _, e := range f.Engines {
		e.SetFaults(standin.Faults{TruncateStreams: 1})
	}
	status, body := f.Chat(context.Background(), 0, "garrafon", "mine", true)
	if status != http.StatusOK || fleettest.IsCompleteStream(body) {
		t.Fatalf("answered %d %s", status, body)
	}
	_, data, ok := strings.Cut(body, "event: error\ndata: ")
	if !ok {
		t.Fatalf("the stream ended without an error event: %s", body)
	}
	if e := decodeError(t, data); e.Code != int(result.AnswerIncomplete) || e.NotRun {
		t.Errorf("the stream ended with %s, want answer_incomplete and a request that may have run", data)
	}
	if n := len(f.Engines[0].ReceivedRequests()) + len(f.Engines[1].ReceivedRequests()); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
}

// TestStreamCutBeforeFirstEventIsRetried guards against a failure that the caller sees
// although it received nothing yet: the engine restarts before the first event.
func TestStreamCutBeforeFirstEventIsRetried(t *testing.T) {
	o := standin.DefaultEngineOptions
	o.Prefill = 300 * time.Millisecond
	f := fleettest.Start(t, fleettest.Options{Engines: 2, EngineOptions: o})
	done := make(chan string, 1)
	go func() {
		status, body := f.Chat(context.Background(), 0, "garrafon", "mine", true)
		done <- fmt.Sprintf("%d %s", status, body)
	}()
	f.Eventually("an engine has the request", func() bool { return f.Engines[0].Running()+f.Engines[1].Running() == 1 })
	for _, e := range f.Engines {
		if e.Running() == 1 {
			e.Restart()
		}
	}
	if got := <-done; !strings.HasPrefix(got, "200 ") || !fleettest.IsCompleteStream(got) {
		t.Errorf("answered %s", got)
	}
}

// TestRetryBudgetBoundsAttempts guards against retries that multiply the load when every
// attempt fails: without a budget 200 requests become 600 attempts.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	const requests, percent, maxSavedRetries = 200, 10, 20
	f := fleettest.Start(t, fleettest.Options{Engines: 3, Rules: fleet.Rules{RetryPercent: percent}})
	for range requests {
		f.Chat(context.Background(), 0, "garrafon", "poison", false)
	}
	sent := 0
	for _, e := range f.Engines {
		sent += len(e.ReceivedRequests())
	}
	if limit := requests + requests*percent/100 + maxSavedRetries; sent > limit {
		t.Errorf("%d requests became %d attempts at the engines, want at most %d", requests, sent, limit)
	}
}
