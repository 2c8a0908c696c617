package rates

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/store/storetest"
)

// clockedStore answers with the machine's clock and can be made unavailable.
type clockedStore struct {
	*storetest.Store
	mu          sync.Mutex
	unavailable bool
}

func (s *clockedStore) withStoreTime(r store.Response, err error) (store.Response, error) {
	r.StoreTime = time.Duration(clock.Now())
	return r, err
}

func (s *clockedStore) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// Get implements store.Store.
func (s *clockedStore) Get(ctx context.Context, r store.Range) (store.Response, error) {
	if s.isUnavailable() {
		return store.Response{}, store.ErrNotExecuted
	}
	return s.withStoreTime(s.Store.Get(ctx, r))
}

// Commit implements store.Store.
func (s *clockedStore) Commit(ctx context.Context, tx store.Tx) (store.Response, error) {
	if s.isUnavailable() {
		return store.Response{}, store.ErrNotExecuted
	}
	return s.withStoreTime(s.Store.Commit(ctx, tx))
}

// TestDaemonsTogetherStayAtTheRate sends more requests than the rate to several daemons
// whose buckets are full, while the store becomes unavailable and available again.
// Daemons learn of each other's admissions with a delay.
func TestDaemonsTogetherStayAtTheRate(t *testing.T) {
	const (
		daemons = 5
		rate    = 40.0
		delay   = 30 * time.Millisecond
		window  = 2 * time.Second
	)
	rows := &clockedStore{Store: storetest.New()}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	boards := make([]*blackboard.EntryBoard, daemons)
	for i := range boards {
		b := blackboard.NewEntryBoard()
		b.Catalog.Publish(catalog.New(catalog.Content{Workspaces: []*catalog.Workspace{{Name: "w", Rate: rate, Burst: rate}}}))
		b.Roster.Publish(&blackboard.Roster{Members: make([]blackboard.Peer, daemons), Loaded: true})
		b.ReportingDaemons.Store(daemons)
		boards[i] = b
		running.Add(1)
		go func() {
			defer running.Done()
			New(b, rows, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}).Run(ctx)
		}()
	}
	defer running.Wait()
	defer cancel()
	limiter := func(i int) *blackboard.RateLimiter { return boards[i].RateLimiters.Value().ByWorkspace["w"] }
	time.Sleep(1200 * time.Millisecond) // the estimated buckets fill

	var admitted []time.Time
	begin := time.Now()
	exchanged := begin
	for n := 0; time.Since(begin) < 5*time.Second; n++ {
		rows.mu.Lock()
		rows.unavailable = time.Since(begin) > 2*time.Second && time.Since(begin) < 3500*time.Millisecond
		rows.mu.Unlock()
		if time.Since(exchanged) > delay {
			exchanged = time.Now()
			for i := range boards {
				var peers int64
				for other := range boards {
					if other != i {
						peers += limiter(other).AdmittedHere.Load()
					}
				}
				limiter(i).AdmittedByPeers.Store(peers)
			}
		}
		s := limiter(n % daemons)
		s.TokensRequested.Add(1)
		if s.Take(s.Grant.Value(), clock.Now()) {
			admitted = append(admitted, time.Now())
		}
		time.Sleep(3 * time.Millisecond)
	}
	// 10% and 20 requests above the rate and the burst are allowed.
	allowed := int((rate*window.Seconds()+rate)*1.1 + 20)
	for i, first := range admitted {
		last, _ := slices.BinarySearchFunc(admitted, first.Add(window), time.Time.Compare)
		if last-i > allowed {
			t.Fatalf("%d requests were admitted within %v, want at most %d", last-i, window, allowed)
		}
	}
	if got, least := len(admitted), int(0.7*5*rate); got < least {
		t.Errorf("%d requests were admitted in 5s, want at least %d", got, least)
	}
	t.Logf("%d admitted in 5s", len(admitted))
}
