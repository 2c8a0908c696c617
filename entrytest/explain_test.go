package entrytest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/ctl"
	"github.com/baobablanding/baobablanding/standin"
)

// traceOutput returns the output of baobabctl trace for the ID and the directory of logs.
func traceOutput(t *testing.T, logs, id string) string {
	t.Helper()
	var out, errOut strings.Builder
	if code := ctl.Main([]string{"trace", id, logs}, &out, &errOut); code != ctl.ExitOK {
		t.Fatalf("trace %s: exit code %d: %s", id, code, errOut.String())
	}
	return out.String()
}

// checkInOrder checks that the output of baobabctl trace contains the texts in this
// order.
func checkInOrder(t *testing.T, output string, texts ...string) {
	t.Helper()
	rest := output
	for _, text := range texts {
		_, after, found := strings.Cut(rest, text)
		if !found {
			t.Fatalf("the trace does not contain %q in its place:\n%s", text, output)
		}
		rest = after
	}
}

// TestFailedRequestsAreExplainedByLogsAlone guards against failures whose cause an
// operator cannot find in the logs. It runs the three cases of docs/OPERATIONS.md on a
// daemon in its own process: a cut stream, a failed batch job and a request rejected
// without the store.
func TestFailedRequestsAreExplainedByLogsAlone(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, n int) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/once/"):
			cutAfter(2)(e, w, r, n)
		case strings.HasSuffix(r.URL.Path, "/1"):
			w.WriteHeader(http.StatusInternalServerError)
		default:
			stream(e, w, r, n)
		}
	})
	logs := t.TempDir()
	p := newProcess(t, buildProgram(t), logs, "entry-1", strings.TrimPrefix(f.store.URL(), "http://"))
	p.start()
	d := p.entry
	eventually(t, "process is ready", d.ready)

	d.send(t.Context(), t, request{path: "/once/a", id: "broken-stream", key: key})
	d.submitJob(t, "job", 3, 10)
	eventually(t, "the job is done", func() bool {
		page, _ := d.readResults(t, "job", 0)
		return len(page.Results) == 3
	})
	f.store.SetFaults(standin.Faults{Outage: true})
	refused := ""
	eventually(t, "a request within its rate is rejected", func() bool {
		time.Sleep(100 * time.Millisecond)
		refused = fmt.Sprintf("refused-%d", ids.Add(1))
		return d.send(t.Context(), t, request{path: "/resume/a", id: refused, key: key}).status == http.StatusServiceUnavailable
	})
	time.Sleep(300 * time.Millisecond) // the log is written asynchronously

	checkInOrder(t, traceOutput(t, logs, "broken-stream"), "attempt failed", "engine=i-1", "request was not served", "result=answer_incomplete")
	checkInOrder(t, traceOutput(t, logs, "job-1"), "batch job was accepted", "item runs again", "engine=i-1",
		"item is given up", "failed=3", "reason=every attempt failed")
	checkInOrder(t, traceOutput(t, logs, refused), "store is unavailable", "request was not served", "reading_age=", "result=config_stale")
}

// TestMetricsReportStateOfDaemon guards against metrics that are missing or have wrong
// values.
func TestMetricsReportStateOfDaemon(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", stream)
	d := f.start("entry-1")
	resp, err := http.Get("http://" + d.settings.MetricsAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		"baobab_entry_reading_age_seconds 0.", "baobab_entry_daemons_heard 1", "baobab_entry_engines 1",
		"baobab_entry_engines_avoided 0", "baobab_entry_items_waiting 0", "baobab_entry_config_version 4",
	} {
		if !strings.Contains(string(body), line) {
			t.Errorf("metrics contain no line %q", line)
		}
	}
}
