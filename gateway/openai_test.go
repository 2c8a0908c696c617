package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/baobablanding/baobablanding/fleettest"
)

// newClient returns a client of the first gateway that sends the key and never retries.
func newClient(f *fleettest.Fleet, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.URL(0)+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// chatParams returns a chat request with the prompt.
func chatParams(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    fleettest.ModelName,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// TestOpenAIClientLibrary checks that the OpenAI client library can chat, stream, list
// models and request embeddings.
func TestOpenAIClientLibrary(t *testing.T) {
	ctx := context.Background()
	f := fleettest.Start(t, fleettest.Options{})
	c := newClient(f, f.Keys["garrafon"])

	whole, err := c.Chat.Completions.New(ctx, chatParams("hello"))
	if err != nil {
		t.Fatal(err)
	}
	if got := whole.Choices[0].Message.Content; got != "answer to: hello" {
		t.Errorf("complete response %q", got)
	}

	stream := c.Chat.Completions.NewStreaming(ctx, chatParams("stream"))
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(text.String(), "answer to: stream") {
		t.Errorf("streamed response %q", text.String())
	}

	models, err := c.Models.List(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 1 || models.Data[0].ID != fleettest.ModelName {
		t.Errorf("models %+v", models.Data)
	}
	if _, err := c.Embeddings.New(ctx, openai.EmbeddingNewParams{
		Model: fleettest.ModelName,
		Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("hello")},
	}); err != nil {
		t.Error(err)
	}
}

// submitBatch uploads a batch file with the given number of items, each of the given
// number of output tokens, and creates a job for it.
func submitBatch(ctx context.Context, t *testing.T, c openai.Client, items, tokens int) *openai.Batch {
	t.Helper()
	var lines strings.Builder
	for i := range items {
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"stop %d"}]}}`+"\n",
			i, fleettest.ModelName, tokens, i)
	}
	file, err := c.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(lines.String()), "stops.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	job, err := c.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		t.Fatal(err)
	}
	return job
}

// TestOpenAIClientLibraryRunsAndCancelsABatch checks that the OpenAI client library can
// upload a file, run a job, read its output and cancel another job.
func TestOpenAIClientLibraryRunsAndCancelsABatch(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f := fleettest.Start(t, fleettest.Options{})
	c := newClient(f, f.Keys["garrafon"])

	const items = 10
	job := submitBatch(ctx, t, c, items, 2)
	f.Eventually("the batch completes", func() bool {
		got, err := c.Batches.Get(ctx, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		job = got
		return job.Status == openai.BatchStatusCompleted
	})
	if job.RequestCounts.Completed != items {
		t.Errorf("completed %d of %d items", job.RequestCounts.Completed, items)
	}
	content, err := c.Files.Content(ctx, job.OutputFileID)
	if err != nil {
		t.Fatal(err)
	}
	defer content.Body.Close()

	long := submitBatch(ctx, t, c, 400, 200)
	cancelled, err := c.Batches.Cancel(ctx, long.ID)
	if err != nil {
		t.Fatal(err)
	}
	if cancelled.Status != openai.BatchStatusCancelled && cancelled.Status != openai.BatchStatusCancelling {
		t.Errorf("status after cancel: %s", cancelled.Status)
	}
}

// TestErrorsHaveResultCodes checks that the OpenAI client library exposes the status and
// the result code of an error.
func TestErrorsHaveResultCodes(t *testing.T) {
	ctx := context.Background()
	f := fleettest.Start(t, fleettest.Options{})
	good := newClient(f, f.Keys["garrafon"])
	unknown := chatParams("hello")
	unknown.Model = "no-such-model"
	for _, c := range []struct {
		name   string
		call   func() error
		status int
		code   string
	}{
		{"wrong key", func() error {
			wrong := newClient(f, "wrong")
			_, err := wrong.Chat.Completions.New(ctx, chatParams("hello"))
			return err
		}, 401, "2002"},
		{"unknown model", func() error {
			_, err := good.Chat.Completions.New(ctx, unknown)
			return err
		}, 404, "1003"},
		{"unknown job", func() error {
			_, err := good.Batches.Get(ctx, "batch_none")
			return err
		}, 404, "4002"},
	} {
		var api *openai.Error
		err := c.call()
		if !errors.As(err, &api) || api.StatusCode != c.status || !strings.Contains(api.RawJSON(), `"code":`+c.code) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestBadRequests checks that bad requests are rejected with their own status and result
// code and do not run, and that the gateway serves other requests afterwards.
func TestBadRequests(t *testing.T) {
	ctx := context.Background()
	f := fleettest.Start(t, fleettest.Options{Services: 1})
	for _, c := range []struct {
		name, method, path, body, want string
		status                         int
	}{
		{"malformed body", "POST", "/v1/chat/completions", `{"model":`, `"code":1001`, 400},
		{"no model", "POST", "/v1/chat/completions", `{}`, `"code":1001`, 400},
		{"huge body", "POST", "/v1/chat/completions", strings.Repeat("x", 5<<20), `"code":1002`, 413},
		{"unknown path", "GET", "/nowhere", "", `"code":1004`, 404},
		{"wrong method", "DELETE", "/v1/chat/completions", "", `"code":1006`, 405},
		{"key in the body", "POST", "/orders/1", f.Keys["garrafon"], `"code":1001`, 400},
		{"key in the query", "GET", "/orders/1?k=" + f.Keys["garrafon"], "", `"code":1001`, 400},
	} {
		status, body := f.Call(ctx, 0, "garrafon", c.method, c.path, c.body)
		if status != c.status || !strings.Contains(body, c.want) || !strings.Contains(body, `"not_run":true`) {
			t.Errorf("%s: %d %s", c.name, status, body)
		}
	}
	if status, body := f.Chat(ctx, 0, "garrafon", "still serving", false); status != 200 {
		t.Errorf("a valid request afterwards: %d %s", status, body)
	}
}
