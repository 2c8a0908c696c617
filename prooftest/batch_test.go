package prooftest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/history"
	"github.com/baobablanding/baobablanding/standin"
)

// jobStatus holds the fields of a batch object that the tests read.
type jobStatus struct {
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

// batchClient calls the batch and file API of one gateway.
type batchClient struct {
	url, key string
}

// do sends a request and returns the body of the response. A status other than 200 is an
// error.
func (c batchClient) do(ctx context.Context, method, path, contentType string, body io.Reader, header http.Header) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, data)
	}
	return data, nil
}

// upload uploads a batch file with the lines and returns its ID.
func (c batchClient) upload(ctx context.Context, lines string) (string, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := w.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return "", err
	}
	if _, err := io.WriteString(part, lines); err != nil {
		return "", err
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	data, err := c.do(ctx, http.MethodPost, "/v1/files", w.FormDataContentType(), &form, nil)
	if err != nil {
		return "", err
	}
	var file struct {
		ID string `json:"id"`
	}
	err = json.Unmarshal(data, &file)
	return file.ID, err
}

// create submits a job for the uploaded file with an idempotency key.
func (c batchClient) create(ctx context.Context, file, idempotencyKey string) (jobStatus, error) {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"1h"}`, file)
	header := http.Header{"Idempotency-Key": {idempotencyKey}}
	return c.job(c.do(ctx, http.MethodPost, "/v1/batches", "application/json", strings.NewReader(body), header))
}

func (c batchClient) get(ctx context.Context, id string) (jobStatus, error) {
	return c.job(c.do(ctx, http.MethodGet, "/v1/batches/"+id, "", http.NoBody, nil))
}

// job decodes a batch object, or returns err if it is not nil.
func (batchClient) job(data []byte, err error) (jobStatus, error) {
	var job jobStatus
	if err != nil {
		return job, err
	}
	err = json.Unmarshal(data, &job)
	return job, err
}

// results returns the result lines of the file with the ID, or none if the ID is empty.
func (c batchClient) results(ctx context.Context, file string) ([]batch.ResultLine, error) {
	if file == "" {
		return nil, nil
	}
	data, err := c.do(ctx, http.MethodGet, "/v1/files/"+file+"/content", "", http.NoBody, nil)
	if err != nil {
		return nil, err
	}
	var lines []batch.ResultLine
	for text := range strings.Lines(string(data)) {
		var line batch.ResultLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			return nil, fmt.Errorf("result line %q: %w", text, err)
		}
		lines = append(lines, line)
	}
	return lines, nil
}

// batchItems returns the IDs of count items and the lines of their batch file. The items
// whose number is a multiple of poisonInterval have a prompt that always fails.
func batchItems(model string, count, poisonInterval int) (ids []string, lines string) {
	var text strings.Builder
	for n := range count {
		id := fmt.Sprintf("item-%d", n)
		prompt := "prompt of " + id
		if n%poisonInterval == 0 {
			prompt = "poison " + id
		}
		ids = append(ids, id)
		fmt.Fprintf(&text, `{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`+"\n",
			id, model, answerTokens, prompt)
	}
	return ids, text.String()
}

// checkResults checks that each item has exactly one line in output or failures, and that
// each line has the answer to its item or an error.
func checkResults(t *testing.T, ids []string, output, failures []batch.ResultLine) {
	t.Helper()
	var results []string
	for _, line := range output {
		results = append(results, line.CustomID)
		if want := "answer to: prompt of " + line.CustomID; line.Response == nil || !strings.Contains(string(line.Response.Body), want) {
			t.Errorf("item %s has a wrong response: %+v", line.CustomID, line.Response)
		}
	}
	for _, line := range failures {
		results = append(results, line.CustomID)
		if line.Error == nil {
			t.Errorf("item %s has an error line without an error", line.CustomID)
		}
	}
	checkGuarantee(t, "one result for each item", history.CheckOneResult(ids, results))
}

const (
	batchItemCount      = 120
	batchPoisonInterval = 40
	batchChunkItems     = 10
	batchEngineCount    = 3
)

// startBatchFleet starts a fleet of separate processes with chunkItems items in a batch
// chunk and a short lease, so that a chunk of a killed worker is soon claimed again.
func startBatchFleet(t *testing.T, chunkItems int) *devfleet.Fleet {
	t.Helper()
	return startProcesses(t, devfleet.Options{
		DataCentres: 2, Gateways: 2, Engines: batchEngineCount, Services: 1,
		Rules:      fleet.Rules{ChunkItems: chunkItems},
		BatchLease: 3 * time.Second,
		EngineArgs: []string{"--prefill", "20ms", "--per-token", "5ms"},
	})
}

// batchClientAt returns a client of the first workspace at the gateway with the index.
func batchClientAt(f *devfleet.Fleet, gatewayIndex int) batchClient {
	return batchClient{url: f.URL(gatewayIndex), key: f.Keys[f.Inventory.Workspaces[0].Name]}
}

// waitForResults waits until the job has completed and checks its results against ids,
// the IDs of its items.
func waitForResults(t *testing.T, c batchClient, id string, ids []string) {
	t.Helper()
	var job jobStatus
	eventually(t, "the job has completed", func() bool {
		got, err := c.get(t.Context(), id)
		if err == nil {
			job = got
		}
		return job.Status == string(batch.JobCompleted)
	})
	checkJobResults(t, c, job, ids)
}

// checkJobResults downloads the output and error files of a job and checks their lines.
func checkJobResults(t *testing.T, c batchClient, job jobStatus, ids []string) {
	t.Helper()
	output, err := c.results(t.Context(), job.OutputFileID)
	if err != nil {
		t.Fatal(err)
	}
	failures, err := c.results(t.Context(), job.ErrorFileID)
	if err != nil {
		t.Fatal(err)
	}
	checkResults(t, ids, output, failures)
	t.Logf("%d results, %d error lines", len(output), len(failures))
}

// TestBatchSurvivesFailures guards against an acknowledged job that is lost or
// runs twice, and against items with no result or several. It kills the gateway that
// acknowledged the job, sends the job again with the same idempotency key, kills agents
// while they run items, and makes the store unavailable. After the job has completed it
// replaces every daemon and reads the results again.
func TestBatchSurvivesFailures(t *testing.T) {
	t.Parallel()
	f := startBatchFleet(t, batchChunkItems)
	random := newRandom(t)
	ids, lines := batchItems(devfleet.ModelName, batchItemCount, batchPoisonInterval)
	first, second := batchClientAt(f, 0), batchClientAt(f, 1)

	file, err := first.upload(t.Context(), lines)
	if err != nil {
		t.Fatal(err)
	}
	job, err := first.create(t.Context(), file, "resent")
	f.Process(f.Inventory.Gateways[0].Name).Kill()
	if err != nil {
		t.Fatal(err)
	}
	again, err := second.create(t.Context(), file, "resent")
	if err != nil {
		t.Fatal(err)
	}
	if again.ID != job.ID {
		t.Errorf("resent job has ID %s, want %s", again.ID, job.ID)
	}

	setFaults(t, f.PlatformURL, standin.Faults{DropResponses: 3})
	for _, engine := range random.Perm(batchEngineCount)[:2] {
		killBusyAgent(t, f, f.Inventory.Upstreams[engine])
		storeOutage.inject(t, f, random)
	}
	waitForResults(t, second, job.ID, ids)

	replaceDaemons(t, f)
	restart(t, f.Process(f.Inventory.Gateways[0].Name))
	waitForResults(t, first, job.ID, ids)
}

// killBusyAgent waits until the engine runs an item, and then kills and restarts the agent
// on its VM.
func killBusyAgent(t *testing.T, f *devfleet.Fleet, engine fleet.Upstream) {
	t.Helper()
	eventually(t, engine.Name+" runs an item", func() bool {
		list := seenRequests(t, engine.URL)
		return len(list) > 0 && !list[len(list)-1].Completed && list[len(list)-1].Prompt != ""
	})
	killAndRestart(t, f.Process("agent-"+engine.VM))
}

// replaceDaemons kills every daemon except the first gateway, and then starts them again.
// The caller has killed the first gateway and restarts it later.
func replaceDaemons(t *testing.T, f *devfleet.Fleet) {
	t.Helper()
	var names []string
	for _, g := range f.Inventory.Gateways[1:] {
		names = append(names, g.Name)
	}
	for _, vm := range f.Inventory.VMs {
		names = append(names, "agent-"+vm.Name)
	}
	for _, name := range names {
		f.Process(name).Kill()
	}
	for _, name := range names {
		restart(t, f.Process(name))
	}
}
