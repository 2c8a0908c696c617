package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// completionRequest holds the fields of a completion request that the stand-in reads.
type completionRequest struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Prompt    string            `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
}

// text returns the prompt or, if there is none, the content of the last message.
func (r *completionRequest) text() string {
	if r.Prompt != "" || len(r.Messages) == 0 {
		return r.Prompt
	}
	var last struct {
		Content string `json:"content"`
	}
	_ = json.Unmarshal(r.Messages[len(r.Messages)-1], &last)
	return last.Content
}

// poisonPrompt is a text in a prompt that always fails, with status 500.
const poisonPrompt = "poison"

// completionHandler returns the handler of a completion endpoint.
func (e *Engine) completionHandler(format responseFormat) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := parseCompletion(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		entry := e.requests.add(r, req.text())
		inc := e.startRequest()
		if inc == nil {
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
			return
		}
		e.requests.running(entry, inc.running.Load())
		answered := false
		defer e.finishRequest(inc, &answered)
		if strings.Contains(req.text(), poisonPrompt) {
			http.Error(w, "cannot process", http.StatusInternalServerError)
			return
		}
		g := generation{engine: e, format: format, request: req, w: w, r: r, incarnation: inc}
		if answered = g.respond(); answered {
			e.requests.setDone(entry)
		}
	}
}

// parseCompletion decodes a request. It returns errMalformedBody if that fails.
func parseCompletion(body io.Reader) (*completionRequest, error) {
	req := new(completionRequest)
	if err := json.NewDecoder(body).Decode(req); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedBody, err)
	}
	return req, nil
}

// generation is one running completion.
type generation struct {
	engine      *Engine
	format      responseFormat
	request     *completionRequest
	w           http.ResponseWriter
	r           *http.Request
	incarnation *incarnation
	mixedUp     bool // the response carries the ID and content of another request
}

// otherRequestID is the request ID and the content of mixed-up responses.
const otherRequestID = "another-request"

// wait waits for d. It returns false early if the request is cancelled or if the engine
// is restarted; the restart closes the connection.
func (g *generation) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.incarnation.ended:
		dropConnection(g.w)
		return false
	case <-g.r.Context().Done():
		return false
	}
}

// respond writes the response and reports whether it was written completely.
func (g *generation) respond() bool {
	e := g.engine
	id := g.r.Header.Get("X-Request-Id")
	if e.takeFault(func(f *Faults) *int { return &f.MixUpResponses }) {
		id = otherRequestID
		g.mixedUp = true
	}
	g.w.Header().Set("X-Request-Id", id)
	if !g.wait(e.prefillTime(g.request.text())) {
		return false
	}
	tokens := g.request.MaxTokens
	if tokens <= 0 {
		tokens = e.opts.Tokens
	}
	if g.request.Stream {
		return g.stream(tokens)
	}
	for range tokens {
		if !g.wait(e.tokenInterval()) {
			return false
		}
	}
	g.writeResponse(tokens)
	return true
}

// responseText returns the content of the response. That of a mixed-up response belongs
// to another request.
func (g *generation) responseText() string {
	if g.mixedUp {
		return "answer to: " + otherRequestID
	}
	return "answer to: " + g.request.text()
}

// writeResponse writes a complete response.
func (g *generation) writeResponse(tokens int) {
	writeJSON(g.w, http.StatusOK, map[string]any{
		"id":      g.format.idPrefix + g.r.Header.Get("X-Request-Id"),
		"object":  g.format.object,
		"created": time.Now().Unix(),
		"model":   g.request.Model,
		"choices": []any{g.format.choice(g.responseText())},
		"usage":   map[string]int{"prompt_tokens": len(g.request.text()), "completion_tokens": tokens, "total_tokens": tokens + len(g.request.text())},
	})
}

// stream writes a streamed response and reports whether it was written completely.
func (g *generation) stream(tokens int) bool {
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.writeEvent(g.format.delta(g.responseText()))
	for i := 1; i < tokens; i++ {
		if !g.wait(g.engine.tokenInterval()) {
			return false
		}
		g.writeEvent(g.format.delta(fmt.Sprintf(" t%d", i)))
	}
	if g.engine.takeFault(func(f *Faults) *int { return &f.TruncateStreams }) {
		dropConnection(g.w)
		return false
	}
	_, err := io.WriteString(g.w, "data: [DONE]\n\n")
	return err == nil
}

// writeEvent writes one event of a stream.
func (g *generation) writeEvent(choice map[string]any) {
	data, _ := json.Marshal(map[string]any{
		"id":      g.format.idPrefix + g.r.Header.Get("X-Request-Id"),
		"object":  g.format.chunkObject,
		"created": time.Now().Unix(),
		"model":   g.request.Model,
		"choices": []any{choice},
	})
	fmt.Fprintf(g.w, "data: %s\n\n", data)
	_ = http.NewResponseController(g.w).Flush()
}

// prefillTime returns the time to the first token. It is a quarter for a cached prefix
// and grows with the load above FullSpeedRequests.
func (e *Engine) prefillTime(prompt string) time.Duration {
	d := e.opts.Prefill
	if e.cache.touch(prompt) {
		d /= 4
	}
	return time.Duration(float64(d) * e.slowdown())
}

// tokenInterval returns the current time between two tokens.
func (e *Engine) tokenInterval() time.Duration {
	return time.Duration(float64(e.opts.PerToken) * e.slowdown())
}

// slowdown returns the factor by which the load lengthens times: 1 up to
// FullSpeedRequests running requests, and their ratio to FullSpeedRequests above it.
func (e *Engine) slowdown() float64 {
	return max(1, float64(e.Running())/float64(e.opts.FullSpeedRequests))
}
