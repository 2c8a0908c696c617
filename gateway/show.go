package gateway

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/baobablanding/baobablanding/batch"
	policy "github.com/baobablanding/baobablanding/policy/batch"
	"github.com/baobablanding/baobablanding/result"
)

// StatusResponse describes the gateway. ConfigVersion is 0 if no configuration is in
// force.
type StatusResponse struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Phase         string `json:"phase"`
	ConfigVersion uint64 `json:"config_version"`
}

// UpstreamInfo describes an upstream as the gateway knows it. TakenOut reports whether its
// data centre is taken out; InFlight is the number of requests that the gateway has
// running at it.
type UpstreamInfo struct {
	Name       string   `json:"name"`
	Kind       string   `json:"kind"`
	DataCentre string   `json:"data_centre"`
	State      string   `json:"state"`
	Connected  bool     `json:"connected"`
	TakenOut   bool     `json:"out"`
	InFlight   int64    `json:"in_flight"`
	Models     []string `json:"models,omitempty"`
}

// JobInfo describes a batch job to operators.
type JobInfo struct {
	ID        string        `json:"id"`
	Workspace string        `json:"workspace"`
	State     string        `json:"state"`
	Items     int           `json:"items"`
	Progress  policy.Report `json:"progress"`
	CreatedAt time.Time     `json:"created"`
	Due       time.Time     `json:"due"`
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
			TakenOut:   u.TakenOut,
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

// maxAdminJobs is the largest number of jobs in one response to an operator.
const maxAdminJobs = 1000

// showJobs lists the jobs of all workspaces, in no particular order, that follow the job
// in the parameter after.
func (g *Gateway) showJobs(w http.ResponseWriter, r *http.Request, _ string) error {
	jobs, _, err := g.jobs.Jobs(r.Context(), "", r.URL.Query().Get("after"), maxAdminJobs)
	if err != nil {
		return err
	}
	list := make([]JobInfo, 0, len(jobs))
	for i := range jobs {
		p, err := g.jobs.Progress(r.Context(), &jobs[i])
		if err != nil {
			return err
		}
		list = append(list, newJobInfo(&jobs[i], p, time.Now()))
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

func (g *Gateway) showJob(w http.ResponseWriter, r *http.Request, _ string) error {
	job, err := g.jobs.Job(r.Context(), "", pathvar.Vars(r)["id"])
	if err != nil {
		return err
	}
	job, p, err := g.jobs.Refresh(r.Context(), job)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newJobInfo(&job, p, time.Now()))
	return nil
}

// newJobInfo describes the job at now, or at its end if it has ended.
func newJobInfo(j *batch.Job, p batch.Progress, now time.Time) JobInfo {
	if !j.Ended.IsZero() {
		now = j.Ended
	}
	return JobInfo{
		ID: j.ID, Workspace: j.Workspace, State: string(j.State), Items: j.Items,
		Progress: j.Report(p, now), CreatedAt: j.Created, Due: j.Due,
	}
}
