package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/platform"
)

// Platform is an in-memory stand-in of the platform's services.
type Platform struct {
	faultSwitch
	server *httpserve.Server
	reads  atomic.Int64
	writes atomic.Int64

	mu      sync.Mutex
	records map[string]platform.Record
	version uint64
	objects map[string][]byte
	vms     []platform.VM

	weights    sync.Mutex
	weightTime time.Duration
}

// weightLoadTime is how long the weight store takes for one load.
const weightLoadTime = 500 * time.Millisecond

// StartPlatform starts the stand-in at the address.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{
		records:    make(map[string]platform.Record),
		objects:    make(map[string][]byte),
		weightTime: weightLoadTime,
	}
	server, err := httpserve.Listen(address, p.routes(), httpserve.Options{})
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// URL returns the base address of every service.
func (p *Platform) URL() string { return "http://" + p.server.Addr() }

// Shutdown stops the stand-in.
func (p *Platform) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

// Close stops the stand-in at once.
func (p *Platform) Close() { p.server.Close() }

// Calls returns the number of reads and writes so far.
func (p *Platform) Calls() (reads, writes int64) { return p.reads.Load(), p.writes.Load() }

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

func (p *Platform) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: platform.RecordPath, Handler: p.guard(p.getRecord)},
		{Method: http.MethodGet, Path: platform.ScanPath, Handler: p.guard(p.scan)},
		{Method: http.MethodPost, Path: platform.CommitPath, Handler: p.guard(p.commit)},
		{Method: http.MethodGet, Path: platform.ObjectPath, Handler: p.guard(p.getObject)},
		{Method: http.MethodPut, Path: platform.ObjectPath, Handler: p.guard(p.putObject)},
		{Method: http.MethodDelete, Path: platform.ObjectPath, Handler: p.guard(p.deleteObject)},
		{Method: http.MethodGet, Path: platform.VMsPath, Handler: p.guard(p.listVMs)},
		{Method: http.MethodPut, Path: platform.VMsPath, Handler: p.putVMs},
		{Method: http.MethodPost, Path: platform.LoadPath, Handler: p.guard(p.loadWeights)},
	}
	return append(routes, p.faultSwitch.routes()...)
}

func (p *Platform) getRecord(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	p.mu.Lock()
	record, ok := p.records[r.URL.Query().Get("key")]
	p.mu.Unlock()
	known, _ := strconv.ParseUint(r.URL.Query().Get("known"), 10, 64)
	switch {
	case !ok:
		http.Error(w, "no such record", http.StatusNotFound)
	case known != 0 && record.Version == known:
		w.WriteHeader(http.StatusNotModified)
	default:
		writeJSON(w, http.StatusOK, record)
	}
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "bad limit", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, p.find(q.Get("prefix"), q.Get("after"), limit))
}

func (p *Platform) find(prefix, after string, limit int) []platform.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := []platform.Record{}
	for _, key := range slices.Sorted(maps.Keys(p.records)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		found = append(found, p.records[key])
		if len(found) == limit {
			break
		}
	}
	return found
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	var ops []platform.Op
	if err := json.NewDecoder(r.Body).Decode(&ops); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.apply(ops) {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	p.answerWrite(w)
}

// answerWrite acknowledges a write, unless its answer is to be lost.
func (p *Platform) answerWrite(w http.ResponseWriter) {
	if p.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		dropAnswer(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// apply applies all operations, or none if a condition does not hold.
func (p *Platform) apply(ops []platform.Op) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, op := range ops {
		if !op.Any && p.records[op.Key].Version != op.Version {
			return false
		}
	}
	p.version++
	for _, op := range ops {
		switch op.Kind {
		case platform.Put:
			p.records[op.Key] = platform.Record{Key: op.Key, Value: op.Value, Version: p.version}
		case platform.Delete:
			delete(p.records, op.Key)
		}
	}
	return true
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	p.mu.Lock()
	data, ok := p.objects[r.URL.Query().Get("name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[r.URL.Query().Get("name")] = data
	p.mu.Unlock()
	p.answerWrite(w)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	p.mu.Lock()
	delete(p.objects, r.URL.Query().Get("name"))
	p.mu.Unlock()
	p.answerWrite(w)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.reads.Add(1)
	p.mu.Lock()
	vms := slices.Clone(p.vms)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, vms)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

// loadWeights hands out weights, one load at a time.
func (p *Platform) loadWeights(w http.ResponseWriter, r *http.Request) {
	if !p.weights.TryLock() {
		http.Error(w, "weight store is busy", http.StatusTooManyRequests)
		return
	}
	defer p.weights.Unlock()
	if wait(r, p.weightTime) {
		w.WriteHeader(http.StatusNoContent)
	}
}

// Table returns a client of the stand-in's table.
func (p *Platform) Table(timeout time.Duration) platform.Table {
	return platform.NewTable(p.URL(), timeout)
}

// Objects returns a client of the stand-in's object store.
func (p *Platform) Objects(timeout time.Duration) platform.Objects {
	return platform.NewObjects(p.URL(), timeout)
}

// errBadBody reports a body that a stand-in cannot parse.
var errBadBody = errors.New("standin: malformed body")
