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

// batchPollInterval is the time between two reads of the job's progress.
const batchPollInterval = 250 * time.Millisecond

// BatchResult reports the items of the batch job that ended in the measured period.
type BatchResult struct {
	// Items counts the items that ended, failed ones included.
	Items int `json:"items"`
	// PerSecond is Items divided by the time between the first and the last read of the
	// progress.
	PerSecond float64 `json:"per_second"`
	// Failed counts the items that ended with an error.
	Failed int `json:"failed"`
}

// batchJob holds the fields of a job object that the run reads. Upload decodes a file
// object into it as well, for the ID.
type batchJob struct {
	ID     string `json:"id"`
	Counts struct {
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// startBatch submits the scenario's batch job. It returns nil if the scenario has none.
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

// upload sends the input file of the batch job to a gateway and returns the file's ID.
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

// call sends a request with the key of the job's workspace to a gateway and decodes the
// JSON response into value. A status other than 200 is an error.
func (r *runner) call(ctx context.Context, method, path, contentType string, body io.Reader, value any) error {
	req, err := http.NewRequestWithContext(ctx, method, r.sender.addressPool.next()+path, body)
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
		return fmt.Errorf("decode response of %s: %w", path, err)
	}
	return nil
}

// batchSample is the progress of the batch job at one time.
type batchSample struct {
	at           time.Time
	done, failed int // items; done includes failed
}

// startBatchMeasurement starts a goroutine that polls the job during the measured period.
// The channel gets one value: the result, or nil if there is no job or ctx ended before
// the measured period.
func (r *runner) startBatchMeasurement(ctx context.Context, job *batchJob) <-chan *BatchResult {
	out := make(chan *BatchResult, 1)
	go func() {
		if job == nil {
			out <- nil
			return
		}
		out <- r.measureBatch(ctx, job)
	}()
	return out
}

// measureBatch waits for the measured period and compares the job's progress at its
// start with the last progress that was read within it.
func (r *runner) measureBatch(ctx context.Context, job *batchJob) *BatchResult {
	if !sleepUntil(ctx, r.start.Add(r.scenario.Warmup)) {
		return nil
	}
	first := r.sampleBatch(ctx, job)
	end := r.start.Add(r.scenario.Warmup + r.scenario.Duration)
	last := first
	for time.Now().Before(end) && sleepUntil(ctx, time.Now().Add(batchPollInterval)) {
		if s := r.sampleBatch(ctx, job); !s.at.IsZero() {
			last = s
		}
	}
	result := &BatchResult{Items: last.done - first.done, Failed: last.failed - first.failed}
	if seconds := last.at.Sub(first.at).Seconds(); seconds > 0 {
		result.PerSecond = float64(result.Items) / seconds
	}
	return result
}

// sampleBatch reads the job's progress. If the read fails, it adds a note and returns a
// sample whose time is zero.
func (r *runner) sampleBatch(ctx context.Context, job *batchJob) batchSample {
	at := time.Now()
	if err := r.call(ctx, http.MethodGet, "/v1/batches/"+job.ID, "application/json", http.NoBody, job); err != nil {
		r.notes.add("reading the progress of the batch job failed: %v", err)
		return batchSample{}
	}
	return batchSample{at: at, done: job.Counts.Completed + job.Counts.Failed, failed: job.Counts.Failed}
}
