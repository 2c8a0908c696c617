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

// row is a row as the platform's store sends it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r *row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// rowAnswer is an answer about rows.
type rowAnswer struct {
	Rows      []row    `json:"rows"`
	Parts     []string `json:"parts,omitempty"`
	Truncated bool     `json:"truncated"`
	Ver       int64    `json:"ver"`
	NowMs     int64    `json:"nowMs"`
}

// rowStore keeps rows and their history.
type rowStore struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	ver     int64
	history []row
	dropped int64 // newest version whose history is gone
	changed chan struct{}
}

func newRowStore() *rowStore {
	return &rowStore{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

const (
	// maxRows is the largest number of rows in one answer.
	maxRows = 500
	// maxWait bounds a wait for changes.
	maxWait = 30 * time.Second
)

// transaction is the body of a transaction.
type transaction struct {
	If     []row `json:"expectedRevision"`
	Puts   []row `json:"puts"`
	Remove []row `json:"remove"`
}

// apply applies the transaction, or returns the rows of its conditions.
func (s *rowStore) apply(tx *transaction) (rowAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	current := []row{}
	for _, c := range tx.If {
		now, exists := s.rows[c.key()]
		held = held && now.Ver == c.Ver
		if exists {
			current = append(current, now)
		}
	}
	if !held {
		return s.answer(current), false
	}
	s.ver++
	for _, r := range tx.Puts {
		r.Ver = s.ver
		s.rows[r.key()] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Remove {
		delete(s.rows, r.key())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.answer(nil), true
}

func (s *rowStore) answer(rows []row) rowAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowAnswer{Rows: rows, Ver: s.ver, NowMs: time.Since(s.started).Milliseconds()}
}

// find returns the rows of a range in the order of their keys.
func (s *rowStore) find(table, part, from, to string, limit int) rowAnswer {
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
	answer := s.answer(found)
	answer.Truncated = truncated
	return answer
}

// parts returns the parts of the table.
func (s *rowStore) parts(table string) rowAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := make(map[string]bool)
	for key := range s.rows {
		if key.Table == table {
			parts[key.Part] = true
		}
	}
	answer := s.answer(nil)
	answer.Parts = slices.Sorted(maps.Keys(parts))
	return answer
}

// changes returns the changes after the version and a channel that is closed at
// the next change. It returns false if they are no longer kept.
func (s *rowStore) changes(table string, after int64) (rowAnswer, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return rowAnswer{}, nil, false
	}
	var rows []row
	for _, r := range s.history {
		if r.Table == table && r.Ver > after {
			rows = append(rows, r)
		}
	}
	return s.answer(rows), s.changed, true
}

// forget drops the history.
func (s *rowStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.ver
}

// Forget drops the store's history of changes.
func (p *Platform) Forget() { p.rows.forget() }

func (p *Platform) rowsTx(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, held := p.rows.apply(&tx)
	switch {
	case !held:
		writeJSON(w, http.StatusPreconditionFailed, answer)
	case p.take(func(f *Faults) *int { return &f.LoseAnswers }):
		dropAnswer(w)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func (p *Platform) rowsGet(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, maxRows)
	}
	writeJSON(w, http.StatusOK, p.rows.find(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit))
}

func (p *Platform) rowsParts(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	writeJSON(w, http.StatusOK, p.rows.parts(r.URL.Query().Get("table")))
}

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
		waitMs = 0 // a call without a wait is answered at once
	}
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWait))
	for {
		answer, changed, kept := p.rows.changes(q.Get("table"), after)
		if !kept {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(answer.Rows) > 0 || waitMs <= 0 {
			writeJSON(w, http.StatusOK, answer)
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

// PutRow writes a row as an operator or an engine does.
func (p *Platform) PutRow(table, part, key string, value []byte) {
	p.rows.apply(&transaction{Puts: []row{{Table: table, Part: part, Key: key, Value: value}}})
}

// RemoveRow removes a row as an operator or an engine does.
func (p *Platform) RemoveRow(table, part, key string) {
	p.rows.apply(&transaction{Remove: []row{{Table: table, Part: part, Key: key}}})
}
