package entrytest

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// metric returns the value of the metric, which is named with its labels, as text. It is
// empty if the daemon has no such metric.
func (d *entry) metric(t *testing.T, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + d.settings.MetricsAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			return value
		}
	}
	return ""
}

// TestCutStreamIsCounted guards against streams that end without a whole answer and of which
// no metric tells.
func TestCutStreamIsCounted(t *testing.T) {
	f := newFleet(t)
	f.startEngine("i-1", cutAfter(2))
	d := f.start("entry-1")
	if got := d.send(t.Context(), t, request{path: "/once/a", key: key}); got.status != http.StatusOK || got.err == nil {
		t.Fatalf("answered %d %q %v, want a stream that is cut", got.status, got.body, got.err)
	}
	const name = `baobab_http_ended_requests_total{cause="given_up"}`
	if got := d.metric(t, name); got != "1" {
		t.Errorf("%s is %q, want 1", name, got)
	}
}
