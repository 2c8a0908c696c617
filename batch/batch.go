// Package batch defines batch jobs and keeps them in the platform's stores.
package batch

import (
	"fmt"
	"strings"
	"time"
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
	// Metadata is the caller's own data.
	Metadata map[string]string `json:"metadata,omitempty"`
}

// Chunk is the claim or the result of a part of a job. A chunk without a
// record was never claimed.
type Chunk struct {
	// Job is the job's ID.
	Job string `json:"job"`
	// Index numbers the chunk in its job, starting at 0.
	Index int `json:"index"`
	// Epoch counts the claims of the chunk.
	Epoch int `json:"epoch"`
	// Holder names the VM that holds the claim.
	Holder string `json:"holder"`
	// Until is when the claim lapses.
	Until time.Time `json:"until"`
	// Done tells that every item of the chunk has its result.
	Done bool `json:"done"`
	// Output names the object with the result lines.
	Output string `json:"output,omitempty"`
	// Errors names the object with the error lines.
	Errors string `json:"errors,omitempty"`
	// Completed is the number of items that succeeded.
	Completed int `json:"completed"`
	// Failed is the number of items that ended in an error line.
	Failed int `json:"failed"`
}

// Claim is a claimed chunk.
type Claim struct {
	Chunk
	// Version is the version of the chunk's record.
	Version uint64
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

func fileKey(id string) string { return "batch/file/" + id }

func jobKey(id string) string { return "batch/job/" + id }

func jobPrefix() string { return "batch/job/" }

func activeKey(id string) string { return activePrefix + id }

const activePrefix = "batch/active/"

func requestKey(workspace, key string) string { return "batch/request/" + workspace + "/" + key }

func chunkPrefix(job string) string { return "batch/chunk/" + job + "/" }

func chunkKey(job string, index int) string { return fmt.Sprintf("%s%06d", chunkPrefix(job), index) }

func fileObject(id string) string { return "batch/file/" + id }

func inputObject(job string, index int) string { return fmt.Sprintf("batch/input/%s/%06d", job, index) }

func outputObject(c Chunk) string {
	return fmt.Sprintf("batch/output/%s/%06d.%d", c.Job, c.Index, c.Epoch)
}

func errorsObject(c Chunk) string {
	return fmt.Sprintf("batch/errors/%s/%06d.%d", c.Job, c.Index, c.Epoch)
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
