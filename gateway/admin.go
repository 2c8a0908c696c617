package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

// adminRoutes returns the routes for operators. Each of them needs the operators' key.
func (g *Gateway) adminRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/admin/config", Handler: g.withOperator(g.showConfig)},
		{Method: http.MethodPost, Path: "/admin/config", Handler: g.withOperator(g.applyConfig)},
		{Method: http.MethodGet, Path: "/admin/history", Handler: g.withOperator(g.showHistory)},
		{Method: http.MethodGet, Path: "/admin/keys", Handler: g.withOperator(g.listKeys)},
		{Method: http.MethodPost, Path: "/admin/keys", Handler: g.withOperator(g.issueKey)},
		{Method: http.MethodPost, Path: "/admin/keys/withdraw", Handler: g.withOperator(g.withdrawKey)},
		{Method: http.MethodPost, Path: "/admin/data-centres", Handler: g.withOperator(g.setDataCentre)},
		{Method: http.MethodGet, Path: "/admin/status", Handler: g.withOperator(g.showStatus)},
		{Method: http.MethodGet, Path: "/admin/in-force", Handler: g.withOperator(g.showInForce)},
		{Method: http.MethodGet, Path: "/admin/upstreams", Handler: g.withOperator(g.showUpstreams)},
		{Method: http.MethodGet, Path: "/admin/workspaces", Handler: g.withOperator(g.showWorkspaces)},
		{Method: http.MethodGet, Path: BurnPath, Handler: g.withOperator(g.showBurn)},
		{Method: http.MethodGet, Path: "/admin/jobs", Handler: g.withOperator(g.showJobs)},
		{Method: http.MethodGet, Path: "/admin/jobs/:id", Handler: g.withOperator(g.showJob)},
	}
}

// ChangeMetadata holds the fields that all requests to change the configuration share.
type ChangeMetadata struct {
	// Operation is the ID of the change. Requests with the same ID take effect once.
	Operation string `json:"operation"`
	// Author names who makes the change.
	Author string `json:"author"`
}

// ApplyRequest asks to replace the inventory.
type ApplyRequest struct {
	ChangeMetadata
	// BaseVersion is the version of the configuration that the inventory was made
	// against. The request fails if another version is current. 0 allows any version.
	BaseVersion uint64 `json:"base"`
	// Inventory is the YAML text of the inventory.
	Inventory string `json:"inventory"`
}

// ApplyResponse answers an accepted change.
type ApplyResponse struct {
	// Version is the version of the configuration that contains the change.
	Version uint64 `json:"version"`
}

// ConfigResponse describes the configuration in force on the gateway.
type ConfigResponse struct {
	// Version is the version in force.
	Version uint64 `json:"version"`
	// Inventory is the YAML text of the inventory.
	Inventory string `json:"inventory"`
	// TakenOut lists the names of the data centres that are taken out.
	TakenOut []string `json:"out"`
}

// DataCentreRequest asks to take a data centre out of service or to return it.
type DataCentreRequest struct {
	ChangeMetadata
	// Name is the name of the data centre.
	Name string `json:"name"`
	// TakeOut is true to take the data centre out, and false to return it.
	TakeOut bool `json:"out"`
}

// maxAdminBodyBytes is the largest body of an operator's request.
const maxAdminBodyBytes = 32 << 20

// decodeAdminRequest reads the JSON body of an operator's request. Unknown fields are
// ignored.
func decodeAdminRequest[T any](g *Gateway, w http.ResponseWriter, r *http.Request) (T, error) {
	var value T
	body, err := g.readBody(w, r, maxAdminBodyBytes)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, result.Errorf(result.BadRequest, "the body is not valid JSON: %v", err)
	}
	return value, nil
}

// applyAndRespond applies the change and responds with its version.
func (g *Gateway) applyAndRespond(w http.ResponseWriter, r *http.Request, change configstore.Change) error {
	head, err := g.applyChange(r.Context(), change)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, ApplyResponse{Version: head.Version})
	return nil
}

// applyChange applies the change and returns the head of the version that contains it. If
// the change takes effect in this call, it puts that version in force on this gateway at
// once, so that other daemons can get it from here even if the store becomes unavailable.
// It returns an error with code result.BadRequest if the change has no operation ID, and
// otherwise the error of configstore.Store.Apply.
func (g *Gateway) applyChange(ctx context.Context, change configstore.Change) (fleet.Head, error) {
	if change.Operation == "" {
		return fleet.Head{}, result.Errorf(result.BadRequest, "field \"operation\" is missing or empty; set it to an ID that is unique to the change")
	}
	change.OnAccepted = func(head fleet.Head, state fleet.State) {
		g.board.PublishAccepted(&blackboard.Config{View: fleet.NewView(state), Head: head})
	}
	head, err := g.configs.Apply(ctx, change)
	if err == nil {
		g.board.ObserveVersion(head.Version)
	}
	return head, err
}

// applyConfig replaces the inventory. It fails with result.ConfigInvalid if the new one
// has an error.
func (g *Gateway) applyConfig(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdminRequest[ApplyRequest](g, w, r)
	if err != nil {
		return err
	}
	inv, err := config.ParseInventory("inventory", []byte(req.Inventory))
	if err != nil {
		return result.Errorf(result.ConfigInvalid, "%v", err)
	}
	return g.applyAndRespond(w, r, configstore.Change{
		Operation:   req.Operation,
		Author:      req.Author,
		Summary:     "inventory",
		BaseVersion: req.BaseVersion,
		Edit: func(s fleet.State) (fleet.State, error) {
			s.Inventory = inv
			return s, nil
		},
	})
}

func (g *Gateway) showConfig(w http.ResponseWriter, _ *http.Request, _ string) error {
	view := g.view()
	if view == nil {
		return result.New(result.ConfigMissing, result.NotRun)
	}
	text, err := config.FormatInventory(&view.Inventory)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, ConfigResponse{Version: view.Version, Inventory: string(text), TakenOut: view.TakenOut})
	return nil
}

// historyPageSize is the number of versions in one response.
const historyPageSize = 100

// showHistory lists the accepted versions that follow the version in the parameter after,
// or all if it is missing. A malformed parameter is an error.
func (g *Gateway) showHistory(w http.ResponseWriter, r *http.Request, _ string) error {
	var after uint64
	if value := r.URL.Query().Get("after"); value != "" {
		var err error
		if after, err = strconv.ParseUint(value, 10, 64); err != nil {
			return result.Errorf(result.BadRequest, "parameter \"after\" must be a version: %v", err)
		}
	}
	heads, err := g.configs.History(r.Context(), after, historyPageSize)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, heads)
	return nil
}

func (g *Gateway) setDataCentre(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdminRequest[DataCentreRequest](g, w, r)
	if err != nil {
		return err
	}
	summary := "return data centre " + req.Name
	if req.TakeOut {
		summary = "take out data centre " + req.Name
	}
	return g.applyAndRespond(w, r, configstore.Change{
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   summary,
		Edit:      func(s fleet.State) (fleet.State, error) { return setTakenOut(s, req.Name, req.TakeOut) },
	})
}

// setTakenOut returns s with the data centre taken out, or returned if takeOut is false. It
// fails with result.UnknownName if the inventory has no such data centre.
func setTakenOut(s fleet.State, name string, takeOut bool) (fleet.State, error) {
	hasName := func(dc fleet.DataCentre) bool { return dc.Name == name }
	if !slices.ContainsFunc(s.Inventory.DataCentres, hasName) {
		return s, result.Errorf(result.UnknownName, "data centre %q is not in the inventory", name)
	}
	s.TakenOut = slices.DeleteFunc(slices.Clone(s.TakenOut), func(dc string) bool { return dc == name })
	if takeOut {
		s.TakenOut = append(s.TakenOut, name)
	}
	return s, nil
}
