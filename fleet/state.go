package fleet

import (
	"slices"
	"strings"
	"time"
)

// KeyDigest is the SHA-256 digest of a key. Keys themselves are never stored.
type KeyDigest [32]byte

// Key is a key that was issued to a workspace.
type Key struct {
	// ID identifies the key in commands and logs.
	ID string `json:"id"`
	// Digest is compared with the digest of the key that a request carries.
	Digest KeyDigest `json:"digest"`
	// Workspace is the name of the workspace that owns the key.
	Workspace string `json:"workspace"`
	// IssuedAt is when the key was issued.
	IssuedAt time.Time `json:"issued"`
	// WithdrawnAt is when the key was withdrawn, or zero for a valid key.
	WithdrawnAt time.Time `json:"withdrawn,omitzero"`
}

// State is one version of the configuration: the inventory, the keys and the data
// centres that are taken out.
type State struct {
	// Version increases by one with each accepted change.
	Version uint64
	// Inventory is the operators' description of the fleet.
	Inventory Inventory
	// Keys lists all keys, withdrawn ones too.
	Keys []Key
	// TakenOut lists the names of the data centres that are taken out and get no new
	// work.
	TakenOut []string
}

// View is a State with lookup tables for the request path. It is immutable and may
// be used by several goroutines.
type View struct {
	State

	workspaces map[string]*Workspace
	keys       map[KeyDigest]*Key // withdrawn ones too
	models     map[string]*Model
	vms        map[string]*VM
	upstreams  map[string]*Upstream
	routes     []*Route        // longest prefix first
	takenOut   map[string]bool // data centres that are taken out
}

// NewView returns the view of s. The caller must not modify what s refers to
// afterwards.
func NewView(s State) *View {
	v := &View{
		State:      s,
		workspaces: make(map[string]*Workspace, len(s.Inventory.Workspaces)),
		keys:       make(map[KeyDigest]*Key, len(s.Keys)),
		models:     make(map[string]*Model, len(s.Inventory.Models)),
		vms:        make(map[string]*VM, len(s.Inventory.VMs)),
		upstreams:  make(map[string]*Upstream, len(s.Inventory.Upstreams)),
		takenOut:   make(map[string]bool, len(s.TakenOut)),
	}
	inv := &v.Inventory
	for i := range inv.Workspaces {
		v.workspaces[inv.Workspaces[i].Name] = &inv.Workspaces[i]
	}
	for i := range v.Keys {
		v.keys[v.Keys[i].Digest] = &v.Keys[i]
	}
	for i := range inv.Models {
		v.models[inv.Models[i].Name] = &inv.Models[i]
	}
	for i := range inv.VMs {
		v.vms[inv.VMs[i].Name] = &inv.VMs[i]
	}
	for i := range inv.Upstreams {
		v.upstreams[inv.Upstreams[i].Name] = &inv.Upstreams[i]
	}
	for i := range inv.Routes {
		v.routes = append(v.routes, &inv.Routes[i])
	}
	slices.SortStableFunc(v.routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	for _, dc := range s.TakenOut {
		v.takenOut[dc] = true
	}
	return v
}

// Workspace returns the named workspace, or nil.
func (v *View) Workspace(name string) *Workspace { return v.workspaces[name] }

// Key returns the key with the digest, or nil. The key may be withdrawn.
func (v *View) Key(d KeyDigest) *Key { return v.keys[d] }

// Model returns the named model, or nil.
func (v *View) Model(name string) *Model { return v.models[name] }

// VM returns the named VM, or nil.
func (v *View) VM(name string) *VM { return v.vms[name] }

// Upstream returns the named upstream, or nil.
func (v *View) Upstream(name string) *Upstream { return v.upstreams[name] }

// Route returns the route with the longest prefix that matches path, or nil. A
// prefix matches whole path segments only.
func (v *View) Route(path string) *Route {
	for _, r := range v.routes {
		if matchesPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// matchesPrefix reports whether path is prefix or is below it.
func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// IsTakenOut reports whether the data centre is taken out.
func (v *View) IsTakenOut(dataCentre string) bool { return v.takenOut[dataCentre] }

// DataCentreOf returns the data centre of the upstream's VM, or "" if the inventory
// lacks the VM.
func (v *View) DataCentreOf(u *Upstream) string {
	if vm := v.vms[u.VM]; vm != nil {
		return vm.DataCentre
	}
	return ""
}

// CanUse reports whether the workspace may use the model.
func (w *Workspace) CanUse(model string) bool {
	return len(w.Models) == 0 || slices.Contains(w.Models, model)
}

// IsIdempotent reports whether a request with the method may run more than once on the
// route.
func (r *Route) IsIdempotent(method string) bool {
	return slices.Contains(r.Idempotent, method)
}
