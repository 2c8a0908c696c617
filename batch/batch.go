// Package batch defines batch jobs and keeps them in the platform's record table and
// object store. Workers claim chunks of jobs under a lease and commit their results.
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

// allowedEndpoints lists the endpoint paths that batch items may call.
var allowedEndpoints = []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings"}

// File is the record of an uploaded file.
type File struct {
	// ID identifies the file.
	ID string `json:"id"`
	// Workspace owns the file.
	Workspace string `json:"workspace"`
	// Name is the file name given by the caller.
	Name string `json:"name"`
	// Bytes is the size of the content.
	Bytes int64 `json:"bytes"`
	// Digest is the SHA-256 digest of the content in hexadecimal.
	Digest string `json:"digest"`
	// Created is the time at which the upload began.
	Created time.Time `json:"created"`
}

// JobState is the state of a job.
type JobState string

const (
	// JobActive means that some items have no result yet.
	JobActive JobState = "in_progress"
	// JobCompleted means that every item has a result.
	JobCompleted JobState = "completed"
	// JobCancelled means that the job was cancelled.
	JobCancelled JobState = "cancelled"
)

// Job is an accepted batch job.
type Job struct {
	// ID identifies the job.
	ID string `json:"id"`
	// Workspace owns the job.
	Workspace string `json:"workspace"`
	// Endpoint is the path that every item calls.
	Endpoint string `json:"endpoint"`
	// InputFile is the ID of the file with the items.
	InputFile string `json:"input_file"`
	// Items is the number of items.
	Items int `json:"items"`
	// Chunks is the number of chunks.
	Chunks int `json:"chunks"`
	// Models lists the models that the items name, sorted.
	Models []string `json:"models"`
	// Created is the time at which the job was submitted.
	Created time.Time `json:"created"`
	// Due is the time by which the job should be complete.
	Due   time.Time `json:"due"`
	State JobState  `json:"state"`
	// Ended is the time at which the job was completed or cancelled. It is zero while
	// the job is active.
	Ended time.Time `json:"ended,omitzero"`
	// Progress counts the items of a completed job. It is zero in the other states.
	Progress Progress `json:"progress,omitzero"`
	// Metadata is data that the caller attached to the job.
	Metadata map[string]string `json:"metadata,omitempty"`
}

// Report returns the progress of the job and an estimate of when it ends.
func (j *Job) Report(p Progress, now time.Time) policy.Report {
	counts := policy.Counts{Items: j.Items, Completed: p.Completed, Failed: p.Failed}
	return policy.NewReport(counts, j.Created, j.Due, now)
}

// Chunk is the record of a claimed chunk, which is a part of a job. It holds the state
// of the claim and, once the chunk is done, its results. All items of a chunk name the
// same model.
type Chunk struct {
	// Job is the job's ID.
	Job string `json:"job"`
	// Index is the number of the chunk in its job, starting at 0.
	Index int `json:"index"`
	// Model is the model that every item names.
	Model string `json:"model"`
	// Epoch is the number of times that the chunk was claimed. It identifies a claim.
	Epoch int `json:"epoch"`
	// Holder identifies the process that made the claim.
	Holder string `json:"holder"`
	// Expiries counts the claims whose lease expired because its holder stopped renewing
	// the lease.
	Expiries int `json:"lapses,omitempty"`
	// SoloItem is the number, starting at 1, of the item that the holder is running
	// alone, or 0.
	SoloItem int `json:"marked,omitempty"`
	// SoloExpiries counts, by item number starting at 1, the claims whose lease expired
	// while the holder was running the item alone.
	SoloExpiries map[int]int `json:"deaths,omitempty"`
	// Done reports whether every item of the chunk has a result.
	Done bool `json:"done"`
	// Results is the name of the object with the result lines, followed by the error
	// lines.
	Results string `json:"results,omitempty"`
	// OutputBytes is the size of the result lines. The error lines start there.
	OutputBytes int64 `json:"output_bytes"`
	// Completed is the number of items that succeeded.
	Completed int `json:"completed"`
	// Failed is the number of items that ended in an error line.
	Failed int `json:"failed"`
}

// flow is the record of a workspace's unclaimed chunks of one model. Flows that have
// such chunks are queued by rank.
type flow struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model"`
	// Rank is the flow's position in the queue. It is kept while no chunk is waiting.
	Rank policy.Rank `json:"rank"`
	// Step is added to the rank for each claimed chunk.
	Step policy.Rank `json:"step"`
	// Lanes is the number of the flow's lanes, that is of jobs with unclaimed chunks.
	Lanes int `json:"lanes"`
}

// lane is the record of a job's chunks of one model that no worker has claimed yet. The
// lanes of a flow are sorted by the time at which their jobs are due.
type lane struct {
	Job       string    `json:"job"`
	Workspace string    `json:"workspace"`
	Model     string    `json:"model"`
	Due       time.Time `json:"due"`
	Pending   []int     `json:"pending"`
}

// leaseRecord identifies the claim that a lease belongs to. The time at which the lease
// ends is part of the record's key.
type leaseRecord struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
	Epoch int    `json:"epoch"`
	// Released reports whether the holder released the claim.
	Released bool `json:"released,omitempty"`
}

// Progress counts the items of a job.
type Progress struct {
	// Completed is the number of items that succeeded.
	Completed int `json:"completed"`
	// Failed is the number of items that ended in an error line.
	Failed int `json:"failed"`
	// Done reports whether every chunk is done.
	Done bool `json:"done"`
}

const (
	fileIDPrefix = "file-"
	jobIDPrefix  = "batch_"
)

// cancelledKey is the key of the list of the most recently cancelled jobs.
const cancelledKey = "batch/signal/cancelled"

// workKey returns the key of a record that is written whenever chunks of the model
// become claimable. Workers poll it.
func workKey(model string) string { return "batch/signal/work/" + url.PathEscape(model) }

func fileKey(id string) string { return "batch/file/" + id }

func jobKey(id string) string { return "batch/job/" + id }

func ownerPrefix(workspace string) string { return "batch/owner/" + url.PathEscape(workspace) + "/" }

// ownerKey returns a key that sorts a workspace's jobs by creation time, the newest
// first.
func ownerKey(j *Job) string {
	return fmt.Sprintf("%s%016x/%s", ownerPrefix(j.Workspace), math.MaxInt64-j.Created.UnixMicro(), j.ID)
}

func submissionKey(workspace, key string) string {
	return "batch/request/" + url.PathEscape(workspace) + "/" + key
}

func chunkPrefix(job string) string { return "batch/chunk/" + job + "/" }

func chunkKey(job string, index int) string { return fmt.Sprintf("%s%06d", chunkPrefix(job), index) }

func flowKey(model, workspace string) string {
	return "batch/flow/" + url.PathEscape(model) + "/" + url.PathEscape(workspace)
}

func orderPrefix(model string) string { return "batch/order/" + url.PathEscape(model) + "/" }

// orderKey returns the key of a flow's place in the model's queue. Only flows with
// unclaimed chunks have one. The keys sort by rank.
func orderKey(f *flow) string {
	return fmt.Sprintf("%s%016x/%s", orderPrefix(f.Model), int64(f.Rank), url.PathEscape(f.Workspace))
}

// orderRank returns the rank in a key made by orderKey.
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

// leaseEnd returns the end of the lease from its key.
func leaseEnd(model, key string) time.Time {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, leasePrefix(model)), "/")
	ms, _ := strconv.ParseInt(text, 16, 64)
	return time.UnixMilli(ms)
}

func fileObjectName(id string) string { return "batch/file/" + id }

func inputObjectName(job string, index int) string {
	return fmt.Sprintf("batch/input/%s/%06d", job, index)
}

// resultsObjectName returns the name of the object with a claim's results. It contains
// the epoch, so that a worker that no longer holds the chunk cannot overwrite the results
// of the next claim.
func resultsObjectName(c *Chunk) string {
	return fmt.Sprintf("batch/results/%s/%06d.%d", c.Job, c.Index, c.Epoch)
}

// Suffixes of the IDs of a job's result files.
const (
	outputSuffix = "-output"
	errorsSuffix = "-errors"
)

// OutputFile returns the ID of the file with the job's result lines.
func (j *Job) OutputFile() string { return fileIDPrefix + j.ID + outputSuffix }

// ErrorsFile returns the ID of the file with the job's error lines.
func (j *Job) ErrorsFile() string { return fileIDPrefix + j.ID + errorsSuffix }

// parseResultFileID returns the job ID in the ID of a result file and whether the file
// holds the error lines. ok is false for the ID of any other file.
func parseResultFileID(id string) (job string, errors, ok bool) {
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
