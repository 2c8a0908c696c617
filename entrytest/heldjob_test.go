package entrytest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestHeldItemsRunBeforeTheirJobIsDue guards against items that wait for a trial of their
// quarantined segment until long after their job is due, although nothing but a run of
// theirs would clear it. The segment crashes no engine after the first two runs.
func TestHeldItemsRunBeforeTheirJobIsDue(t *testing.T) {
	const items, due = 2, 18 * time.Second
	f := newFleet(t)
	deadly := &crashes{harmlessAfter: 2}
	f.startCrashingEngines(4, deadly)
	d := f.start("entry-1")
	f.start("entry-2")
	var body []object
	for i := range items {
		body = append(body, object{"id": fmt.Sprintf("h-%d", i), "path": "/jobs/h", "headers": object{"Prompt-Prefix": prompt(deadlySegment)}, "body": "", "tokens": 10})
	}
	data, err := json.Marshal(object{"items": body})
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	if got := d.send(t.Context(), t, request{path: "/jobs/h", id: "h", key: key, body: string(data)}); got.status != http.StatusAccepted {
		t.Fatalf("status %d", got.status)
	}
	for time.Since(begin) < due {
		if page, _ := d.readResults(t, "h", 0); len(page.Results) == items {
			return
		}
	}
	page, _ := d.readResults(t, "h", 0)
	t.Errorf("%d of %d items have a result when the job is due; engines received %d runs", len(page.Results), items, deadly.since(time.Time{}))
}
