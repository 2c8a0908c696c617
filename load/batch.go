package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"time"
)

const batchPoll = 250 * time.Millisecond

// BatchResult counts the items of the job that were done in the counted part.
type BatchResult struct {
	// Items is the number of items with a result.
	Items int `json:"items"`
	// PerSecond is the number of items done in a second.
	PerSecond float64 `json:"per_second"`
	// Failed is the number of items that ended with an error.
	Failed int `json:"failed"`
}

// batchJob is the part of a job that the run reads.
type batchJob struct {
	ID     string `json:"id"`
	Counts struct {
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// startBatch submits the scenario's job, if there is one.
func (r *runner) startBatch(ctx context.Context) (*batchJob, error) {
	spec := r.scenario.Batch
	if spec == nil {
		return nil, nil
	}
	file, err := r.upload(ctx, spec)
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file)
	job := new(batchJob)
	err = r.call(ctx, http.MethodPost, "/v1/batches", "application/json", bytes.NewReader([]byte(body)), job)
	return job, err
}

// upload sends the file with the job's items and returns its ID.
func (r *runner) upload(ctx context.Context, spec *BatchJob) (string, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := w.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return "", err
	}
	for i := range spec.Items {
		body := chatBody(r.target.Model, fmt.Sprintf("write up item %d", i), spec.Tokens, false)
		fmt.Fprintf(part, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, body)
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	var file batchJob
	err = r.call(ctx, http.MethodPost, "/v1/files", w.FormDataContentType(), &form, &file)
	return file.ID, err
}

// call sends a request of the job's workspace to a gateway.
func (r *runner) call(ctx context.Context, method, path, contentType string, body io.Reader, value any) error {
	req, err := http.NewRequestWithContext(ctx, method, r.sender.targets.next()+path, body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", contentType)
	req.Header.Set("Authorization", "Bearer "+r.target.Keys[r.scenario.Batch.Workspace])
	resp, err := r.sender.http.DoRequest(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// batchSample is the progress of the job at a time.
type batchSample struct {
	at           time.Time
	done, failed int
}

// countBatch watches the job through the counted part and sends its result, or
// nil without a job.
func (r *runner) countBatch(ctx context.Context, job *batchJob) <-chan *BatchResult {
	out := make(chan *BatchResult, 1)
	go func() {
		if job == nil {
			out <- nil
			return
		}
		out <- r.watchBatch(ctx, job)
	}()
	return out
}

func (r *runner) watchBatch(ctx context.Context, job *batchJob) *BatchResult {
	if !sleepUntil(ctx, r.start.Add(r.scenario.Warmup)) {
		return nil
	}
	first := r.sample(ctx, job)
	end := r.start.Add(r.scenario.Warmup + r.scenario.Duration)
	last := first
	for time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(batchPoll)) {
		if s := r.sample(ctx, job); !s.at.IsZero() {
			last = s
		}
	}
	result := &BatchResult{Items: last.done - first.done, Failed: last.failed - first.failed}
	if seconds := last.at.Sub(first.at).Seconds(); seconds > 0 {
		result.PerSecond = float64(result.Items) / seconds
	}
	return result
}

// sample reads the job's progress. The time is zero if no gateway answered.
func (r *runner) sample(ctx context.Context, job *batchJob) batchSample {
	at := time.Now()
	if err := r.call(ctx, http.MethodGet, "/v1/batches/"+job.ID, "application/json", http.NoBody, job); err != nil {
		r.notes.add("read job: %v", err)
		return batchSample{}
	}
	return batchSample{at: at, done: job.Counts.Completed + job.Counts.Failed, failed: job.Counts.Failed}
}
