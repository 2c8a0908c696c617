package fleettest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Chat sends a chat completion request with the workspace's key to the gateway with the
// given index. It returns the status and body of the response, or status 0 and the text
// of the error if no complete response was received. It may be called from several
// goroutines.
func (f *Fleet) Chat(ctx context.Context, i int, workspace, prompt string, stream bool) (int, string) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":4,"messages":[{"role":"user","content":%q}]}`, ModelName, stream, prompt)
	return f.Call(ctx, i, workspace, http.MethodPost, "/v1/chat/completions", body)
}

// Call sends a request with a JSON body and the workspace's key to the gateway with the
// given index. It sends no key for an unknown workspace. Its results are those of Chat.
func (f *Fleet) Call(ctx context.Context, i int, workspace, method, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, f.URL(i)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	if key := f.Keys[workspace]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// IsCompleteStream reports whether the body of a streamed response ends with the final
// event.
func IsCompleteStream(body string) bool { return strings.HasSuffix(body, "data: [DONE]\n\n") }
