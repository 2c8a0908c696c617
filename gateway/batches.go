package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/serve"
)

// defaultCompletionWindow is the time until a job is due if the caller sets neither a
// due time nor a window.
const defaultCompletionWindow = 24 * time.Hour

// idempotencyHeader carries a key that identifies a submission: a repetition with the
// same key returns the first job.
const idempotencyHeader = "Idempotency-Key"

// batchRoutes returns the routes for batch jobs, in the form of the OpenAI batch API.
func (g *Gateway) batchRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/batches", Handler: g.withWorkspace(g.createBatch)},
		{Method: http.MethodGet, Path: "/v1/batches", Handler: g.withWorkspace(g.listBatches)},
		{Method: http.MethodGet, Path: "/v1/batches/:id", Handler: g.withWorkspace(g.getBatch)},
		{Method: http.MethodPost, Path: "/v1/batches/:id/cancel", Handler: g.withWorkspace(g.cancelBatch)},
	}
}

// createBatchRequest asks for a new job.
type createBatchRequest struct {
	InputFileID string `json:"input_file_id"`
	// Endpoint is the path that every item calls.
	Endpoint string `json:"endpoint"`
	// CompletionWindow is the time until the job is due, as a Go duration. It has no
	// effect if Due is set; if both are missing, it is defaultCompletionWindow.
	CompletionWindow string            `json:"completion_window"`
	Due              *time.Time        `json:"due"`
	Metadata         map[string]string `json:"metadata"`
}

// dueTime returns when the job is due if it is created at now. It fails with
// result.BadRequest if the completion window is not a positive duration.
func (r *createBatchRequest) dueTime(now time.Time) (time.Time, error) {
	if r.Due != nil {
		return r.Due.UTC(), nil
	}
	if r.CompletionWindow == "" {
		return now.Add(defaultCompletionWindow), nil
	}
	d, err := time.ParseDuration(r.CompletionWindow)
	if err != nil || d <= 0 {
		return time.Time{}, result.Errorf(result.BadRequest, "completion_window %q is not a positive duration such as \"24h\"", r.CompletionWindow)
	}
	return now.Add(d), nil
}

// batchObject describes a job to callers. Its times are Unix times in seconds, or 0 if
// they do not apply.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

// requestCounts counts the items of a job. Completed and Failed exclude each other.
type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// newBatchObject describes the job with its progress. A job is in progress from its
// creation, so InProgressAt equals CreatedAt. OutputFileID and ErrorFileID are set once
// the job has ended, for the files that are not empty.
func newBatchObject(j batch.Job, p batch.Progress) batchObject {
	b := batchObject{
		ID:               j.ID,
		Object:           "batch",
		Endpoint:         j.Endpoint,
		InputFileID:      j.InputFile,
		CompletionWindow: j.Due.Sub(j.Created).Round(time.Second).String(),
		Status:           string(j.State),
		CreatedAt:        j.Created.Unix(),
		InProgressAt:     j.Created.Unix(),
		ExpiresAt:        j.Due.Unix(),
		RequestCounts:    requestCounts{Total: j.Items, Completed: p.Completed, Failed: p.Failed},
		Metadata:         j.Metadata,
	}
	switch j.State {
	case batch.JobCompleted:
		b.CompletedAt = j.Ended.Unix()
	case batch.JobCancelled:
		b.CancelledAt = j.Ended.Unix()
	}
	if j.State != batch.JobActive {
		if p.Completed > 0 {
			b.OutputFileID = j.OutputFile()
		}
		if p.Failed > 0 {
			b.ErrorFileID = j.ErrorsFile()
		}
	}
	return b
}

// createBatch accepts a job. A repetition of a submission gets the job of the first one,
// as batch.Store.Accept describes.
func (g *Gateway) createBatch(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	if err := serve.CheckAccepting(g.board.Phase.Value()); err != nil {
		return err
	}
	if err := checkJSONType(r); err != nil {
		return err
	}
	rules := g.view().Inventory.Rules
	body, err := g.readBody(w, r, rules.MaxBodyBytes)
	if err != nil {
		return err
	}
	var req createBatchRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return result.Errorf(result.BadRequest, "the body is not valid JSON: %v", err)
	}
	if err := batch.CheckEndpoint(req.Endpoint); err != nil {
		return err
	}
	dueTime, err := req.dueTime(time.Now())
	if err != nil {
		return err
	}
	job, err := g.jobs.Accept(r.Context(), batch.Submission{
		Workspace:      workspace,
		Endpoint:       req.Endpoint,
		InputFile:      req.InputFileID,
		Due:            dueTime,
		IdempotencyKey: r.Header.Get(idempotencyHeader),
		Metadata:       req.Metadata,
	}, rules)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newBatchObject(job, job.Progress))
	return nil
}

// writeBatch responds with the current state of the job.
func (g *Gateway) writeBatch(w http.ResponseWriter, r *http.Request, job batch.Job) error {
	job, p, err := g.jobs.Refresh(r.Context(), job)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newBatchObject(job, p))
	return nil
}

func (g *Gateway) getBatch(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	job, err := g.jobs.Job(r.Context(), workspace.Name, pathvar.Vars(r)["id"])
	if err != nil {
		return err
	}
	return g.writeBatch(w, r, job)
}

func (g *Gateway) cancelBatch(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	job, err := g.jobs.Cancel(r.Context(), workspace.Name, pathvar.Vars(r)["id"])
	if err != nil {
		return err
	}
	return g.writeBatch(w, r, job)
}

// Limits of the number of jobs in one page of a list.
const (
	defaultJobsPerPage = 20
	maxJobsPerPage     = 100
)

// batchList is one page of the list of a workspace's jobs.
type batchList struct {
	Object  string        `json:"object"`
	Data    []batchObject `json:"data"`
	FirstID string        `json:"first_id,omitempty"`
	LastID  string        `json:"last_id,omitempty"`
	HasMore bool          `json:"has_more"`
}

// listBatches lists the workspace's jobs, the newest first.
func (g *Gateway) listBatches(w http.ResponseWriter, r *http.Request, workspace *fleet.Workspace) error {
	limit, err := readPageLimit(r)
	if err != nil {
		return err
	}
	jobs, more, err := g.jobs.Jobs(r.Context(), workspace.Name, r.URL.Query().Get("after"), limit)
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: make([]batchObject, 0, len(jobs)), HasMore: more}
	for _, job := range jobs {
		job, p, err := g.jobs.Refresh(r.Context(), job)
		if err != nil {
			return err
		}
		list.Data = append(list.Data, newBatchObject(job, p))
	}
	if len(jobs) > 0 {
		list.FirstID, list.LastID = jobs[0].ID, jobs[len(jobs)-1].ID
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

// readPageLimit returns the number of jobs in the parameter limit, or defaultJobsPerPage
// if it is missing.
func readPageLimit(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultJobsPerPage, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxJobsPerPage {
		return 0, result.Errorf(result.BadRequest, "query parameter limit is %q, but must be a whole number from 1 to %d", text, maxJobsPerPage)
	}
	return limit, nil
}
