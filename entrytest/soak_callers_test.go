package entrytest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a caller as the caller saw it.
type attempt struct {
	id, kind, key string
	sent, ended   time.Time
	status        int // 0 without an answer
	whole         bool
	body          string
	daemon        *soakDaemon
}

// soakJob is a batch job as its caller saw it.
type soakJob struct {
	id       string
	items    int
	sent     time.Time
	accepted bool // one submission was answered 202
	refused  bool // every submission was answered "not run"
	endAsked bool // it may have taken effect without an answer
	ended    time.Time
	results  []string // by position: id, state and output
}

// callers send requests to the daemons of a soak until they are stopped.
type callers struct {
	s  *soak
	wg sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
	jobs     []*soakJob
}

const (
	onlineCallers   = 10
	attemptTimeout  = 4 * time.Second
	onlinePause     = 20 * time.Millisecond
	jobInterval     = 700 * time.Millisecond
	jobTimeout      = 3 * time.Second
	maxJobItems     = 6
	submissionTries = 6
)

// run starts the callers; they send until ctx is done.
func (c *callers) run(ctx context.Context, seed uint64) {
	for i := range onlineCallers {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.online(ctx, i, rand.New(rand.NewPCG(seed, uint64(i))))
		}()
	}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.batch(ctx, rand.New(rand.NewPCG(seed, 1000)))
	}()
}

// online sends requests one after the other. Its connection with a daemon stays
// open as long as the daemon keeps it.
func (c *callers) online(ctx context.Context, n int, random *rand.Rand) {
	clients := make(map[*soakDaemon]*http.Client)
	for i := 0; ctx.Err() == nil; i++ {
		d := c.s.daemons[random.IntN(len(c.s.daemons))]
		if clients[d] == nil {
			clients[d] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		}
		kind := []string{"once", "resume", "repeat"}[random.IntN(3)]
		key := c.s.keys[random.IntN(len(c.s.keys))]
		c.note(c.call(clients[d], d, fmt.Sprintf("%s-%d-%d", kind, n, i), kind, key))
		time.Sleep(onlinePause)
	}
}

func (c *callers) note(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

func (c *callers) call(client *http.Client, d *soakDaemon, id, kind, key string) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	a := attempt{id: id, kind: kind, key: key, sent: time.Now(), daemon: d}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front.address()+"/"+kind+"/"+id, strings.NewReader("body of "+id))
	if err != nil {
		c.s.t.Error(err)
		return a
	}
	req.GetBody = nil // the library must not send it again
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(attemptTimeout.Milliseconds()))
	resp, err := client.Do(req)
	a.ended = time.Now()
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.ended, a.status, a.whole, a.body = time.Now(), resp.StatusCode, err == nil, string(body)
	return a
}

// batch submits jobs and reads their results from time to time.
func (c *callers) batch(ctx context.Context, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		j := &soakJob{id: fmt.Sprintf("job-%d", i), items: 1 + random.IntN(maxJobItems), sent: time.Now()}
		c.jobs = append(c.jobs, j)
		c.submitJob(j, random)
		if j.accepted && random.IntN(8) == 0 {
			c.endJob(j, random)
		}
		for _, old := range c.jobs {
			if old.accepted && random.IntN(3) == 0 {
				c.readJob(old, c.s.daemons[random.IntN(len(c.s.daemons))])
			}
		}
		time.Sleep(jobInterval)
	}
}

// jobCall sends a call about a job on a connection of its own.
func (c *callers) jobCall(d *soakDaemon, r request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	through := &entry{settings: d.process.entry.settings}
	through.settings.Front = d.front.address()
	r.key = c.s.keys[0]
	return through.send(ctx, c.s.t, r)
}

func (c *callers) submitJob(j *soakJob, random *rand.Rand) {
	j.refused = true
	for range submissionTries {
		d := c.s.daemons[random.IntN(len(c.s.daemons))]
		got := c.jobCall(d, request{path: "/jobs/" + j.id, id: j.id, body: jobBody(j.id, j.items, 10)})
		switch got.status {
		case http.StatusAccepted:
			j.accepted, j.refused = true, false
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			j.refused = false
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *callers) endJob(j *soakJob, random *rand.Rand) {
	j.endAsked = true
	d := c.s.daemons[random.IntN(len(c.s.daemons))]
	if got := c.jobCall(d, request{method: http.MethodDelete, path: "/v1/lots/" + j.id}); got.status == http.StatusOK {
		j.ended = time.Now()
	}
}

// readJob reads the job from the start and checks that what was read before stands
// where it stood. It returns whether the job was read.
func (c *callers) readJob(j *soakJob, d *soakDaemon) bool {
	var page results
	got := c.jobCall(d, request{method: http.MethodGet, path: "/v1/lots/" + j.id + "?after=0"})
	if got.status == http.StatusNotFound {
		c.s.fail("accepted job %s is not found at %s", j.id, d.name)
	}
	if got.status != http.StatusOK || got.err != nil {
		return false
	}
	if err := json.Unmarshal([]byte(got.body), &page); err != nil {
		c.s.fail("results of %s: %v", j.id, err)
		return false
	}
	for i, r := range page.Results {
		line := r.ID + " " + r.State + " " + r.Output
		if i < len(j.results) && j.results[i] != line {
			c.s.fail("job %s, position %d: %q became %q", j.id, i, j.results[i], line)
		}
		if i >= len(j.results) {
			j.results = append(j.results, line)
		}
	}
	return true
}
