package entrytest

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// contactTime is the time after which all daemons must know what one of them found.
const contactTime = 3 * time.Second

// TestSegmentThatCrashesEnginesIsQuarantined guards against requests that crash one engine
// after the other, from all daemons, since they have one prompt segment in common.
func TestSegmentThatCrashesEnginesIsQuarantined(t *testing.T) {
	f := newFleet(t)
	deadly := new(crashes)
	f.startCrashingEngines(6, deadly)
	daemons := []*entry{f.start("entry-1"), f.start("entry-2")}
	var mu sync.Mutex
	served := make(map[time.Time]bool) // by the time at which a sound request was sent
	var requests sync.WaitGroup
	for start, i := time.Now(), 0; time.Since(start) < 12*time.Second; i++ {
		requests.Go(func() {
			d, sent := daemons[i%2], time.Now()
			if i%8 < 2 {
				d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Prompt-Prefix": prompt("5afe01", deadlySegment)}})
				return
			}
			got := d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Prompt-Prefix": prompt("5afe01", "5afe02")}})
			mu.Lock()
			defer mu.Unlock()
			served[sent] = got.status == http.StatusOK && got.err == nil
		})
		time.Sleep(30 * time.Millisecond)
	}
	requests.Wait()
	if len(deadly.at) == 0 {
		t.Fatal("no request with the deadly segment reached an engine")
	}
	known := deadly.at[min(len(deadly.at), 5)-1] // the fifth one, or the last if there are fewer
	if n := deadly.since(known.Add(contactTime)); n > 3 {
		t.Errorf("%d requests with a segment that crashes engines reached engines later than %v after the fifth one, want at most 3", n, contactTime)
	}
	sound, ok := 0, 0
	for sent, wasServed := range served {
		if sent.Before(known.Add(2 * contactTime)) {
			continue
		}
		sound++
		if wasServed {
			ok++
		}
	}
	if sound < 20 || ok < sound/2 {
		t.Errorf("%d of %d sound requests were served, want at least half of 20 or more", ok, sound)
	}
}
