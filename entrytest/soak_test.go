package entrytest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/loopback"
)

var (
	soakFirst  = flag.Uint64("soak.first", 1, "first seed of the soak")
	soakSeeds  = flag.Int("soak.seeds", 2, "number of seeds of the soak, besides the regression seeds")
	soakLength = flag.Duration("soak.length", 10*time.Second, "time during which faults begin")
	soakSize   = flag.Int("soak.daemons", 4, "number of daemons in the soak")
)

// regressionSeeds are seeds that failed before, each with the cause. TestSoak always runs
// them.
var regressionSeeds = []uint64{
	// A cancellation took effect but its response was lost; the check wrongly took the
	// job for not cancelled.
	442,
}

// Bounds that the checks apply. Those of the settings are in settingsFile.
const (
	revokeTime = 3 * time.Second
	cancelTime = 3 * time.Second
	drainTime  = 2 * time.Second
	// recoveryTime is the time within which all daemons must serve, and accepted jobs must
	// complete, after the last fault.
	recoveryTime = 12 * time.Second
	rateWindow   = 5 * time.Second
	soakRate     = 60
)

// arrival is a request that an engine received and did not reject.
type arrival struct {
	id, engine  string
	at          time.Time
	once        bool
	item        bool
	lastEventID string
}

// soakDaemon is a daemon with its proxies: callers connect to it through front, and it
// connects to the store through store.
type soakDaemon struct {
	name         string
	process      *process
	front, store *loopback.Proxy
}

// soak runs daemons in processes of their own, injects faults from outside and checks
// what callers and engines see.
type soak struct {
	t           *testing.T
	fleet       *fleet
	daemons     []*soakDaemon
	engines     []*engine
	engineLinks []*loopback.Proxy
	keys        []string
	began       time.Time
	silentUntil atomic.Int64 // Unix time in ns until which the engines send no events

	mu             sync.Mutex
	arrivals       []arrival
	keyWithdrawnAt time.Time // of the second key
	failures       []string
	log            []string
}

// logf adds a line with the time since the start of the soak to its log.
func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// fail records a failed check.
func (s *soak) fail(format string, args ...any) {
	s.logf("FAIL "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// TestSoak guards against lost or repeated work, cut requests and withdrawn keys that
// still work when several faults of links, daemons, the store and engines overlap. Each
// seed gives one random schedule of faults; the -soak flags choose the seeds. For a seed
// that fails, the test prints the faults and failed checks and keeps the directory with
// the daemons' logs.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	seeds := append([]uint64{}, regressionSeeds...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, program, seed) })
	}
}

func runSeed(t *testing.T, program string, seed uint64) {
	logs, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	s := newSoak(t, program, logs)
	random := rand.New(rand.NewPCG(seed, 0))
	c := &callers{s: s}
	ctx, stop := context.WithCancel(t.Context())
	c.run(ctx, seed)
	s.injectFaults(ctx, s.schedule(random, *soakLength))
	s.waitRecovered()
	s.checkPlannedWork(c)
	stop()
	c.wg.Wait()
	s.checkJobs(c)
	s.check(c)
	s.logf("%s", c.summary())
	if len(s.failures) == 0 {
		t.Log(c.summary())
		os.RemoveAll(logs)
		return
	}
	t.Errorf("seed %d, logs in %s:\n%s", seed, logs, strings.Join(s.log, "\n"))
}

// newSoak starts a store, three engines and the daemons, all behind proxies, and waits
// until the daemons are ready.
func newSoak(t *testing.T, program, logs string) *soak {
	s := &soak{t: t, fleet: newFleet(t), keys: []string{key, "key-b"}, began: time.Now()}
	s.fleet.config["tenants"] = []object{{"name": tenant, "apiKeys": s.keys, "ratePerS": soakRate, "burst": soakRate}}
	s.fleet.publish()
	for i := range 3 {
		e := s.fleet.startEngine(fmt.Sprintf("i-%d", i), s.behave)
		link := newProxy(t, e.address)
		e.address = link.Address()
		s.fleet.register(e, "ready", 0)
		s.engines, s.engineLinks = append(s.engines, e), append(s.engineLinks, link)
	}
	for i := range *soakSize {
		name := fmt.Sprintf("entry-%d", i)
		store := newProxy(t, strings.TrimPrefix(s.fleet.store.URL(), "http://"))
		p := newProcess(t, program, logs, name, store.Address())
		s.daemons = append(s.daemons, &soakDaemon{name: name, process: p, store: store, front: newProxy(t, p.entry.settings.CallerAddress)})
	}
	s.each(func(d *soakDaemon) { d.process.start() })
	for _, d := range s.daemons {
		eventually(t, d.name+" is ready", d.process.ready)
	}
	return s
}

// behave is the behaviour of the engines. It rejects every 17th request, loses the
// response of every 23rd and cuts every 19th, if that is a stream, after half of its
// events.
func (s *soak) behave(e *engine, w http.ResponseWriter, r *http.Request, number int) {
	id := r.Header.Get("Request-Id")
	a := arrival{id: id, engine: e.id, at: time.Now(), once: strings.HasPrefix(r.URL.Path, "/once/"),
		item: strings.HasPrefix(r.URL.Path, "/jobs/"), lastEventID: r.Header.Get("Last-Event-Id")}
	if got := r.Header.Get("Tenant"); got != tenant {
		s.fail("%s reached %s for workspace %q", id, e.id, got)
	}
	if r.Header.Get("Authorization") != "" {
		s.fail("%s reached %s with the API key of its caller", id, e.id)
	}
	if number%17 == 0 {
		reject(e, w, r, number)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	switch {
	case number%23 == 0:
		panic(http.ErrAbortHandler) // the request ran and its response is lost
	case strings.HasPrefix(r.URL.Path, "/repeat/"):
		_, _ = w.Write([]byte("answer to " + id))
	default:
		s.stream(w, r, id, number%19 == 0)
	}
}

const (
	soakEventCount    = 8
	soakEventInterval = 40 * time.Millisecond
)

func soakEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// soakStream returns the stream of the request from the event with the number from on.
func soakStream(id string, from int) string {
	var b strings.Builder
	for n := from; n <= soakEventCount; n++ {
		b.WriteString(soakEvent(id, n))
	}
	return b.String()
}

// stream sends the stream from the first requested event on, or half of it if cut is set.
func (s *soak) stream(w http.ResponseWriter, r *http.Request, id string, cut bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := firstEvent(r); n <= soakEventCount; n++ {
		if !sleepUntil(r.Context(), s.silentUntil.Load()) {
			return
		}
		if _, err := w.Write([]byte(soakEvent(id, n))); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if cut && n == soakEventCount/2 {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(soakEventInterval)
	}
}

// sleepUntil waits until the Unix time in ns. It reports false if ctx is done before.
func sleepUntil(ctx context.Context, unixNano int64) bool {
	select {
	case <-time.After(time.Until(time.Unix(0, unixNano))):
		return true
	case <-ctx.Done():
		return false
	}
}

// withdrawKey withdraws the second key of the workspace, once per soak.
func (s *soak) withdrawKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keyWithdrawnAt.IsZero() {
		return
	}
	s.fleet.config["tenants"].([]object)[0]["apiKeys"] = []string{key}
	s.fleet.publish()
	s.keyWithdrawnAt = time.Now()
}

// waitRecovered resumes and starts the daemons that do not run, and waits until every
// daemon serves a request.
func (s *soak) waitRecovered() {
	s.each(func(d *soakDaemon) {
		d.process.signal(syscall.SIGCONT)
		if d.process.wait(0) {
			d.process.start()
		}
	})
	begin := time.Now()
	for _, d := range s.daemons {
		viaProxy := &entry{settings: d.process.entry.settings}
		viaProxy.settings.CallerAddress = d.front.Address()
		served := func() bool {
			id := fmt.Sprintf("recovered-%d", ids.Add(1))
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
			defer cancel()
			return viaProxy.send(ctx, s.t, request{path: "/repeat/" + id, id: id, key: key}).status == http.StatusOK
		}
		for !served() {
			if time.Since(begin) > recoveryTime {
				s.fail("%s does not serve %v after the last fault ended", d.name, recoveryTime)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.logf("all daemons serve again")
}
