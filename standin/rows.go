package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row.
type rowKey struct{ Table, Part, Key string }

// row is a row as the row store of the platform encodes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r *row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// rowResponse is a response of the row store.
type rowResponse struct {
	Rows      []row    `json:"rows"`
	Parts     []string `json:"parts,omitempty"`
	Truncated bool     `json:"truncated"`
	Version   int64    `json:"ver"`
	NowMs     int64    `json:"nowMs"`
}

// rowStore holds the rows of all tables and the history of their changes.
type rowStore struct {
	started time.Time // zero of the clock of the store

	mu             sync.Mutex // guards the fields below
	rows           map[rowKey]row
	version        int64         // version of the last transaction
	history        []row         // oldest change first; removed rows are tombstones
	droppedVersion int64         // changes up to this version are no longer kept
	changed        chan struct{} // closed and replaced at each change
}

func newRowStore() *rowStore {
	return &rowStore{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

const (
	// maxResponseRows is the maximum number of rows in the response to one range read.
	maxResponseRows = 500
	// maxFeedWait bounds how long a call of the feed waits for changes.
	maxFeedWait = 30 * time.Second
)

// transaction is the request body of a transaction.
type transaction struct {
	If     []row `json:"expectedRevision"`
	Puts   []row `json:"puts"`
	Remove []row `json:"remove"`
}

// apply applies the transaction and returns true. If a condition does not hold, it changes
// nothing and returns false with the current rows that the conditions name.
func (s *rowStore) apply(tx *transaction) (rowResponse, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conditionsHold := true
	current := []row{}
	for _, c := range tx.If {
		found, exists := s.rows[c.key()]
		conditionsHold = conditionsHold && found.Version == c.Version
		if exists {
			current = append(current, found)
		}
	}
	if !conditionsHold {
		return s.response(current), false
	}
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.key()] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Remove {
		delete(s.rows, r.key())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.response(nil), true
}

// response returns a response with the rows. The caller holds mu.
func (s *rowStore) response(rows []row) rowResponse {
	if rows == nil {
		rows = []row{}
	}
	return rowResponse{Rows: rows, Version: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

// list returns the rows of a range, sorted by key and at most limit. An empty to leaves
// the range without an upper bound.
func (s *rowStore) list(table, part, from, to string, limit int) rowResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for key, r := range s.rows {
		if key.Table == table && key.Part == part && key.Key >= from && (to == "" || key.Key < to) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	truncated := len(found) > limit
	if truncated {
		found = found[:limit]
	}
	response := s.response(found)
	response.Truncated = truncated
	return response
}

// parts returns the names of the parts of the table that contain rows.
func (s *rowStore) parts(table string) rowResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[string]bool)
	for key := range s.rows {
		if key.Table == table {
			parts[key.Part] = true
		}
	}
	response := s.response(nil)
	response.Parts = slices.Sorted(maps.Keys(parts))
	return response
}

// changes returns the changes of the table after the given version, and a channel that is
// closed at the next change of any table. It returns false if the changes are no longer
// kept.
func (s *rowStore) changes(table string, after int64) (rowResponse, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedVersion {
		return rowResponse{}, nil, false
	}
	var rows []row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			rows = append(rows, r)
		}
	}
	return s.response(rows), s.changed, true
}

// dropHistory drops the changes up to now.
func (s *rowStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// DropHistory makes the row store drop its history of changes. A follower that needs older
// changes gets status 410.
func (p *Platform) DropHistory() { p.rows.dropHistory() }

// rowsTx handles a transaction. It responds with status 412 if a condition does not hold.
func (p *Platform) rowsTx(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, applied := p.rows.apply(&tx)
	switch {
	case !applied:
		writeJSON(w, http.StatusPreconditionFailed, resp)
	case p.takeFault(func(f *Faults) *int { return &f.DropResponses }):
		dropConnection(w)
	default:
		writeJSON(w, http.StatusOK, resp)
	}
}

// rowsGet handles a range read.
func (p *Platform) rowsGet(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	q := r.URL.Query()
	limit := maxResponseRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxResponseRows)
	}
	writeJSON(w, http.StatusOK, p.rows.list(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit))
}

// rowsParts handles a read of the names of parts.
func (p *Platform) rowsParts(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	writeJSON(w, http.StatusOK, p.rows.parts(r.URL.Query().Get("table")))
}

// rowsFeed handles a read of changes. If there are none, it waits for one up to the
// waitMs of the request. It responds with status 410 if the changes are no longer kept.
func (p *Platform) rowsFeed(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err != nil {
		waitMs = 0 // without a wait the response is immediate
	}
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxFeedWait))
	for {
		resp, changed, kept := p.rows.changes(q.Get("table"), after)
		if !kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(resp.Rows) > 0 || waitMs <= 0 {
			writeJSON(w, http.StatusOK, resp)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// PutRow writes a row without conditions, in place of an operator or an engine.
func (p *Platform) PutRow(table, part, key string, value []byte) {
	p.rows.apply(&transaction{Puts: []row{{Table: table, Part: part, Key: key, Value: value}}})
}

// RemoveRow removes a row without conditions, in place of an operator or an engine.
func (p *Platform) RemoveRow(table, part, key string) {
	p.rows.apply(&transaction{Remove: []row{{Table: table, Part: part, Key: key}}})
}
