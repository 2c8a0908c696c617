package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"path"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/store"
)

// Platform is an in-memory stand-in of the platform's services.
type Platform struct {
	faultSwitch
	server *httpserve.Server
	reads  atomic.Int64
	writes atomic.Int64

	rows *rowStore

	mu      sync.Mutex
	objects map[string][]byte
	vms     []store.VM
}

// StartPlatform starts the stand-in at the address.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{
		rows:    newRowStore(),
		objects: make(map[string][]byte),
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
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

func (p *Platform) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/rows-tx", Handler: p.guard(p.rowsTx)},
		{Method: http.MethodGet, Path: "/v1/rows-get", Handler: p.guard(p.rowsGet)},
		{Method: http.MethodGet, Path: "/v1/rows-parts", Handler: p.guard(p.rowsParts)},
		{Method: http.MethodGet, Path: "/v1/rows-feed", Handler: p.guard(p.rowsFeed)},
		{Method: http.MethodGet, Path: "/v1/blob-get/:name", Handler: p.guard(p.getObject)},
		{Method: http.MethodPut, Path: "/v1/blob-put/:name", Handler: p.guard(p.putObject)},
		{Method: http.MethodDelete, Path: "/v1/blob-drop/:name", Handler: p.guard(p.deleteObject)},
		{Method: http.MethodGet, Path: platform.VMsPath, Handler: p.guard(p.listVMs)},
		{Method: http.MethodPut, Path: platform.VMsPath, Handler: p.putVMs},
	}
	return append(routes, p.faultSwitch.routes()...)
}

// answerWrite acknowledges a write, unless its answer is to be lost.
func (p *Platform) answerWrite(w http.ResponseWriter) {
	if p.take(func(f *Faults) *int { return &f.LoseAnswers }) {
		dropAnswer(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// objectName returns the name of the object that the request's path ends with.
func objectName(r *http.Request) string { return path.Base(r.URL.Path) }

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	p.mu.Lock()
	data, ok := p.objects[objectName(r)]
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
	p.objects[objectName(r)] = data
	p.mu.Unlock()
	p.answerWrite(w)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	p.mu.Lock()
	delete(p.objects, objectName(r))
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
	var vms []store.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

// Table returns a client of the stand-in's table.
func (p *Platform) Table(timeout time.Duration) store.Table {
	return platform.NewTable(p.URL(), timeout)
}

// Objects returns a client of the stand-in's object store.
func (p *Platform) Objects(timeout time.Duration) store.Objects {
	return platform.NewObjects(p.URL(), timeout)
}

// errBadBody reports a body that a stand-in cannot parse.
var errBadBody = errors.New("standin: malformed body")
