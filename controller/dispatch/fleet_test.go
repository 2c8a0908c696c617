package dispatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/standin"
)

const tenant = "garrafon"

// upload stores a file with one short item for each prompt and returns the file's ID, or ""
// if the gateway did not answer.
func upload(t *testing.T, f *fleettest.Fleet, gateway int, prompts []string) string {
	t.Helper()
	return uploadItems(t, f, gateway, prompts, 4)
}

// uploadItems is like upload, with items of the given number of tokens.
func uploadItems(t *testing.T, f *fleettest.Fleet, gateway int, prompts []string, tokens int) string {
	t.Helper()
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	_ = w.WriteField("purpose", "batch")
	part, _ := w.CreateFormFile("file", "items.jsonl")
	for i, prompt := range prompts {
		fmt.Fprintf(part, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"max_tokens":%d,"prompt":%q}}`+"\n", i, fleettest.ModelName, tokens, prompt)
	}
	w.Close()
	req, _ := http.NewRequest(http.MethodPost, f.URL(gateway)+"/v1/files", &form)
	req.Header.Set("Content-Type", w.FormDataContentType())
	req.Header.Set("Authorization", "Bearer "+f.Keys[tenant])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var file struct{ ID string }
	_ = json.NewDecoder(resp.Body).Decode(&file)
	return file.ID
}

// jobView is the part of a job that the tests read.
type jobView struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	CompletedAt   int64  `json:"completed_at"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// call sends a request to the gateway and returns the job in the response and its status.
func call(f *fleettest.Fleet, gateway int, method, path, body string) (jobView, int) {
	status, text := f.Call(context.Background(), gateway, tenant, method, path, body)
	var job jobView
	_ = json.Unmarshal([]byte(text), &job)
	return job, status
}

// create creates a job of the uploaded file.
func create(f *fleettest.Fleet, gateway int, file string) (jobView, int) {
	return call(f, gateway, http.MethodPost, "/v1/batches", fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions","completion_window":"1h"}`, file))
}

// awaitStatus waits until the job has the status and returns it.
func awaitStatus(f *fleettest.Fleet, gateway int, id, status string) (job jobView) {
	f.Eventually("the job is "+status, func() bool {
		job, _ = call(f, gateway, http.MethodGet, "/v1/batches/"+id, "")
		return job.Status == status
	})
	return job
}

// A gateway is killed right after it accepted a job, and the caller sends the job again to
// another gateway, which must return the same job. Then every daemon is replaced, and the
// results must still be readable.
func TestJobOutlivesEveryDaemon(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Engines: 2, Rules: fleet.Rules{ChunkItems: 10}})
	list := prompts(60)
	list[7] = "poison"
	first, status := create(f, 0, upload(t, f, 0, list))
	if status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	f.KillGateway("gateway-1")
	second, status := create(f, 1, upload(t, f, 1, list))
	if status != http.StatusOK || second.ID != first.ID {
		t.Fatalf("the resent job is %s with status %d, want %s", second.ID, status, first.ID)
	}
	job := awaitStatus(f, 1, first.ID, "completed")
	if job.RequestCounts.Completed != 59 || job.RequestCounts.Failed != 1 || job.CompletedAt == 0 {
		t.Errorf("job = %+v", job)
	}
	f.KillGateway("gateway-2")
	for _, vm := range f.Inventory.VMs {
		f.KillAgent(vm.Name)
		f.StartAgent(vm.Name)
	}
	f.StartGateway("gateway-1")
	f.WaitServing()
	for file, want := range map[string]int{job.OutputFileID: 59, job.ErrorFileID: 1} {
		status, text := f.Call(context.Background(), 0, tenant, http.MethodGet, "/v1/files/"+file+"/content", "")
		if n := strings.Count(text, "\n"); status != http.StatusOK || n != want {
			t.Errorf("file %s has status %d and %d lines, want %d", file, status, n, want)
		}
	}
}

// Cancelling a job cancels its requests that run at the engines.
func TestCancelCutsRequestsAtTheEngines(t *testing.T) {
	engine := standin.DefaultEngineOptions
	engine.PerToken = 2 * time.Second
	f := fleettest.Start(t, fleettest.Options{Engines: 2, EngineOptions: engine})
	job, _ := create(f, 0, upload(t, f, 0, prompts(100)))
	running := func() (n int64) {
		for _, e := range f.Engines {
			n += e.Running()
		}
		return n
	}
	f.Eventually("items run", func() bool { return running() > 0 })
	if _, status := call(f, 0, http.MethodPost, "/v1/batches/"+job.ID+"/cancel", ""); status != http.StatusOK {
		t.Fatalf("cancel: status %d", status)
	}
	start := time.Now()
	f.Eventually("nothing runs", func() bool { return running() == 0 })
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("items ran on for %v", d)
	}
	if job = awaitStatus(f, 0, job.ID, "cancelled"); job.RequestCounts.Completed != 0 {
		t.Errorf("job = %+v", job)
	}
}

// A new job starts on idle engines without delay and uses all their slots.
func TestIdleSlotsAreFilled(t *testing.T) {
	engine := standin.DefaultEngineOptions
	engine.PerToken = 20 * time.Millisecond
	f := fleettest.Start(t, fleettest.Options{Engines: 2, EngineOptions: engine, Rules: fleet.Rules{ChunkItems: 40}})
	// The agents raise their limits to all slots while this job runs.
	warm, _ := create(f, 0, upload(t, f, 0, prompts(200)))
	awaitStatus(f, 0, warm.ID, "completed")
	file := upload(t, f, 0, prompts(400))
	start := time.Now()
	job, _ := create(f, 0, file)
	f.Eventually("every slot is used", func() bool {
		return f.Engines[0].Running() == 8 && f.Engines[1].Running() == 8
	})
	t.Logf("all 16 slots were used %v after the request", time.Since(start).Round(time.Millisecond))
	awaitStatus(f, 0, job.ID, "completed")
	first, last := time.Now(), time.Time{}
	for _, e := range f.Engines {
		for _, s := range e.ReceivedRequests() {
			if s.ReceivedAt.Before(start) {
				continue
			}
			if s.ReceivedAt.Before(first) {
				first = s.ReceivedAt
			}
			if s.ReceivedAt.After(last) {
				last = s.ReceivedAt
			}
		}
	}
	t.Logf("400 items started within %v", last.Sub(first).Round(time.Millisecond))
}

// Online requests preempt batch items on an engine whose slots are all taken by these. The
// preempted items run again and complete.
func TestBatchYieldsToOnlineRequests(t *testing.T) {
	const (
		burst      = 8
		items      = 16
		itemTokens = 40
	)
	engine := standin.DefaultEngineOptions
	engine.PerToken = 50 * time.Millisecond
	f := fleettest.Start(t, fleettest.Options{EngineOptions: engine, Rules: fleet.Rules{ChunkItems: 20}})
	job, _ := create(f, 0, uploadItems(t, f, 0, prompts(items), itemTokens))
	f.Eventually("batch fills the engine", func() bool { return f.Engines[0].Running() == burst })
	took := make(chan time.Duration, burst)
	start := time.Now()
	for i := range burst {
		go func() {
			if status, body := f.Chat(context.Background(), 0, tenant, fmt.Sprint("online ", i), false); status != http.StatusOK {
				t.Errorf("online request: %d %s", status, body)
			}
			took <- time.Since(start)
		}()
	}
	var slowest time.Duration
	for range burst {
		slowest = max(slowest, <-took)
	}
	alone := engine.Prefill + 4*engine.PerToken
	t.Logf("the slowest online request took %v, %v alone", slowest.Round(time.Millisecond), alone)
	if item := itemTokens * engine.PerToken; slowest > alone+item/4 {
		t.Errorf("online requests waited for batch items")
	}
	job = awaitStatus(f, 0, job.ID, "completed")
	if job.RequestCounts.Completed != items || job.RequestCounts.Failed != 0 {
		t.Errorf("job = %+v", job)
	}
	runs := 0
	for _, s := range f.Engines[0].ReceivedRequests() {
		if strings.HasPrefix(s.Prompt, "prompt") {
			runs++
		}
	}
	if runs <= items {
		t.Errorf("%d items ran, want some to have been preempted", runs)
	}
	t.Logf("%d items ran %d times", items, runs)
}
