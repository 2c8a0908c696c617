//go:build review

package cases

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from the operators' pages.
const (
	storeDelay  = 4 * time.Millisecond
	maxTxRows   = 100
	maxTxBytes  = 1 << 20
	maxGetRows  = 500
	maxGetBytes = 1 << 20
	maxRowBytes = 64 << 10
)

// RowKey identifies a row.
type RowKey struct{ Table, Part, Key string }

// Row is a row on the wire.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       *int64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r *Row) key() RowKey { return RowKey{r.Table, r.Part, r.Key} }

type change struct {
	RowKey
	ver     int64
	deleted bool
}

// Store is the platform's metadata store in memory.
type Store struct {
	Address string

	server  *http.Server
	started time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[RowKey]Row
	changes []change
}

// StartStore starts a store on a free port.
func StartStore() *Store {
	s := &Store{started: time.Now(), rows: make(map[RowKey]Row)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-parts", s.parts)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.Address, s.server = serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	}))
	return s
}

// Close stops the store.
func (s *Store) Close() { s.server.Close() }

func (s *Store) nowMs() int64 { return time.Since(s.started).Milliseconds() + 1000 }

// Put writes a row as the operator or an engine does and returns the version.
func (s *Store) Put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(Row{Table: table, Key: key, Value: data})
	return s.ver
}

// Remove removes a row as the operator or an engine does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.remove(RowKey{Table: table, Key: key})
}

func (s *Store) put(r Row) {
	ver := s.ver
	r.Ver = &ver
	s.rows[r.key()] = r
	s.changes = append(s.changes, change{r.key(), ver, false})
}

func (s *Store) remove(k RowKey) {
	if _, ok := s.rows[k]; ok {
		delete(s.rows, k)
		s.changes = append(s.changes, change{k, s.ver, true})
	}
}

func (s *Store) respond(w http.ResponseWriter, status int, fields map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

// tx applies a transaction.
func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	var tx struct {
		If     []Row `json:"expectedRevision"`
		Put    []Row `json:"puts"`
		Remove []Row `json:"remove"`
	}
	if err != nil || json.Unmarshal(data, &tx) != nil || len(data) > maxTxBytes || len(tx.If)+len(tx.Put)+len(tx.Remove) > maxTxRows {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(tx.Put, tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(p.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, current := true, []Row{}
	for _, c := range tx.If {
		row, found := s.rows[c.key()]
		if found {
			current = append(current, row)
		}
		if found && (c.Ver == nil || *row.Ver != *c.Ver) || !found && c.Ver != nil && *c.Ver != 0 {
			ok = false
		}
	}
	if !ok {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "nowMs": s.nowMs()})
		return
	}
	s.ver++
	for _, p := range tx.Put {
		s.put(p)
	}
	for _, d := range tx.Remove {
		s.remove(d.key())
	}
	s.respond(w, http.StatusOK, map[string]any{"ver": s.ver, "nowMs": s.nowMs()})
}

// get returns a range of rows.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxGetRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxGetRows)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for k, row := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= maxGetBytes*3/4) {
		size += len(rows[n].Value)
		n++
	}
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:n], "truncated": n < len(rows), "ver": s.ver, "nowMs": s.nowMs()})
}

// parts lists the parts of a table.
func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.Table == q.Get("table") && (q.Get("after") == "" || k.Part > q.Get("after")) {
			seen[k.Part] = true
		}
	}
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	s.respond(w, http.StatusOK, map[string]any{"parts": parts, "truncated": false, "ver": s.ver, "nowMs": s.nowMs()})
}

// feed returns what changed after a version. It answers at once: the daemons do not wait.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[RowKey]change)
	for _, c := range s.changes {
		if c.Table == q.Get("table") && c.ver > after {
			last[c.RowKey] = c
		}
	}
	rows := []Row{}
	for k, c := range last {
		if row, ok := s.rows[k]; ok {
			rows = append(rows, row)
			continue
		}
		ver := c.ver
		rows = append(rows, Row{Table: k.Table, Part: k.Part, Key: k.Key, Ver: &ver, Tombstone: true})
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(*a.Ver - *b.Ver) })
	s.respond(w, http.StatusOK, map[string]any{"rows": rows, "ver": s.ver, "nowMs": s.nowMs()})
}
