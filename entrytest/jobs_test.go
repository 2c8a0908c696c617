package entrytest

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/standin"
)

// resultsPage is the response to a read of the results of a job.
type resultsPage struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID, State, Output string
	} `json:"results"`
}

// jobBody returns the request body of a job of n items with that many tokens each.
func jobBody(id string, n, tokens int) string {
	var items []object
	for i := range n {
		items = append(items, object{
			"id": fmt.Sprintf("%s-%d", id, i), "path": fmt.Sprintf("/jobs/%s/%d", id, i),
			"headers": object{"Model": "m"}, "body": base64.StdEncoding.EncodeToString([]byte(itemBody(id, i))), "tokens": tokens,
		})
	}
	data, err := json.Marshal(object{"items": items})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func itemBody(id string, i int) string { return fmt.Sprintf("body of %s %d", id, i) }

// submitJob submits a job of n items and returns the status of the response.
func (d *entry) submitJob(t *testing.T, id string, n, tokens int) int {
	t.Helper()
	return d.send(t.Context(), t, request{path: "/jobs/" + id, id: id, key: key, body: jobBody(id, n, tokens)}).status
}

// readResults reads the results of the job from the position on, and returns them with
// the status of the response. It waits up to 300 ms for results.
func (d *entry) readResults(t *testing.T, id string, after int) (resultsPage, int) {
	t.Helper()
	got := d.send(t.Context(), t, request{
		method: http.MethodGet, path: fmt.Sprintf("/v1/lots/%s?after=%d", id, after), key: key,
		header: map[string]string{"Wait-Ms": "300"},
	})
	var page resultsPage
	if got.status == http.StatusOK {
		if err := json.Unmarshal([]byte(got.body), &page); err != nil {
			t.Fatal(err)
		}
	}
	return page, got.status
}

// checkCompletes waits until the job has n results and checks that each item is completed
// once with the output. It returns the results.
func (d *entry) checkCompletes(t *testing.T, id string, n int, output string) resultsPage {
	t.Helper()
	var page resultsPage
	eventually(t, "job "+id+" is complete", func() bool {
		page, _ = d.readResults(t, id, 0)
		return len(page.Results) == n
	})
	seen := make(map[string]bool)
	for _, r := range page.Results {
		if seen[r.ID] || !strings.HasPrefix(r.ID, id+"-") || r.State != "completed" || r.Output != output {
			t.Errorf("result is of another job, not completed, wrong or there twice: %+v", r)
		}
		seen[r.ID] = true
	}
	if page.Total != n || page.Next != n {
		t.Errorf("total %d and next %d, want %d", page.Total, page.Next, n)
	}
	return page
}

const fullOutput = "event 1\nevent 2\nevent 3\nevent 4\nevent 5"

// TestJobIsAcceptedOnceAndReadByPosition guards against a job that runs twice because it
// is submitted again, also to another daemon, and against daemons that return the results
// of a job in different orders.
func TestJobIsAcceptedOnceAndReadByPosition(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	a, b := f.start("entry-1"), f.start("entry-2")
	for _, d := range []*entry{a, b, a} {
		if status := d.submitJob(t, "j", 6, 10); status != http.StatusAccepted {
			t.Fatalf("status %d", status)
		}
	}
	first := a.checkCompletes(t, "j", 6, fullOutput)
	second := b.checkCompletes(t, "j", 6, fullOutput)
	for i := range first.Results {
		if first.Results[i] != second.Results[i] {
			t.Errorf("position %d holds %v and %v", i, first.Results[i], second.Results[i])
		}
	}
	if page, _ := b.readResults(t, "j", 4); len(page.Results) != 2 || page.Results[0] != first.Results[4] {
		t.Errorf("results from position 4: %+v", page)
	}
	got := b.send(t.Context(), t, request{method: http.MethodGet, path: "/v1/items/j?id=j-3", key: key})
	if got.status != http.StatusOK || got.body != itemBody("j", 3) {
		t.Errorf("body of an item was answered %d %q", got.status, got.body)
	}
}

// TestWaitingTokensOfAWorkspaceAreBounded guards against a limit on waiting tokens that
// each daemon applies to its own jobs only, and against tokens of a cancelled job that
// still count.
func TestWaitingTokensOfAWorkspaceAreBounded(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(_ *engine, _ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	a, b := f.start("entry-1"), f.start("entry-2")
	if status := a.submitJob(t, "j1", 6, 100); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	if status := b.submitJob(t, "j2", 5, 100); status != http.StatusTooManyRequests {
		t.Errorf("submission of a job beyond the limit: status %d, want 429", status)
	}
	if status := b.submitJob(t, "j3", 4, 100); status != http.StatusAccepted {
		t.Errorf("submission of a job within the limit: status %d, want 202", status)
	}
	if got := a.send(t.Context(), t, request{method: http.MethodDelete, path: "/v1/lots/j1", key: key}); got.status != http.StatusOK {
		t.Fatalf("cancellation of a job: status %d, want 200", got.status)
	}
	if status := b.submitJob(t, "j2", 5, 100); status != http.StatusAccepted {
		t.Errorf("submission after the cancellation of a job: status %d, want 202", status)
	}
}

// TestCancelledJobStops guards against items that start after their job was cancelled at
// another daemon than the one that runs it. A second cancellation must succeed as well.
func TestCancelledJobStops(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", func(_ *engine, _ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	a, b := f.start("entry-1"), f.start("entry-2")
	a.submitJob(t, "j", 20, 10)
	eventually(t, "items run", func() bool { return e.count() > 0 })
	for range 2 {
		if got := b.send(t.Context(), t, request{method: http.MethodDelete, path: "/v1/lots/j", key: key}); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	time.Sleep(700 * time.Millisecond)
	before := e.count()
	time.Sleep(500 * time.Millisecond)
	if e.count() != before {
		t.Errorf("%d items of a cancelled job were started", e.count()-before)
	}
	if page, status := a.readResults(t, "j", 0); status != http.StatusOK || page.Total != 20 {
		t.Errorf("read of a cancelled job was answered %d %+v", status, page)
	}
}

// TestCutItemsResumeOnAnotherEngine guards against items whose output lacks events or has
// them twice after an engine cut their stream in the middle of an event.
func TestCutItemsResumeOnAnotherEngine(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", cutAfter(2))
	f.startEngine("i-2", stream)
	d := f.start("entry-1")
	d.submitJob(t, "j", 8, 10)
	d.checkCompletes(t, "j", 8, fullOutput)
}

// TestFailedItemsBecomeDeadLetters guards against a job that never completes because an
// item fails on every attempt, or is invalid for the engine.
func TestFailedItemsBecomeDeadLetters(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/0"):
			w.WriteHeader(http.StatusUnprocessableEntity)
		case strings.HasSuffix(r.URL.Path, "/1"):
			w.WriteHeader(http.StatusInternalServerError)
		default:
			stream(e, w, r, n)
		}
	})
	d := f.start("entry-1")
	d.submitJob(t, "j", 4, 10)
	var page resultsPage
	eventually(t, "the job has all results", func() bool {
		page, _ = d.readResults(t, "j", 0)
		return len(page.Results) == 4
	})
	for _, r := range page.Results {
		want := "completed"
		if r.ID == "j-0" || r.ID == "j-1" {
			want = "dead_letter"
		}
		if r.State != want {
			t.Errorf("%s is %s, want %s", r.ID, r.State, want)
		}
	}
}

// TestJobCompletesAfterItsDaemonIsKilled guards against items that are lost or have two
// results when their daemon is killed and another one claims them.
func TestJobCompletesAfterItsDaemonIsKilled(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, e.eventCount, 100*time.Millisecond)
	})
	a := f.start("entry-1")
	b := f.start("entry-2")
	if status := a.submitJob(t, "j", 12, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	eventually(t, "items run", func() bool { return e.count() > 2 })
	a.kill()
	b.checkCompletes(t, "j", 12, fullOutput)
}

// TestJobCompletesAfterAllDaemonsAreKilled guards against an accepted job that only
// exists in the memory of daemons.
func TestJobCompletesAfterAllDaemonsAreKilled(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, e.eventCount, 100*time.Millisecond)
	})
	daemons := []*entry{f.start("entry-1"), f.start("entry-2")}
	daemons[0].submitJob(t, "j", 9, 10)
	for _, d := range daemons {
		d.kill()
	}
	f.start("entry-1").checkCompletes(t, "j", 9, fullOutput)
}

// TestLostStoreResponsesNeitherLoseNorRepeatResults guards against results that are lost
// or written twice when a write to the store takes effect but its response is lost.
func TestLostStoreResponsesNeitherLoseNorRepeatResults(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	d := f.start("entry-1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			f.store.SetFaults(standin.Faults{DropResponses: 1})
			time.Sleep(30 * time.Millisecond)
		}
	}()
	eventually(t, "the job is accepted", func() bool { return d.submitJob(t, "j", 10, 10) == http.StatusAccepted })
	d.checkCompletes(t, "j", 10, fullOutput)
}

// TestOnlineRequestsPreemptItems guards against online requests that wait for batch
// items: the items fill the engine, some must be preempted and resumed later.
func TestOnlineRequestsPreemptItems(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, e.eventCount, 300*time.Millisecond)
	})
	d := f.start("entry-1")
	d.submitJob(t, "j", 20, 10)
	eventually(t, "items fill the engine", func() bool { return e.count() >= 8 })
	replies := make(chan reply, 8)
	for range cap(replies) {
		go func() { replies <- d.send(t.Context(), t, request{path: "/once/a", key: key}) }()
	}
	for range cap(replies) {
		if got := <-replies; got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
			t.Errorf("online request: status %d, want 200 or 503", got.status)
		}
	}
	eventually(t, "a preempted item is resumed", func() bool {
		for n := range e.count() {
			r := e.request(n)
			if strings.HasPrefix(r.URL.Path, "/jobs/") && r.Header.Get("Last-Event-Id") != "" {
				return true
			}
		}
		return false
	})
}

// TestJobRequestsFailFastWithoutStore guards against callers that wait for the timeout of
// a store call: once the daemon knows that the store does not respond, it must answer 503
// at once.
func TestJobRequestsFailFastWithoutStore(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	d := f.start("entry-1")
	if status := d.submitJob(t, "j", 1, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	f.store.SetFaults(standin.Faults{Delay: time.Minute}) // the store does not respond during the test
	time.Sleep(2500 * time.Millisecond)
	for _, call := range []struct {
		name string
		send func() int
	}{
		{"submission", func() int { return d.submitJob(t, "k", 1, 10) }},
		{"read of results", func() int { _, status := d.readResults(t, "j", 0); return status }},
	} {
		begin := time.Now()
		status := call.send()
		if took := time.Since(begin); status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
			t.Errorf("%s: status %d after %v, want 503 within 200ms", call.name, status, took)
		}
	}
}

// TestItemWithASlowStartCompletes guards against items that begin anew for ever because their
// engine, the only one, needs longer to the first event than one run may be silent.
func TestItemWithASlowStartCompletes(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", slowStart(1700*time.Millisecond))
	d := f.start("entry-1")
	if status := d.submitJob(t, "slow", 1, 1); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	eventually(t, "the item is done", func() bool {
		page, _ := d.readResults(t, "slow", 0)
		return len(page.Results) == 1
	})
	if n := e.count(); n > 3 {
		t.Errorf("the engine received the item %d times, want at most 3", n)
	}
}
