package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// completionRequest is the part of a completion request that the stand-in
// reads.
type completionRequest struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Prompt    string            `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
}

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

// poison is a prompt that the engine never answers.
const poison = "poison"

func (e *Engine) complete(shape answerShape) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := parseCompletion(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		entry := e.log.add(r, req.text())
		l := e.enter()
		if l == nil {
			http.Error(w, "overloaded", http.StatusServiceUnavailable)
			return
		}
		e.log.running(entry, l.running.Load())
		answered := false
		defer e.leave(l, &answered)
		if strings.Contains(req.text(), poison) {
			http.Error(w, "cannot process", http.StatusInternalServerError)
			return
		}
		g := generation{engine: e, shape: shape, request: req, w: w, r: r, life: l}
		if answered = g.run(); answered {
			e.log.done(entry)
		}
	}
}

func parseCompletion(body io.Reader) (*completionRequest, error) {
	req := new(completionRequest)
	if err := json.NewDecoder(body).Decode(req); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadBody, err)
	}
	return req, nil
}

// generation is one running answer.
type generation struct {
	engine  *Engine
	shape   answerShape
	request *completionRequest
	w       http.ResponseWriter
	r       *http.Request
	life    *life
	crossed bool
}

// anotherRequest is the identity and content of crossed answers.
const anotherRequest = "another-request"

// wait waits for d. It returns false if the caller has gone or the engine was
// restarted, which closes the connection.
func (g *generation) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.life.ended:
		dropAnswer(g.w)
		return false
	case <-g.r.Context().Done():
		return false
	}
}

// run writes the answer and returns whether it was written whole.
func (g *generation) run() bool {
	e := g.engine
	id := g.r.Header.Get("X-Request-Id")
	if e.take(func(f *Faults) *int { return &f.CrossAnswers }) {
		id = anotherRequest
		g.crossed = true
	}
	g.w.Header().Set("X-Request-Id", id)
	if !g.wait(e.prefill(g.request.text())) {
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
		if !g.wait(e.tokenTime()) {
			return false
		}
	}
	g.writeWhole(tokens)
	return true
}

// answerText returns the content of the answer; a crossed one is another
// request's.
func (g *generation) answerText() string {
	if g.crossed {
		return "answer to: " + anotherRequest
	}
	return "answer to: " + g.request.text()
}

func (g *generation) writeWhole(tokens int) {
	writeJSON(g.w, http.StatusOK, map[string]any{
		"id":      g.shape.idPrefix + g.r.Header.Get("X-Request-Id"),
		"object":  g.shape.object,
		"created": time.Now().Unix(),
		"model":   g.request.Model,
		"choices": []any{g.shape.choice(g.answerText())},
		"usage":   map[string]int{"prompt_tokens": len(g.request.text()), "completion_tokens": tokens, "total_tokens": tokens + len(g.request.text())},
	})
}

func (g *generation) stream(tokens int) bool {
	g.w.Header().Set("Content-Type", "text/event-stream")
	g.event(g.shape.delta(g.answerText()))
	for i := 1; i < tokens; i++ {
		if !g.wait(g.engine.tokenTime()) {
			return false
		}
		g.event(g.shape.delta(fmt.Sprintf(" t%d", i)))
	}
	if g.engine.take(func(f *Faults) *int { return &f.CutStreams }) {
		dropAnswer(g.w)
		return false
	}
	_, err := io.WriteString(g.w, "data: [DONE]\n\n")
	return err == nil
}

func (g *generation) event(choice map[string]any) {
	data, _ := json.Marshal(map[string]any{
		"id":      g.shape.idPrefix + g.r.Header.Get("X-Request-Id"),
		"object":  g.shape.chunkObject,
		"created": time.Now().Unix(),
		"model":   g.request.Model,
		"choices": []any{choice},
	})
	fmt.Fprintf(g.w, "data: %s\n\n", data)
	_ = http.NewResponseController(g.w).Flush()
}

// prefill returns the time to the first token: less for a cached prefix, more
// when the engine is overloaded.
func (e *Engine) prefill(prompt string) time.Duration {
	d := e.opts.Prefill
	if e.cache.use(prompt) {
		d /= 4
	}
	return time.Duration(float64(d) * e.slowdown())
}

func (e *Engine) tokenTime() time.Duration {
	return time.Duration(float64(e.opts.PerToken) * e.slowdown())
}

// slowdown grows with the number of requests above the knee.
func (e *Engine) slowdown() float64 {
	return max(1, float64(e.Running())/float64(e.opts.Knee))
}
