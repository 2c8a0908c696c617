package gateway

import (
	"net/http"
	"time"

	"github.com/baobablanding/baobablanding/result"
)

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
