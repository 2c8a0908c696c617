package prooftest_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/baobablanding/baobablanding/devfleet"
)

// openAIClient returns a client for the first gateway that does not retry.
func openAIClient(f *devfleet.Fleet, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.URL(0)+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// TestOpenAIClientWorksAgainstProcesses guards against responses that the official OpenAI
// client library can't read. It uses the library with only the base URL and key changed,
// against a development fleet of processes, such as make up starts.
func TestOpenAIClientWorksAgainstProcesses(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, devfleet.Options{})
	c := openAIClient(f, f.Keys["garrafon"])
	params := openai.ChatCompletionNewParams{
		Model:    devfleet.ModelName,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}

	whole, err := c.Chat.Completions.New(t.Context(), params)
	if err != nil || whole.Choices[0].Message.Content != "answer to: hello" {
		t.Errorf("whole chat: %v, %v", whole, err)
	}
	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	events := 0
	for stream.Next() {
		events++
	}
	if stream.Err() != nil || events < 2 {
		t.Errorf("streamed chat: %d events, %v", events, stream.Err())
	}
	if models, err := c.Models.List(t.Context()); err != nil || len(models.Data) != 1 {
		t.Errorf("models: %v, %v", models, err)
	}
	runOpenAIBatch(t, c, 20, openai.BatchStatusCompleted)
	cancelled := runOpenAIBatch(t, c, 2000, "")
	if _, err := c.Batches.Cancel(t.Context(), cancelled); err != nil {
		t.Errorf("cancel: %v", err)
	}
	eventually(t, "the batch is cancelled", func() bool {
		job, err := c.Batches.Get(t.Context(), cancelled)
		return err == nil && job.Status == openai.BatchStatusCancelled
	})

	wrong := openAIClient(f, "wrong")
	var api *openai.Error
	if _, err := wrong.Chat.Completions.New(t.Context(), params); !errors.As(err, &api) || !strings.Contains(api.RawJSON(), `"code":2002`) {
		t.Errorf("wrong key: %v", err)
	}
}

// runOpenAIBatch submits a batch job and returns its ID. Unless status is empty, it first
// waits until the job has that status.
func runOpenAIBatch(t *testing.T, c openai.Client, items int, status openai.BatchStatus) string {
	t.Helper()
	_, lines := batchItems(devfleet.ModelName, items, items)
	file, err := c.Files.New(t.Context(), openai.FileNewParams{
		File:    openai.File(strings.NewReader(lines), "stops.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	job, err := c.Batches.New(t.Context(), openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		t.Fatal(err)
	}
	if status != "" {
		eventually(t, "the batch is "+string(status), func() bool {
			got, err := c.Batches.Get(t.Context(), job.ID)
			return err == nil && got.Status == status
		})
	}
	return job.ID
}
