// Package batch defines batch jobs and keeps them in the platform's stores.
package batch

import (
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	policy "github.com/baobablanding/baobablanding/policy/batch"
)

// Endpoint paths that batch items may name.
var endpoints = []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings"}

// File is an uploaded file.
type File struct {
	// ID identifies the file.
	ID string `json:"id"`
	// Workspace owns the file.
	Workspace string `json:"workspace"`
	// Name is the caller's name of the file.
	Name string `json:"name"`
	// Bytes is the size of the file.
	Bytes int64 `json:"bytes"`
	// Digest is the SHA-256 digest of the content, in hex.
	Digest string `json:"digest"`
	// Created is when the file was stored.
	Created time.Time `json:"created"`
}

// JobState is the state of a job.
type JobState string

const (
	// Active means that items are left to run.
	Active JobState = "in_progress"
	// Completed means that every item has its result.
	Completed JobState = "completed"
	// Cancelled means that the job was cancelled.
	Cancelled JobState = "cancelled"
)

// Job is an accepted batch job.
type Job struct {
	// ID identifies the job.
	ID string `json:"id"`
	// Workspace owns the job.
	Workspace string `json:"workspace"`
	// Endpoint is the path that every item calls.
	Endpoint string `json:"endpoint"`
	// InputFile is the file the job was made of.
	InputFile string `json:"input_file"`
	// Items is the number of items.
	Items int `json:"items"`
	// Chunks is the number of chunks.
	Chunks int `json:"chunks"`
	// Models lists the models that the items name.
	Models []string `json:"models"`
	// Created is when the job was accepted.
	Created time.Time `json:"created"`
	// Due is when the job should be complete.
	Due time.Time `json:"due"`
	// State is active, completed or cancelled.
	State JobState `json:"state"`
	// Ended is when the job was completed or cancelled, or zero.
	Ended time.Time `json:"ended,omitzero"`
	// Progress counts the items of a completed job.
	Progress Progress `json:"progress,omitzero"`
	// Metadata is the caller's own data.
	Metadata map[string]string `json:"metadata,omitempty"`
}

// Report describes the job's progress.
func (j *Job) Report(p Progress, now time.Time) policy.Report {
	counts := policy.Counts{Items: j.Items, Completed: p.Completed, Failed: p.Failed}
	return policy.NewReport(counts, j.Created, j.Due, now)
}

// Chunk is the claim or the result of a part of a job. All items of a chunk
// name the same model.
type Chunk struct {
	// Job is the job's ID.
	Job string `json:"job"`
	// Index numbers the chunk in its job, starting at 0.
	Index int `json:"index"`
	// Model is the model that every item names.
	Model string `json:"model"`
	// Epoch counts the claims of the chunk.
	Epoch int `json:"epoch"`
	// Holder identifies the process that holds the claim.
	Holder string `json:"holder"`
	// Lapses counts the claims whose holder vanished.
	Lapses int `json:"lapses,omitempty"`
	// Marked is the number, starting at 1, of the item that the holder runs
	// alone, or 0.
	Marked int `json:"marked,omitempty"`
	// Deaths counts, by item number starting at 1, the holders that vanished
	// while they ran the item alone.
	Deaths map[int]int `json:"deaths,omitempty"`
	// Done tells that every item of the chunk has its result.
	Done bool `json:"done"`
	// Results names the object with the result lines and, after them, the
	// error lines.
	Results string `json:"results,omitempty"`
	// OutputBytes is the size of the result lines.
	OutputBytes int64 `json:"output_bytes"`
	// Completed is the number of items that succeeded.
	Completed int `json:"completed"`
	// Failed is the number of items that ended in an error line.
	Failed int `json:"failed"`
}

// flow is the place of a workspace's waiting chunks of one model in the queue.
type flow struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	// Rank is the flow's place, also kept while no chunk waits.
	Rank policy.Rank `json:"rank"`
	// Step is how far a claimed chunk moves the rank.
	Step policy.Rank `json:"step"`
	// Lanes is the number of jobs with waiting chunks.
	Lanes int `json:"lanes"`
}

// lane holds the chunks of a job that name one model and that nobody has
// claimed yet. The lanes of a flow sort by due time.
type lane struct {
	Job       string    `json:"job"`
	Workspace string    `json:"workspace"`
	Model     string    `json:"model"`
	Due       time.Time `json:"due"`
	Pending   []int     `json:"pending"`
}

// leaseRecord says which claim a lease belongs to. The key holds when the
// lease ends.
type leaseRecord struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
	Epoch int    `json:"epoch"`
	// Released tells that the holder gave the claim back.
	Released bool `json:"released,omitempty"`
}

// Progress counts the items of a job.
type Progress struct {
	// Completed is the number of items that succeeded.
	Completed int `json:"completed"`
	// Failed is the number of items that ended in an error line.
	Failed int `json:"failed"`
	// Done tells whether every chunk is done.
	Done bool `json:"done"`
}

const (
	fileIDPrefix = "file-"
	jobIDPrefix  = "batch_"
)

// cancelledKey lists the jobs that were cancelled last.
const cancelledKey = "batch/signal/cancelled"

// workKey is written when chunks of the model can be claimed.
func workKey(model string) string { return "batch/signal/work/" + url.PathEscape(model) }

func fileKey(id string) string { return "batch/file/" + id }

func jobKey(id string) string { return "batch/job/" + id }

func ownerPrefix(workspace string) string { return "batch/owner/" + url.PathEscape(workspace) + "/" }

// ownerKey sorts a workspace's jobs by their creation, the newest first.
func ownerKey(j *Job) string {
	return fmt.Sprintf("%s%016x/%s", ownerPrefix(j.Workspace), math.MaxInt64-j.Created.UnixMicro(), j.ID)
}

func requestKey(workspace, key string) string {
	return "batch/request/" + url.PathEscape(workspace) + "/" + key
}

func chunkPrefix(job string) string { return "batch/chunk/" + job + "/" }

func chunkKey(job string, index int) string { return fmt.Sprintf("%s%06d", chunkPrefix(job), index) }

func flowKey(model, workspace string) string {
	return "batch/flow/" + url.PathEscape(model) + "/" + url.PathEscape(workspace)
}

func orderPrefix(model string) string { return "batch/order/" + url.PathEscape(model) + "/" }

// orderKey sorts the flows of a model that have waiting chunks by rank.
func orderKey(f *flow) string {
	return fmt.Sprintf("%s%016x/%s", orderPrefix(f.Model), int64(f.Rank), url.PathEscape(f.Workspace))
}

// orderRank returns the rank in an order key.
func orderRank(model, key string) policy.Rank {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, orderPrefix(model)), "/")
	rank, _ := strconv.ParseInt(text, 16, 64)
	return policy.Rank(rank)
}

func lanePrefix(model, workspace string) string {
	return "batch/lane/" + url.PathEscape(model) + "/" + url.PathEscape(workspace) + "/"
}

func laneKey(l *lane) string {
	return fmt.Sprintf("%s%016x/%s", lanePrefix(l.Model, l.Workspace), max(l.Due.UnixMilli(), 0), l.Job)
}

func leasePrefix(model string) string { return "batch/lease/" + url.PathEscape(model) + "/" }

func leaseKey(c *Chunk, until time.Time) string {
	return fmt.Sprintf("%s%016x/%s/%06d", leasePrefix(c.Model), max(until.UnixMilli(), 0), c.Job, c.Index)
}

// leaseEnd returns when the lease of the key ends.
func leaseEnd(model, key string) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, leasePrefix(model)), "/")
	ms, _ := strconv.ParseInt(text, 16, 64)
	return time.UnixMilli(ms)
}

func fileObject(id string) string { return "batch/file/" + id }

func inputObject(job string, index int) string { return fmt.Sprintf("batch/input/%s/%06d", job, index) }

func resultsObject(c *Chunk) string {
	return fmt.Sprintf("batch/results/%s/%06d.%d", c.Job, c.Index, c.Epoch)
}

// Names of a job's result files.
const (
	outputSuffix = "-output"
	errorsSuffix = "-errors"
)

// OutputFile returns the ID of the file with the job's result lines.
func (j *Job) OutputFile() string { return fileIDPrefix + j.ID + outputSuffix }

// ErrorsFile returns the ID of the file with the job's error lines.
func (j *Job) ErrorsFile() string { return fileIDPrefix + j.ID + errorsSuffix }

// resultFile returns the job and kind of a result file's ID.
func resultFile(id string) (job string, errors, ok bool) {
	id, ok = strings.CutPrefix(id, fileIDPrefix)
	if !ok {
		return "", false, false
	}
	if job, ok = strings.CutSuffix(id, outputSuffix); ok {
		return job, false, true
	}
	job, ok = strings.CutSuffix(id, errorsSuffix)
	return job, true, ok
}
