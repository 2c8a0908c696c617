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

// Platform is an in-memory stand-in for the services of the platform: row store, object
// store and VM list. Its methods may be called from several goroutines.
type Platform struct {
	faultInjector
	server *httpserve.Server
	reads  atomic.Int64 // calls so far
	writes atomic.Int64 // calls so far

	rows *rowStore

	mu      sync.Mutex // guards the fields below
	objects map[string][]byte
	vms     []store.VM
}

// StartPlatform starts the stand-in on the listen address. It fails if the address cannot
// be listened on.
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

// URL returns the base URL of all services.
func (p *Platform) URL() string { return "http://" + p.server.Addr() }

// Shutdown waits for the running calls to end and stops the stand-in. It returns an error
// if ctx ends first.
func (p *Platform) Shutdown(ctx context.Context) error { return p.server.Shutdown(ctx) }

// Close stops the stand-in at once and cuts its calls.
func (p *Platform) Close() { p.server.Close() }

// CallCounts returns the number of reads and of writes so far, including those that failed.
// Calls that an outage rejected are not counted.
func (p *Platform) CallCounts() (reads, writes int64) { return p.reads.Load(), p.writes.Load() }

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

func (p *Platform) routes() []rest.Route {
	routes := []rest.Route{
		{Method: http.MethodPost, Path: "/v1/rows-tx", Handler: p.withFaults(p.rowsTx)},
		{Method: http.MethodGet, Path: "/v1/rows-get", Handler: p.withFaults(p.rowsGet)},
		{Method: http.MethodGet, Path: "/v1/rows-parts", Handler: p.withFaults(p.rowsParts)},
		{Method: http.MethodGet, Path: "/v1/rows-feed", Handler: p.withFaults(p.rowsFeed)},
		{Method: http.MethodGet, Path: "/v1/blob-get/:name", Handler: p.withFaults(p.getObject)},
		{Method: http.MethodPut, Path: "/v1/blob-put/:name", Handler: p.withFaults(p.putObject)},
		{Method: http.MethodDelete, Path: "/v1/blob-drop/:name", Handler: p.withFaults(p.deleteObject)},
		{Method: http.MethodGet, Path: platform.VMsPath, Handler: p.withFaults(p.listVMs)},
		{Method: http.MethodPut, Path: platform.VMsPath, Handler: p.putVMs},
	}
	return append(routes, p.faultInjector.routes()...)
}

// respondToWrite acknowledges a write, or drops the connection if DropResponses applies.
func (p *Platform) respondToWrite(w http.ResponseWriter) {
	if p.takeFault(func(f *Faults) *int { return &f.DropResponses }) {
		dropConnection(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// objectName returns the last segment of the path, which names the object.
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
	p.respondToWrite(w)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.writes.Add(1)
	p.mu.Lock()
	delete(p.objects, objectName(r))
	p.mu.Unlock()
	p.respondToWrite(w)
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

// Table returns a new client of the row store as a table of records.
func (p *Platform) Table(timeout time.Duration) store.Table {
	return platform.NewTable(p.URL(), timeout)
}

// Objects returns a new client of the object store.
func (p *Platform) Objects(timeout time.Duration) store.Objects {
	return platform.NewObjects(p.URL(), timeout)
}

// errMalformedBody reports a request body that cannot be parsed.
var errMalformedBody = errors.New("standin: malformed body")
