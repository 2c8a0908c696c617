package gateway

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

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

// KeyRequest issues or withdraws a key.
type KeyRequest struct {
	Edit
	// Workspace is the owner of a new key.
	Workspace string `json:"workspace,omitempty"`
	// ID names the key to withdraw.
	ID string `json:"id,omitempty"`
}

// KeyResponse describes a new key. The key itself is shown only here.
type KeyResponse struct {
	// ID names the key in later commands.
	ID string `json:"id"`
	// Key is the key that callers present.
	Key string `json:"key"`
	// Version is the version of the configuration that holds the key.
	Version uint64 `json:"version"`
}

// KeyInfo describes an issued key.
type KeyInfo struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Issued    time.Time `json:"issued"`
	Withdrawn time.Time `json:"withdrawn,omitzero"`
}

// DataCentreRequest takes a data centre out or returns it.
type DataCentreRequest struct {
	Edit
	// Name is the data centre.
	Name string `json:"name"`
	// Out tells whether the data centre is taken out.
	Out bool `json:"out"`
}

// StatusResponse describes the gateway.
type StatusResponse struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Phase         string `json:"phase"`
	ConfigVersion uint64 `json:"config_version"`
}

// UpstreamInfo describes an upstream as the gateway knows it.
type UpstreamInfo struct {
	Name       string   `json:"name"`
	Kind       string   `json:"kind"`
	DataCentre string   `json:"data_centre"`
	State      string   `json:"state"`
	Connected  bool     `json:"connected"`
	Out        bool     `json:"out"`
	InFlight   int64    `json:"in_flight"`
	Models     []string `json:"models,omitempty"`
}

// JobInfo describes a batch job.
type JobInfo struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	State     string    `json:"state"`
	Items     int       `json:"items"`
	Completed int       `json:"completed"`
	Failed    int       `json:"failed"`
	Created   time.Time `json:"created"`
	Due       time.Time `json:"due"`
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
	change.Accepted = func(head fleet.Head, state fleet.State) {
		g.board.Accept(&blackboard.Config{View: fleet.NewView(state), Head: head})
	}
	head, err := g.configs.Apply(ctx, change)
	if err == nil {
		g.board.Notice(head.Version)
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
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   "inventory",
		Base:      req.Base,
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
	writeJSON(w, http.StatusOK, ConfigResponse{Version: view.Version, Inventory: string(text), Out: view.Out})
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

func (g *Gateway) listKeys(w http.ResponseWriter, _ *http.Request, _ string) error {
	view := g.view()
	if view == nil {
		return result.New(result.ConfigMissing, result.NotRun)
	}
	list := make([]KeyInfo, 0, len(view.Keys))
	for _, k := range view.Keys {
		list = append(list, KeyInfo{ID: k.ID, Workspace: k.Workspace, Issued: k.Issued, Withdrawn: k.Withdrawn})
	}
	slices.SortFunc(list, func(a, b KeyInfo) int { return a.Issued.Compare(b.Issued) })
	writeJSON(w, http.StatusOK, list)
	return nil
}

const (
	keyBytes  = 32
	keyPrefix = "bl-"
	keyIDLen  = 8
)

// newKey returns a random key and its entry for the workspace.
func newKey(workspace string) (string, fleet.Key, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fleet.Key{}, err
	}
	text := keyPrefix + base64.RawURLEncoding.EncodeToString(random)
	digest := sha256.Sum256([]byte(text))
	id := base64.RawURLEncoding.EncodeToString(digest[:])[:keyIDLen]
	return text, fleet.Key{ID: "key-" + id, Digest: digest, Workspace: workspace, Issued: time.Now().UTC()}, nil
}

func (g *Gateway) issueKey(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdmin[KeyRequest](g, w, r)
	if err != nil {
		return err
	}
	text, key, err := newKey(req.Workspace)
	if err != nil {
		return err
	}
	head, err := g.accept(r.Context(), configstore.Change{
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   "issue " + key.ID,
		Edit:      func(s fleet.State) (fleet.State, error) { return addKey(s, key) },
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, KeyResponse{ID: key.ID, Key: text, Version: head.Version})
	return nil
}

func addKey(s fleet.State, key fleet.Key) (fleet.State, error) {
	known := func(w fleet.Workspace) bool { return w.Name == key.Workspace }
	if !slices.ContainsFunc(s.Inventory.Workspaces, known) {
		return s, result.Errorf(result.UnknownName, "workspace %q does not exist", key.Workspace)
	}
	s.Keys = append(slices.Clip(s.Keys), key)
	return s, nil
}

func (g *Gateway) withdrawKey(w http.ResponseWriter, r *http.Request, _ string) error {
	req, err := decodeAdmin[KeyRequest](g, w, r)
	if err != nil {
		return err
	}
	return g.change(w, r, configstore.Change{
		Operation: req.Operation,
		Author:    req.Author,
		Summary:   "withdraw " + req.ID,
		Edit:      func(s fleet.State) (fleet.State, error) { return withdraw(s, req.ID, time.Now().UTC()) },
	})
}

func withdraw(s fleet.State, id string, at time.Time) (fleet.State, error) {
	i := slices.IndexFunc(s.Keys, func(k fleet.Key) bool { return k.ID == id })
	if i < 0 {
		return s, result.Errorf(result.UnknownName, "key %q does not exist", id)
	}
	s.Keys = slices.Clone(s.Keys)
	if s.Keys[i].Withdrawn.IsZero() {
		s.Keys[i].Withdrawn = at
	}
	return s, nil
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
	s.Out = slices.DeleteFunc(slices.Clone(s.Out), func(dc string) bool { return dc == name })
	if out {
		s.Out = append(s.Out, name)
	}
	return s, nil
}

func (g *Gateway) showStatus(w http.ResponseWriter, _ *http.Request, _ string) error {
	status := StatusResponse{
		Name:       g.settings.Name,
		DataCentre: g.settings.DataCentre,
		Phase:      g.board.Phase.Value().String(),
	}
	if view := g.view(); view != nil {
		status.ConfigVersion = view.Version
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

func (g *Gateway) showUpstreams(w http.ResponseWriter, _ *http.Request, _ string) error {
	list := []UpstreamInfo{}
	for _, u := range g.board.Upstreams.Value().All {
		list = append(list, UpstreamInfo{
			Name:       u.Spec.Name,
			Kind:       string(u.Spec.Kind),
			DataCentre: u.DataCentre,
			State:      u.State.String(),
			Connected:  u.Connected,
			Out:        u.Out,
			InFlight:   u.Load.InFlight.Load(),
			Models:     u.Spec.Models,
		})
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

func (g *Gateway) showWorkspaces(w http.ResponseWriter, _ *http.Request, _ string) error {
	view := g.view()
	if view == nil {
		return result.New(result.ConfigMissing, result.NotRun)
	}
	writeJSON(w, http.StatusOK, view.Inventory.Workspaces)
	return nil
}

// maxAdminJobs is the number of jobs in one answer to an operator.
const maxAdminJobs = 1000

func (g *Gateway) showJobs(w http.ResponseWriter, r *http.Request, _ string) error {
	jobs, _, err := g.jobs.Jobs(r.Context(), "", r.URL.Query().Get("after"), maxAdminJobs)
	if err != nil {
		return err
	}
	list := make([]JobInfo, 0, len(jobs))
	for _, j := range jobs {
		p, err := g.jobs.Progress(r.Context(), &j)
		if err != nil {
			return err
		}
		list = append(list, JobInfo{
			ID: j.ID, Workspace: j.Workspace, State: string(j.State), Items: j.Items,
			Completed: p.Completed, Failed: p.Failed, Created: j.Created, Due: j.Due,
		})
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}
