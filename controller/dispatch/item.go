package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/result"
)

const (
	itemTimeout = 2 * time.Minute
	itemBackoff = 500 * time.Millisecond // after the first failed attempt
)

// start starts a pending item at the upstream.
func (r *chunkRun) start(index int, up *blackboard.Upstream) {
	r.pending = remove(r.pending, index)
	r.run(index, up, false)
}

func remove(list []int, value int) []int {
	i := slices.Index(list, value)
	return slices.Delete(list, i, i+1)
}

// startAlone starts the first item that must run alone. The items of a careful
// chunk are marked first.
func (r *chunkRun) startAlone(up *blackboard.Upstream) {
	index := r.suspects[0]
	if !r.careful {
		r.suspects = r.suspects[1:]
		r.run(index, up, true)
		return
	}
	mark := func(ctx context.Context, claim *batch.Claim) error { return r.c.Store.Mark(ctx, claim, index+1) }
	r.call(mark, func(err error) {
		switch {
		case err == nil:
			r.suspects = r.suspects[1:]
			r.run(index, up, true)
		case batch.IsLost(err):
			r.lost(err)
		default:
			r.notStart[index] = r.c.retryStore()
		}
	})
}

// run runs an item at the upstream.
func (r *chunkRun) run(index int, up *blackboard.Upstream, alone bool) {
	name := up.Spec.Name
	r.running++
	r.c.running[name]++
	r.c.Metrics.running.Inc()
	req := r.request(index, name)
	r.c.async(func() func() {
		resp, err := r.c.Runner.Run(r.ctx, req, nil)
		return func() {
			r.running--
			r.c.running[name]--
			r.c.Metrics.running.Dec()
			if alone {
				delete(r.c.alone, name)
			}
			if !r.dropped {
				r.ended(index, name, alone, resp, err)
			}
		}
	})
}

func (r *chunkRun) request(index int, upstream string) *peer.RunRequest {
	item := &r.items[index]
	r.tries[index]++
	r.runs++
	return &peer.RunRequest{
		ID:          fmt.Sprintf("%s.%d.%d.%d.%d", r.claim.Job, r.claim.Index, r.claim.Epoch, index, r.runs),
		Workspace:   r.claim.JobRecord.Workspace,
		Class:       fleet.Batch,
		Upstream:    upstream,
		Method:      http.MethodPost,
		Path:        item.URL,
		ContentType: "application/json",
		Body:        item.Body,
		Idempotent:  true,
		Timeout:     itemTimeout,
	}
}

// ended takes in the outcome of an attempt.
func (r *chunkRun) ended(index int, upstream string, alone bool, resp *peer.RunResponse, err error) {
	switch {
	case err == nil && resp.Status == http.StatusTooManyRequests:
		r.retry(index, alone, result.New(result.UpstreamFailed, result.Answered))
	case err == nil:
		r.answer(index, resp)
	default:
		r.refused(index, upstream, alone, result.From(err))
	}
}

// refused takes in an attempt without an answer.
func (r *chunkRun) refused(index int, upstream string, alone bool, e *result.Error) {
	r.c.Metrics.attempts.WithLabelValues(e.Code.String()).Inc()
	switch {
	case e.Verdict == result.NotRun, e.Code == result.Preempted:
		r.tries[index]--
		r.c.blocked[upstream] = time.Now().Add(retryDelay)
		r.putBack(index, alone)
	case !alone && ambiguous(e.Code):
		r.tries[index]--
		r.suspects = append(r.suspects, index)
	default:
		r.retry(index, alone, e)
	}
}

// ambiguous tells whether another item at the same engine may have caused the
// failure.
func ambiguous(code result.Code) bool {
	switch code {
	case result.AnswerIncomplete, result.OutcomeUnknown, result.UpstreamOverloaded, result.UpstreamUnreachable:
		return true
	default:
		return false
	}
}

// putBack lets an item that was not run start again first.
func (r *chunkRun) putBack(index int, alone bool) {
	if alone {
		r.suspects = slices.Insert(r.suspects, 0, index)
	} else {
		r.pending = slices.Insert(r.pending, 0, index)
	}
}

// retry lets an item start again after a while, or fails it.
func (r *chunkRun) retry(index int, alone bool, e *result.Error) {
	if r.tries[index] >= r.limit() {
		r.fail(index, e)
		return
	}
	r.notStart[index] = time.Now().Add(jitter(itemBackoff << (r.tries[index] - 1)))
	if alone {
		r.suspects = append(r.suspects, index)
	} else {
		r.pending = append(r.pending, index)
	}
}

// answer records the upstream's answer to an item. An answer that refuses the
// item goes to the error lines.
func (r *chunkRun) answer(index int, resp *peer.RunResponse) {
	r.record(index, resp.Status >= http.StatusBadRequest, batch.ResultLine{
		ID:       resp.ID,
		CustomID: r.items[index].CustomID,
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

// fail records the error line of an item that failed in every attempt.
func (r *chunkRun) fail(index int, e *result.Error) {
	r.record(index, true, batch.ResultLine{
		ID:       fmt.Sprintf("%s.%d.%d", r.claim.Job, r.claim.Index, index),
		CustomID: r.items[index].CustomID,
		Error: &batch.ResultError{
			Code:    result.ItemFailed.String(),
			Number:  int(result.ItemFailed),
			Message: fmt.Sprintf("last attempt: %s (%d)", e.Code, int(e.Code)),
		},
	})
}

// record stores the one line of an item.
func (r *chunkRun) record(index int, failed bool, line batch.ResultLine) {
	data, err := json.Marshal(line)
	if err != nil {
		data, _ = json.Marshal(batch.ResultLine{ID: line.ID, CustomID: line.CustomID, Error: &batch.ResultError{
			Code: result.Internal.String(), Number: int(result.Internal), Message: "the answer cannot be encoded",
		}})
		failed = true
	}
	r.lines[index] = append(data, '\n')
	r.failed[index] = failed
	r.left--
	r.bytes += len(data)
	outcome := "completed"
	if failed {
		outcome = "failed"
	}
	r.c.Metrics.items.WithLabelValues(outcome).Inc()
}
