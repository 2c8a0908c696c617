//go:build review

package cases

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names of the configuration that all cases use.
const (
	host   = "caller.example"
	tenant = "tenant-a"
	apiKey = "key-a"
)

// callTimeout is how long a client waits for an answer.
const callTimeout = 4 * time.Second

// item is an item of a batch job on the wire.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItems returns n items of a job whose answers have the number of events. Their prompts
// share their first part, which belongs to the job.
func newItems(job, prefix string, n, events int) []item {
	items := make([]item, n)
	for i := range items {
		items[i] = item{
			ID: fmt.Sprintf("%s-i%d", job, i), Path: prefix + "run",
			Headers: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("40,%d", events), "Prompt-Prefix": fmt.Sprintf("%s:20,%s%d:20", job, job, i)},
			Body:    base64.StdEncoding.EncodeToString([]byte("prompt")), Tokens: 40 + events,
		}
	}
	return items
}

// call sends one request on a new connection and returns the status, or 0 without an answer,
// and the body.
func call(method, address, path string, header map[string]string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+apiKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit sends a batch job to the daemon once and returns the status.
func submit(rec *record, d *daemon, job, prefix string, items []item) int {
	body, _ := json.Marshal(map[string]any{"items": items})
	status, _ := call(http.MethodPost, d.Front, prefix+job, map[string]string{"Request-Id": job, "Content-Type": "application/json"}, body)
	rec.log("client submits job %s (%d items) to %s: %d", job, len(items), d.Name, status)
	return status
}

// result is the result of an item on the wire.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads all results of the job from the daemon. It returns false if they cannot be
// read.
func results(d *daemon, job string) (all []result, total int, ok bool) {
	for {
		status, body := call(http.MethodGet, d.Front, fmt.Sprintf("/v1/lots/%s?after=%d", job, len(all)), nil, nil)
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
			return nil, 0, false
		}
		all = append(all, page.Results...)
		if len(page.Results) == 0 {
			return all, page.Total, true
		}
	}
}
