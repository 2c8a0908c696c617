package entrytest

import (
	"net/http"
	"sync"
	"sync/atomic"
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
	var served, soundRequests atomic.Int64
	var requests sync.WaitGroup
	var fifth time.Time // when the fifth request reached an engine
	for start, i := time.Now(), 0; time.Since(start) < 12*time.Second; i++ {
		if fifth.IsZero() && deadly.since(start) >= 5 {
			fifth = time.Now()
		}
		settled := !fifth.IsZero() && time.Since(fifth) > 2*contactTime
		requests.Go(func() {
			d := daemons[i%2]
			if i%8 < 2 {
				d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Prompt-Prefix": prompt("5afe01", deadlySegment)}})
				return
			}
			got := d.send(t.Context(), t, request{path: "/resume/a", key: key, header: map[string]string{"Prompt-Prefix": prompt("5afe01", "5afe02")}})
			if settled {
				soundRequests.Add(1)
				if got.status == http.StatusOK && got.err == nil {
					served.Add(1)
				}
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	requests.Wait()
	if fifth.IsZero() {
		t.Fatal("fewer than five requests reached engines")
	}
	if n := deadly.since(fifth.Add(contactTime)); n > 3 {
		t.Errorf("%d requests with a segment that crashes engines reached engines later than %v after the fifth one, want at most 3", n, contactTime)
	}
	if s, all := served.Load(), soundRequests.Load(); all < 20 || s < all/2 {
		t.Errorf("%d of %d sound requests were served, want at least half of 20 or more", s, all)
	}
}
