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
	// itemBackoff is the mean delay after an item's first failed attempt. It doubles with
	// each further one.
	itemBackoff = 500 * time.Millisecond
)

// start starts a pending item at the upstream.
func (r *chunkRun) start(index int, up *blackboard.Upstream) {
	r.pending = remove(r.pending, index)
	r.run(index, up, false)
}

// remove removes the value, which must occur, from the list.
func remove(list []int, value int) []int {
	i := slices.Index(list, value)
	return slices.Delete(list, i, i+1)
}

// startIsolated starts the first item that must run alone. An item of a serial chunk is
// marked in the store before, so that the store counts it against the item if the lease
// expires while it runs.
func (r *chunkRun) startIsolated(up *blackboard.Upstream) {
	index := r.isolated[0]
	if !r.serial {
		r.isolated = r.isolated[1:]
		r.run(index, up, true)
		return
	}
	mark := func(ctx context.Context, claim *batch.Claim) error {
		return r.c.Store.MarkSoloItem(ctx, claim, index+1)
	}
	r.callStore(mark, func(err error) {
		switch {
		case err == nil:
			r.isolated = r.isolated[1:]
			r.run(index, up, true)
		case batch.IsClaimLost(err):
			r.onClaimLost(err)
		default:
			r.earliestStart[index] = r.c.storeRetryTime()
		}
	})
}

// run runs an item at the upstream on another goroutine. If the upstream is
// reserved for the item, the end of the attempt ends the reservation.
func (r *chunkRun) run(index int, up *blackboard.Upstream, reserved bool) {
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
			if reserved {
				delete(r.c.reserved, name)
			}
			if !r.dropped {
				r.onAttemptEnd(index, name, reserved, resp, err)
			}
		}
	})
}

// request counts an attempt of the item and returns its request.
func (r *chunkRun) request(index int, upstream string) *peer.RunRequest {
	item := &r.items[index]
	r.countedAttempts[index]++
	r.started++
	return &peer.RunRequest{
		ID:          fmt.Sprintf("%s.%d.%d.%d.%d", r.claim.Job, r.claim.Index, r.claim.Epoch, index, r.started),
		Workspace:   r.claim.JobRecord.Workspace,
		Class:       fleet.ClassBatch,
		Upstream:    upstream,
		Method:      http.MethodPost,
		Path:        item.URL,
		ContentType: "application/json",
		Body:        item.Body,
		Idempotent:  true,
		Timeout:     itemTimeout,
	}
}

// onAttemptEnd handles the end of an attempt. An upstream's 429 (Too Many Requests) is
// retried; any other response is the item's result.
func (r *chunkRun) onAttemptEnd(index int, upstream string, alone bool, resp *peer.RunResponse, err error) {
	switch {
	case err == nil && resp.Status == http.StatusTooManyRequests:
		r.retry(index, alone, result.New(result.UpstreamFailed, result.Answered))
	case err == nil:
		r.recordResponse(index, resp)
	default:
		r.onAttemptError(index, upstream, alone, result.FromError(err))
	}
}

// onAttemptError handles an attempt that got no response. An attempt that was rejected or
// preempted does not count towards the limit, nor does one whose failure another item at
// the engine may have caused; that item runs again alone.
func (r *chunkRun) onAttemptError(index int, upstream string, alone bool, e *result.Error) {
	r.c.Metrics.attempts.WithLabelValues(e.Code.String()).Inc()
	switch {
	case e.Verdict == result.NotRun, e.Code == result.Preempted:
		r.countedAttempts[index]--
		r.c.blockedUntil[upstream] = time.Now().Add(retryDelay)
		r.putBack(index, alone)
	case !alone && isAmbiguous(e.Code):
		r.countedAttempts[index]--
		r.isolated = append(r.isolated, index)
	default:
		r.retry(index, alone, e)
	}
}

// isAmbiguous reports whether another item at the same engine may have caused a failure
// with the code.
func isAmbiguous(code result.Code) bool {
	switch code {
	case result.AnswerIncomplete, result.OutcomeUnknown, result.UpstreamOverloaded, result.UpstreamUnreachable:
		return true
	default:
		return false
	}
}

// putBack returns an item that did not run to the front of its queue.
func (r *chunkRun) putBack(index int, alone bool) {
	if alone {
		r.isolated = slices.Insert(r.isolated, 0, index)
	} else {
		r.pending = slices.Insert(r.pending, 0, index)
	}
}

// retry queues an item again with an exponential delay, or fails it after its last attempt.
func (r *chunkRun) retry(index int, alone bool, e *result.Error) {
	if r.countedAttempts[index] >= r.maxAttempts() {
		r.recordFailure(index, e)
		return
	}
	r.earliestStart[index] = time.Now().Add(jitter(itemBackoff << (r.countedAttempts[index] - 1)))
	if alone {
		r.isolated = append(r.isolated, index)
	} else {
		r.pending = append(r.pending, index)
	}
}

// recordResponse records the upstream's response to an item. A response with a status of
// 400 or more goes to the error lines.
func (r *chunkRun) recordResponse(index int, resp *peer.RunResponse) {
	r.recordLine(index, resp.Status >= http.StatusBadRequest, batch.ResultLine{
		ID:       resp.ID,
		CustomID: r.items[index].CustomID,
		Response: &batch.ResultResponse{StatusCode: resp.Status, RequestID: resp.ID, Body: jsonBody(resp)},
	})
}

// jsonBody returns the response's body if it is JSON, or else the body as a JSON string.
func jsonBody(resp *peer.RunResponse) json.RawMessage {
	if json.Valid(resp.Body) {
		return resp.Body
	}
	text, _ := json.Marshal(string(resp.Body))
	return text
}

// recordFailure records the error line of an item that failed in all its attempts; e is the
// error of the last one.
func (r *chunkRun) recordFailure(index int, e *result.Error) {
	r.recordLine(index, true, batch.ResultLine{
		ID:       fmt.Sprintf("%s.%d.%d", r.claim.Job, r.claim.Index, index),
		CustomID: r.items[index].CustomID,
		Error: &batch.ResultError{
			Code:    result.ItemFailed.String(),
			Number:  int(result.ItemFailed),
			Message: fmt.Sprintf("last attempt: %s (%d)", e.Code, int(e.Code)),
		},
	})
}

// recordLine stores the line of an item, which gets exactly one.
func (r *chunkRun) recordLine(index int, failed bool, line batch.ResultLine) {
	data, err := json.Marshal(line)
	if err != nil {
		data, _ = json.Marshal(batch.ResultLine{ID: line.ID, CustomID: line.CustomID, Error: &batch.ResultError{
			Code: result.Internal.String(), Number: int(result.Internal), Message: "the answer cannot be encoded",
		}})
		failed = true
	}
	r.lines[index] = append(data, '\n')
	r.failed[index] = failed
	r.unfinished--
	r.bytes += len(data)
	outcome := "completed"
	if failed {
		outcome = "failed"
	}
	r.c.Metrics.items.WithLabelValues(outcome).Inc()
}
