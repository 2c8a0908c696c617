//go:build review

package cases

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct{ Table, Part, Key string }

// row is a row as it is sent.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rowsResponse is the response to every call about rows.
type rowsResponse struct {
	Rows      []row    `json:"rows"`
	Parts     []string `json:"parts,omitempty"`
	Truncated bool     `json:"truncated"`
	Version   int64    `json:"ver"`
	NowMs     int64    `json:"nowMs"`
}

const (
	// storeDelay is the time that the store takes for each call.
	storeDelay = 4 * time.Millisecond
	// partTime is the time that a part takes for a transaction: partWritesS is 200. Beyond
	// maxPartWait of waiting transactions it rejects them.
	partTime, maxPartWait = 5 * time.Millisecond, time.Second
	// pageRows and pageBytes bound the response to a range read.
	pageRows, pageBytes = 500, 1 << 20
)

// store is a stand-in of the platform's metadata store. It loses nothing and is linearizable.
type store struct {
	started time.Time
	mux     *http.ServeMux

	mu      sync.Mutex
	free    map[string]time.Time // by part: when its waiting transactions are done
	rows    map[rowKey]row
	version int64
	history []row
}

// newStore returns an empty store. Machines reach it through doors.
func newStore() *store {
	s := &store{started: time.Now(), mux: http.NewServeMux(), rows: make(map[rowKey]row), free: make(map[string]time.Time)}
	s.mux.HandleFunc("POST /v1/rows-tx", s.transact)
	s.mux.HandleFunc("GET /v1/rows-get", s.get)
	s.mux.HandleFunc("GET /v1/rows-parts", s.parts)
	s.mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return s
}

// door is the address at which one machine reaches the store.
type door struct {
	Address string
	store   *store
	closed  atomic.Bool // connections are reset
}

// newDoor opens a door on a free loopback port.
func (s *store) newDoor() (*door, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{Address: listener.Addr().String(), store: s}
	go http.Serve(listener, d)
	return d, nil
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.closed.Load() {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	}
	d.store.mux.ServeHTTP(w, r)
}

// respond sends the rows. The caller holds mu.
func (s *store) respond(w http.ResponseWriter, status int, r rowsResponse) {
	if r.Rows == nil {
		r.Rows = []row{}
	}
	r.Version, r.NowMs = s.version, time.Since(s.started).Milliseconds()
	data, _ := json.Marshal(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

// commit applies puts and removals. The caller holds mu.
func (s *store) commit(puts, removals []row) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range removals {
		delete(s.rows, rowKey{r.Table, r.Part, r.Key})
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Tombstone: true})
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		If     []row `json:"expectedRevision"`
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.awaitTurn(partOf(tx.Puts, tx.Remove, tx.If)) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, c := range tx.If {
		found, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		holds = holds && found.Version == c.Version
		if ok {
			current = append(current, found)
		}
	}
	if !holds {
		s.respond(w, http.StatusPreconditionFailed, rowsResponse{Rows: current})
		return
	}
	s.commit(tx.Puts, tx.Remove)
	s.respond(w, http.StatusOK, rowsResponse{})
}

// partOf returns the part of a transaction, which is that of its first entry.
func partOf(entries ...[]row) string {
	for _, rows := range entries {
		if len(rows) > 0 {
			return rows[0].Part
		}
	}
	return ""
}

// awaitTurn waits until the part has done the transactions before this one, and this one. It
// returns false at once if more than maxPartWait of them is waiting.
func (s *store) awaitTurn(part string) bool {
	s.mu.Lock()
	now, start := time.Now(), s.free[part]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > maxPartWait {
		s.mu.Unlock()
		return false
	}
	done := start.Add(partTime)
	s.free[part] = done
	s.mu.Unlock()
	time.Sleep(time.Until(done))
	return true
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (!q.Has("to") || k.Key < q.Get("to")) {
			found = append(found, v)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, size := 0, 0
	for n < len(found) && n < limit && (n == 0 || size+len(found[n].Value)*4/3 < pageBytes) {
		size += len(found[n].Value) * 4 / 3
		n++
	}
	s.respond(w, http.StatusOK, rowsResponse{Rows: found[:n], Truncated: n < len(found)})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make(map[string]bool)
	for k := range s.rows {
		if k.Table == r.URL.Query().Get("table") && k.Part >= r.URL.Query().Get("after") {
			names[k.Part] = true
		}
	}
	var parts []string
	for name := range names {
		parts = append(parts, name)
	}
	sort.Strings(parts)
	s.respond(w, http.StatusOK, rowsResponse{Parts: parts})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	time.Sleep(storeDelay)
	for {
		s.mu.Lock()
		var changed []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after {
				changed = append(changed, h)
			}
		}
		if len(changed) > 0 || !time.Now().Before(deadline) {
			s.respond(w, http.StatusOK, rowsResponse{Rows: changed})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(storeDelay)
	}
}

// put writes a row as the operator or an engine does. It returns once the store has
// accepted the row.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]row{{Table: table, Key: key, Value: data}}, nil)
}

// remove removes a row as the platform does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(nil, []row{{Table: table, Key: key}})
}
