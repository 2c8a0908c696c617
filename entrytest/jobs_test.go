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

// results is a page of a job's results as callers read it.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID, State, Output string
	} `json:"results"`
}

// jobBody returns a job of n items with the tokens each.
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

func (d *entry) submit(t *testing.T, id string, n, tokens int) int {
	t.Helper()
	return d.send(t.Context(), t, request{path: "/jobs/" + id, id: id, key: key, body: jobBody(id, n, tokens)}).status
}

func (d *entry) read(t *testing.T, id string, after int) (results, int) {
	t.Helper()
	got := d.send(t.Context(), t, request{
		method: http.MethodGet, path: fmt.Sprintf("/v1/lots/%s?after=%d", id, after), key: key,
		header: map[string]string{"Wait-Ms": "300"},
	})
	var page results
	if got.status == http.StatusOK {
		if err := json.Unmarshal([]byte(got.body), &page); err != nil {
			t.Fatal(err)
		}
	}
	return page, got.status
}

// complete waits until the job has all results and checks them.
func (d *entry) complete(t *testing.T, id string, n int, output string) results {
	t.Helper()
	var page results
	eventually(t, "job "+id+" is complete", func() bool {
		page, _ = d.read(t, id, 0)
		return len(page.Results) == n
	})
	seen := make(map[string]bool)
	for _, r := range page.Results {
		if seen[r.ID] || !strings.HasPrefix(r.ID, id+"-") || r.State != "completed" || r.Output != output {
			t.Errorf("result %+v", r)
		}
		seen[r.ID] = true
	}
	if page.Total != n || page.Next != n {
		t.Errorf("total %d next %d, want %d", page.Total, page.Next, n)
	}
	return page
}

const wholeOutput = "event 1\nevent 2\nevent 3\nevent 4\nevent 5"

func TestJobIsAcceptedOnceAndReadByPosition(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	a, b := f.start("entry-1"), f.start("entry-2")
	for _, d := range []*entry{a, b, a} {
		if status := d.submit(t, "j", 6, 10); status != http.StatusAccepted {
			t.Fatalf("status %d", status)
		}
	}
	first := a.complete(t, "j", 6, wholeOutput)
	second := b.complete(t, "j", 6, wholeOutput)
	for i := range first.Results {
		if first.Results[i] != second.Results[i] {
			t.Errorf("position %d holds %v and %v", i, first.Results[i], second.Results[i])
		}
	}
	if page, _ := b.read(t, "j", 4); len(page.Results) != 2 || page.Results[0] != first.Results[4] {
		t.Errorf("from position 4: %+v", page)
	}
	got := b.send(t.Context(), t, request{method: http.MethodGet, path: "/v1/items/j?id=j-3", key: key})
	if got.status != http.StatusOK || got.body != itemBody("j", 3) {
		t.Errorf("body of an item: %d %q", got.status, got.body)
	}
}

func TestWaitingTokensOfAWorkspaceAreBounded(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(_ *engine, _ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	a, b := f.start("entry-1"), f.start("entry-2")
	if status := a.submit(t, "j1", 6, 100); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	if status := b.submit(t, "j2", 5, 100); status != http.StatusTooManyRequests {
		t.Errorf("a job beyond the limit: status %d, want 429", status)
	}
	if status := b.submit(t, "j3", 4, 100); status != http.StatusAccepted {
		t.Errorf("a job that fits: status %d", status)
	}
	if got := a.send(t.Context(), t, request{method: http.MethodDelete, path: "/v1/lots/j1", key: key}); got.status != http.StatusOK {
		t.Fatalf("end: status %d", got.status)
	}
	if status := b.submit(t, "j2", 5, 100); status != http.StatusAccepted {
		t.Errorf("after the end of a job: status %d", status)
	}
}

func TestEndedJobStops(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", func(_ *engine, _ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() })
	a, b := f.start("entry-1"), f.start("entry-2")
	a.submit(t, "j", 20, 10)
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
		t.Errorf("%d items of an ended job were started", e.count()-before)
	}
	if page, status := a.read(t, "j", 0); status != http.StatusOK || page.Total != 20 {
		t.Errorf("ended job: %d %+v", status, page)
	}
}

func TestItemsThatBreakOffGoOnElsewhere(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", cutAfter(2))
	f.startEngine("i-2", stream)
	d := f.start("entry-1")
	d.submit(t, "j", 8, 10)
	d.complete(t, "j", 8, wholeOutput)
}

func TestItemsThatCannotBeDoneAreGivenUp(t *testing.T) {
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
	d.submit(t, "j", 4, 10)
	var page results
	eventually(t, "the job has all results", func() bool {
		page, _ = d.read(t, "j", 0)
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

func TestJobOutlivesItsDaemon(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, e.events, 100*time.Millisecond)
	})
	a := f.start("entry-1")
	b := f.start("entry-2")
	if status := a.submit(t, "j", 12, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	eventually(t, "items run", func() bool { return e.count() > 2 })
	a.kill()
	b.complete(t, "j", 12, wholeOutput)
}

func TestJobOutlivesAllDaemons(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, e.events, 100*time.Millisecond)
	})
	daemons := []*entry{f.start("entry-1"), f.start("entry-2")}
	daemons[0].submit(t, "j", 9, 10)
	for _, d := range daemons {
		d.kill()
	}
	f.start("entry-1").complete(t, "j", 9, wholeOutput)
}

func TestLostAnswersOfTheStoreNeitherLoseNorRepeatResults(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	d := f.start("entry-1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for ctx.Err() == nil {
			f.store.Set(standin.Faults{LoseAnswers: 1})
			time.Sleep(30 * time.Millisecond)
		}
	}()
	eventually(t, "the job is accepted", func() bool { return d.submit(t, "j", 10, 10) == http.StatusAccepted })
	d.complete(t, "j", 10, wholeOutput)
}

func TestOnlineRequestsTakeSlotsFromItems(t *testing.T) {
	f := newFleet(t)
	e := f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, _ int) {
		streamUntil(e, w, r, e.events, 300*time.Millisecond)
	})
	d := f.start("entry-1")
	d.submit(t, "j", 20, 10)
	eventually(t, "items fill the engine", func() bool { return e.count() >= 8 })
	replies := make(chan reply, 8)
	for range cap(replies) {
		go func() { replies <- d.send(t.Context(), t, request{path: "/once/a", key: key}) }()
	}
	for range cap(replies) {
		if got := <-replies; got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
			t.Errorf("status %d", got.status)
		}
	}
	eventually(t, "items were cut and go on", func() bool {
		for n := range e.count() {
			r := e.request(n)
			if strings.HasPrefix(r.URL.Path, "/jobs/") && r.Header.Get("Last-Event-Id") != "" {
				return true
			}
		}
		return false
	})
}

func TestLostStoreIsToldAtOnce(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	d := f.start("entry-1")
	if status := d.submit(t, "j", 1, 10); status != http.StatusAccepted {
		t.Fatalf("status %d", status)
	}
	f.store.Set(standin.Faults{Delay: time.Minute}) // silent
	time.Sleep(2500 * time.Millisecond)
	for _, call := range []struct {
		name string
		send func() int
	}{
		{"submission", func() int { return d.submit(t, "k", 1, 10) }},
		{"reading", func() int { _, status := d.read(t, "j", 0); return status }},
	} {
		begin := time.Now()
		status := call.send()
		if took := time.Since(begin); status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
			t.Errorf("%s: status %d after %v", call.name, status, took)
		}
	}
}
