package devfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"maps"
	"mime/multipart"
	"net/http"
	"strings"
	"time"
)

const (
	demoItems       = 12 // items of the batch job
	jobPollInterval = 100 * time.Millisecond
	jobTimeout      = 30 * time.Second // bounds the wait for the job to complete
)

// mapKeys returns the keys of m in random order.
func mapKeys(m map[string]string) iter.Seq[string] { return maps.Keys(m) }

// demo starts a fleet, sends online requests, runs a batch job and stops the fleet. It
// prints each step to out.
func demo(ctx context.Context, bin string, out io.Writer) error {
	fmt.Fprintln(out, "Starting a stand-in for the platform, 4 engines, 1 plain service, 5 agents and 2 gateways.")
	f, err := Start(ctx, Options{BinDir: bin})
	if err != nil {
		return err
	}
	d := &demoRun{fleet: f, out: out}
	if err := d.run(ctx); err != nil {
		f.Kill()
		return err
	}
	fmt.Fprintln(out, "Shutting down all processes.")
	if err := stopFleet(f); err != nil {
		return err
	}
	fmt.Fprintln(out, "Done.")
	return nil
}

// demoRun is one run of the demo, with out as its output.
type demoRun struct {
	fleet *Fleet
	out   io.Writer
}

// run runs the steps one after another, until one fails.
func (d *demoRun) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.chat, d.streamChat, d.callService, d.sendWrongKey, d.runBatch,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// printf writes a line to the output.
func (d *demoRun) printf(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

// send sends a request with the key of workspace garrafon and returns the status and body
// of the response.
func (d *demoRun) send(ctx context.Context, method, path, contentType string, body io.Reader) (int, []byte, error) {
	return d.sendAs(ctx, d.fleet.Keys["garrafon"], method, path, contentType, body)
}

// sendAs sends a request with the key and returns the status and body of the response.
func (d *demoRun) sendAs(ctx context.Context, key, method, path, contentType string, body io.Reader) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, d.fleet.URL(0)+path, body)
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", contentType)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	return resp.StatusCode, data, nil
}

// sendExpecting sends a JSON request and returns the body of the response. It fails if the
// response has another status.
func (d *demoRun) sendExpecting(ctx context.Context, status int, method, path, body string) ([]byte, error) {
	got, data, err := d.send(ctx, method, path, "application/json", strings.NewReader(body))
	if err == nil && got != status {
		err = fmt.Errorf("%s %s: status %d, want %d: %s", method, path, got, status, data)
	}
	return data, err
}

// chatBody returns the body of a chat completion request for a short response.
func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, ModelName, stream, prompt)
}

// chat sends a chat completion and prints the response.
func (d *demoRun) chat(ctx context.Context) error {
	data, err := d.sendExpecting(ctx, http.StatusOK, http.MethodPost, "/v1/chat/completions", chatBody("does gate 4 owe for empty jugs?", false))
	if err != nil {
		return err
	}
	d.printf("\nOnline request, complete response:\n  %s", bytes.TrimSpace(data))
	return nil
}

// streamChat sends a streamed chat completion and prints the first event. It fails if the
// stream ends without [DONE].
func (d *demoRun) streamChat(ctx context.Context) error {
	data, err := d.sendExpecting(ctx, http.StatusOK, http.MethodPost, "/v1/chat/completions", chatBody("what did house 12 order?", true))
	if err != nil {
		return err
	}
	if !bytes.Contains(data, []byte("data: [DONE]")) {
		return fmt.Errorf("stream ended without [DONE]: %s", data)
	}
	events := bytes.Count(data, []byte("data: "))
	d.printf("\nOnline request, streamed response: %d events, the first:\n  %s", events, bytes.SplitN(data, []byte("\n"), 2)[0])
	return nil
}

// callService calls the plain service through its route and prints the response.
func (d *demoRun) callService(ctx context.Context) error {
	data, err := d.sendExpecting(ctx, http.StatusOK, http.MethodPost, ServicePathPrefix+"/17", `{"jugs":3}`)
	if err != nil {
		return err
	}
	d.printf("\nCall to a plain service:\n  %s", bytes.TrimSpace(data))
	return nil
}

// sendWrongKey sends a request with an unknown key, and fails unless it is rejected with
// status 401.
func (d *demoRun) sendWrongKey(ctx context.Context) error {
	status, data, err := d.sendAs(ctx, "wrong", http.MethodPost, "/v1/chat/completions", "application/json", strings.NewReader(chatBody("hello", false)))
	if err != nil {
		return err
	}
	if status != http.StatusUnauthorized {
		return fmt.Errorf("request with a wrong key: got status %d, want 401", status)
	}
	d.printf("\nOnline request with a wrong key, status %d:\n  %s", status, bytes.TrimSpace(data))
	return nil
}

// runBatch runs a batch job in which one item always fails, and prints its results.
func (d *demoRun) runBatch(ctx context.Context) error {
	file, err := d.uploadItems(ctx)
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file)
	data, err := d.sendExpecting(ctx, http.StatusOK, http.MethodPost, "/v1/batches", body)
	if err != nil {
		return err
	}
	var job demoJob
	if err := json.Unmarshal(data, &job); err != nil {
		return fmt.Errorf("decode batch job: %w", err)
	}
	d.printf("\nBatch job %s accepted with %d items.", job.ID, job.RequestCounts.Total)
	if err := d.waitForJob(ctx, &job); err != nil {
		return err
	}
	d.printf("Batch job %s: %d completed, %d failed.", job.Status, job.RequestCounts.Completed, job.RequestCounts.Failed)
	return d.showResults(ctx, &job)
}

// demoJob holds the fields of a batch job that the demo reads.
type demoJob struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// uploadItems uploads the input file of the job and returns its ID. The item in the middle
// has a prompt at which the stand-in engine always fails.
func (d *demoRun) uploadItems(ctx context.Context) (string, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := w.CreateFormFile("file", "stops.jsonl")
	if err != nil {
		return "", err
	}
	for i := range demoItems {
		prompt := fmt.Sprintf("write up stop %d", i)
		if i == demoItems/2 {
			prompt = "poison"
		}
		fmt.Fprintf(part, `{"custom_id":"stop-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, chatBody(prompt, false))
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	status, data, err := d.send(ctx, http.MethodPost, "/v1/files", w.FormDataContentType(), &form)
	if err != nil {
		return "", err
	}
	var file struct {
		ID string `json:"id"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &file) != nil {
		return "", fmt.Errorf("upload batch input file: status %d: %s", status, data)
	}
	return file.ID, nil
}

// waitForJob polls the job until it is completed and stores its last state in job. It
// fails after jobTimeout.
func (d *demoRun) waitForJob(ctx context.Context, job *demoJob) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	ticker := time.NewTicker(jobPollInterval)
	defer ticker.Stop()
	for job.Status != "completed" {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("batch job %s did not complete, its status is %s: %w", job.ID, job.Status, ctx.Err())
		}
		data, err := d.sendExpecting(ctx, http.StatusOK, http.MethodGet, "/v1/batches/"+job.ID, "")
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, job); err != nil {
			return fmt.Errorf("decode batch job: %w", err)
		}
	}
	return nil
}

// showResults prints the first result line and the error line. It fails if a result line
// is missing.
func (d *demoRun) showResults(ctx context.Context, job *demoJob) error {
	output, err := d.sendExpecting(ctx, http.StatusOK, http.MethodGet, "/v1/files/"+job.OutputFileID+"/content", "")
	if err != nil {
		return err
	}
	lines := bytes.Count(output, []byte("\n"))
	if lines != demoItems-1 {
		return fmt.Errorf("output file has %d lines, want %d", lines, demoItems-1)
	}
	d.printf("First of %d result lines:\n  %s", lines, bytes.SplitN(output, []byte("\n"), 2)[0])
	failures, err := d.sendExpecting(ctx, http.StatusOK, http.MethodGet, "/v1/files/"+job.ErrorFileID+"/content", "")
	if err != nil {
		return err
	}
	d.printf("Error line:\n  %s", bytes.TrimSpace(failures))
	return nil
}
