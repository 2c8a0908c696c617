package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

const (
	itemTimeout = 2 * time.Minute
	retryDelay  = 100 * time.Millisecond
)

// chunkRun collects the results of one claimed chunk.
type chunkRun struct {
	c      *Controller
	job    *batch.Job
	claim  *batch.Claim
	items  []batch.Item
	output bytes.Buffer
	errors bytes.Buffer
}

func newChunkRun(c *Controller, job *batch.Job, claim *batch.Claim, items []batch.Item) *chunkRun {
	return &chunkRun{c: c, job: job, claim: claim, items: items}
}

// run runs every item and returns whether all have a result.
func (r *chunkRun) run(ctx context.Context) bool {
	for i := range r.items {
		if !r.item(ctx, i) {
			return false
		}
	}
	return true
}

// item runs one item until it has a result. It returns false when ctx ends.
func (r *chunkRun) item(ctx context.Context, index int) bool {
	limit := r.c.board.Config.Value().View.Inventory.Rules.BatchAttempts
	for attempt := 1; ; {
		resp, err := r.attempt(ctx, index, attempt)
		switch {
		case ctx.Err() != nil:
			return false
		case err == nil:
			r.succeed(&r.items[index], resp)
			return true
		case result.From(err).Verdict != result.NotRun:
			attempt++
			if attempt > limit {
				r.fail(&r.items[index], result.From(err))
				return true
			}
		}
		if !sleep(ctx, retryDelay) {
			return false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *chunkRun) attempt(ctx context.Context, index, attempt int) (*peer.RunResponse, error) {
	up := r.c.idle(r.job)
	if up == nil {
		return nil, result.New(result.NoUpstream, result.NotRun)
	}
	item := &r.items[index]
	return r.c.runner.Run(ctx, &peer.RunRequest{
		ID:          fmt.Sprintf("%s.%d.%d.%d.%d", r.job.ID, r.claim.Index, r.claim.Epoch, index, attempt),
		Workspace:   r.job.Workspace,
		Class:       fleet.Batch,
		Upstream:    up.Spec.Name,
		Method:      http.MethodPost,
		Path:        item.URL,
		ContentType: "application/json",
		Body:        item.Body,
		Idempotent:  true,
		Timeout:     itemTimeout,
	}, nil)
}

func (r *chunkRun) succeed(item *batch.Item, resp *peer.RunResponse) {
	r.claim.Completed++
	writeLine(&r.output, batch.ResultLine{
		ID:       resp.ID,
		CustomID: item.CustomID,
		Response: &batch.ResultResponse{StatusCode: resp.Status, RequestID: resp.ID, Body: bodyOf(resp)},
	})
}

// bodyOf returns the answer's body as JSON.
func bodyOf(resp *peer.RunResponse) json.RawMessage {
	if json.Valid(resp.Body) {
		return resp.Body
	}
	text, _ := json.Marshal(string(resp.Body))
	return text
}

func (r *chunkRun) fail(item *batch.Item, e *result.Error) {
	r.claim.Failed++
	writeLine(&r.errors, batch.ResultLine{
		ID:       r.claim.Job + "." + item.CustomID,
		CustomID: item.CustomID,
		Error: &batch.ResultError{
			Code:    result.ItemFailed.String(),
			Number:  int(result.ItemFailed),
			Message: fmt.Sprintf("last attempt: %s (%d)", e.Code, int(e.Code)),
		},
	})
}

func writeLine(buf *bytes.Buffer, line batch.ResultLine) {
	data, err := json.Marshal(line)
	if err != nil {
		return
	}
	buf.Write(data)
	buf.WriteByte('\n')
}
