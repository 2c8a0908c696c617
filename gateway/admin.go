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

// Edit is what every change of the configuration has in common.
type Edit struct {
	// Operation identifies the change; repeating it has no further effect.
	Operation string `json:"operation"`
	// Author says who makes the change.
	Author string `json:"author"`
}

// ApplyRequest replaces the inventory.
type ApplyRequest struct {
	Edit
	// Base is the version that the inventory was made against, or 0 for any.
	Base uint64 `json:"base"`
	// Inventory is the YAML text of the inventory.
	Inventory string `json:"inventory"`
}

// ApplyResponse names the accepted version.
type ApplyResponse struct {
	// Version is the accepted version.
	Version uint64 `json:"version"`
}

// ConfigResponse is the configuration in force on the gateway.
type ConfigResponse struct {
	// Version is the version in force.
	Version uint64 `json:"version"`
	// Inventory is the YAML text of the inventory.
	Inventory string `json:"inventory"`
	// Out lists the data centres that are taken out.
	Out []string `json:"out"`
}

// DataCentreRequest takes a data centre out or returns it.
type DataCentreRequest struct {
	Edit
	// Name is the data centre.
	Name string `json:"name"`
	// Out tells whether the data centre is taken out.
	Out bool `json:"out"`
}

// adminBodyLimit is the largest body of an operator's request in bytes.
const adminBodyLimit = 32 << 20

func decodeAdmin[T any](g *Gateway, w http.ResponseWriter, r *http.Request) (T, error) {
	var value T
	body, err := readBody(w, r, adminBodyLimit, g.settings.BodyTimeout)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, result.Errorf(result.BadRequest, "the body is not valid JSON: %v", err)
	}
	return value, nil
}

func (g *Gateway) change(w http.ResponseWriter, r *http.Request, change configstore.Change) error {
	head, err := g.accept(r.Context(), change)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, ApplyResponse{Version: head.Version})
	return nil
}

// accept makes the change and puts it in force here at once, so that peers can
// have it even if the store fails now.
func (g *Gateway) accept(ctx context.Context, change configstore.Change) (fleet.Head, error) {
	if change.Operation == "" {
		return fleet.Head{}, result.Errorf(result.BadRequest, "an operation id is required")
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

func (g *Gateway) applyConfig(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdmin[ApplyRequest](g, w, r)
	if err != nil {
		return err
	}
	inv, err := config.ParseInventory("inventory", []byte(req.Inventory))
	if err != nil {
		return result.Errorf(result.ConfigInvalid, "%v", err)
	}
	return g.change(w, r, configstore.Change{
		Operation:   req.Operation,
		Author:      req.Author,
		Summary:     "inventory",
		BaseVersion: req.Base,
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
	writeJSON(w, http.StatusOK, ConfigResponse{Version: view.Version, Inventory: string(text), Out: view.TakenOut})
	return nil
}

const defaultHistory = 100

func (g *Gateway) showHistory(w http.ResponseWriter, r *http.Request, _ string) error {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	heads, err := g.configs.History(r.Context(), after, defaultHistory)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, heads)
	return nil
}

func (g *Gateway) setDataCentre(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdmin[DataCentreRequest](g, w, r)
	if err != nil {
		return err
	}
	summary := "return data centre " + req.Name
	if req.Out {
		summary = "take out data centre " + req.Name
	}
	return g.change(w, r, configstore.Change{
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   summary,
		Edit:      func(s fleet.State) (fleet.State, error) { return setOut(s, req.Name, req.Out) },
	})
}

func setOut(s fleet.State, name string, out bool) (fleet.State, error) {
	known := func(dc fleet.DataCentre) bool { return dc.Name == name }
	if !slices.ContainsFunc(s.Inventory.DataCentres, known) {
		return s, result.Errorf(result.UnknownName, "data centre %q does not exist", name)
	}
	s.TakenOut = slices.DeleteFunc(slices.Clone(s.TakenOut), func(dc string) bool { return dc == name })
	if out {
		s.TakenOut = append(s.TakenOut, name)
	}
	return s, nil
}
