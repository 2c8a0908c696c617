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
	demoItems       = 12
	jobPollInterval = 100 * time.Millisecond
	jobTimeout      = 30 * time.Second
)

func mapKeys(m map[string]string) iter.Seq[string] { return maps.Keys(m) }

// demo starts a fleet, sends online requests and a batch, and stops the fleet.
func demo(ctx context.Context, bin string, out io.Writer) error {
	fmt.Fprintln(out, "Starting a platform stand-in, 4 engines, 1 plain service, 5 agents and 2 gateways.")
	f, err := Start(ctx, Options{Bin: bin})
	if err != nil {
		return err
	}
	d := &demoRun{fleet: f, out: out}
	if err := d.run(ctx); err != nil {
		f.Kill()
		return err
	}
	fmt.Fprintln(out, "Stopping every process gracefully.")
	if err := stopFleet(f); err != nil {
		return err
	}
	fmt.Fprintln(out, "Done.")
	return nil
}

// demoRun is one run of the demo.
type demoRun struct {
	fleet *Fleet
	out   io.Writer
}

func (d *demoRun) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.whole, d.stream, d.service, d.wrongKey, d.batch,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demoRun) say(format string, args ...any) { fmt.Fprintf(d.out, format+"\n", args...) }

// send sends a request of the first workspace and returns its answer.
func (d *demoRun) send(ctx context.Context, method, path, contentType string, body io.Reader) (int, []byte, error) {
	return d.sendAs(ctx, d.fleet.Keys["garrafon"], method, path, contentType, body)
}

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

// expect sends a JSON request and checks the status of its answer.
func (d *demoRun) expect(ctx context.Context, status int, method, path, body string) ([]byte, error) {
	got, data, err := d.send(ctx, method, path, "application/json", strings.NewReader(body))
	if err == nil && got != status {
		err = fmt.Errorf("%s %s: status %d, want %d: %s", method, path, got, status, data)
	}
	return data, err
}

func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, ModelName, stream, prompt)
}

func (d *demoRun) whole(ctx context.Context) error {
	data, err := d.expect(ctx, http.StatusOK, http.MethodPost, "/v1/chat/completions", chatBody("does gate 4 owe for empty jugs?", false))
	if err != nil {
		return err
	}
	d.say("\nOnline request, whole answer:\n  %s", bytes.TrimSpace(data))
	return nil
}

func (d *demoRun) stream(ctx context.Context) error {
	data, err := d.expect(ctx, http.StatusOK, http.MethodPost, "/v1/chat/completions", chatBody("what did house 12 order?", true))
	if err != nil {
		return err
	}
	if !bytes.Contains(data, []byte("data: [DONE]")) {
		return fmt.Errorf("the stream has no end: %s", data)
	}
	events := bytes.Count(data, []byte("data: "))
	d.say("\nOnline request, streamed answer: %d events, the first:\n  %s", events, bytes.SplitN(data, []byte("\n"), 2)[0])
	return nil
}

func (d *demoRun) service(ctx context.Context) error {
	data, err := d.expect(ctx, http.StatusOK, http.MethodPost, RoutePrefix+"/17", `{"jugs":3}`)
	if err != nil {
		return err
	}
	d.say("\nCall to a plain service:\n  %s", bytes.TrimSpace(data))
	return nil
}

func (d *demoRun) wrongKey(ctx context.Context) error {
	status, data, err := d.sendAs(ctx, "wrong", http.MethodPost, "/v1/chat/completions", "application/json", strings.NewReader(chatBody("hello", false)))
	if err != nil {
		return err
	}
	if status != http.StatusUnauthorized {
		return fmt.Errorf("a wrong key got status %d", status)
	}
	d.say("\nOnline request with a wrong key, status %d:\n  %s", status, bytes.TrimSpace(data))
	return nil
}

// batch runs a job with one item that can never be done.
func (d *demoRun) batch(ctx context.Context) error {
	file, err := d.upload(ctx)
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file)
	data, err := d.expect(ctx, http.StatusOK, http.MethodPost, "/v1/batches", body)
	if err != nil {
		return err
	}
	var job demoJob
	if err := json.Unmarshal(data, &job); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	d.say("\nBatch job %s accepted with %d items.", job.ID, job.RequestCounts.Total)
	if err := d.await(ctx, &job); err != nil {
		return err
	}
	d.say("Batch job %s: %d completed, %d failed.", job.Status, job.RequestCounts.Completed, job.RequestCounts.Failed)
	return d.showResults(ctx, &job)
}

// demoJob is the part of a job that the demo reads.
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

func (d *demoRun) upload(ctx context.Context) (string, error) {
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
		return "", fmt.Errorf("upload: status %d: %s", status, data)
	}
	return file.ID, nil
}

func (d *demoRun) await(ctx context.Context, job *demoJob) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	ticker := time.NewTicker(jobPollInterval)
	defer ticker.Stop()
	for job.Status != "completed" {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("job %s is %s: %w", job.ID, job.Status, ctx.Err())
		}
		data, err := d.expect(ctx, http.StatusOK, http.MethodGet, "/v1/batches/"+job.ID, "")
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, job); err != nil {
			return fmt.Errorf("decode job: %w", err)
		}
	}
	return nil
}

func (d *demoRun) showResults(ctx context.Context, job *demoJob) error {
	output, err := d.expect(ctx, http.StatusOK, http.MethodGet, "/v1/files/"+job.OutputFileID+"/content", "")
	if err != nil {
		return err
	}
	lines := bytes.Count(output, []byte("\n"))
	if lines != demoItems-1 {
		return fmt.Errorf("the output holds %d lines, want %d", lines, demoItems-1)
	}
	d.say("First of %d result lines:\n  %s", lines, bytes.SplitN(output, []byte("\n"), 2)[0])
	failures, err := d.expect(ctx, http.StatusOK, http.MethodGet, "/v1/files/"+job.ErrorFileID+"/content", "")
	if err != nil {
		return err
	}
	d.say("Error line:\n  %s", bytes.TrimSpace(failures))
	return nil
}
