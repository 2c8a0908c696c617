package peer

import (
	"context"
	"sync"

	"github.com/baobablanding/baobablanding/result"
)

// chunkQueue holds the chunks of one running request that were received and not yet read.
type chunkQueue struct {
	chunks       chan *Chunk
	overflowed   chan struct{}
	overflowOnce sync.Once
}

// newChunkQueue returns a queue for maxUnreadChunks chunks if the response is streamed. A
// response that is not streamed has no chunks, so its queue has no room for them.
func newChunkQueue(stream bool) *chunkQueue {
	capacity := 0
	if stream {
		capacity = maxUnreadChunks
	}
	return &chunkQueue{chunks: make(chan *Chunk, capacity), overflowed: make(chan struct{})}
}

// overflow records that a chunk did not fit. It may be called repeatedly.
func (q *chunkQueue) overflow() { q.overflowOnce.Do(func() { close(q.overflowed) }) }

// Run sends the request to the agent at the address and waits for the whole response. It
// calls sink with the chunks of a streamed response in order, on the caller's goroutine.
// An error of sink ends the request and is returned unchanged. Any other error is a
// *result.Error whose verdict says whether the upstream may have run the request.
func (p *Pool) Run(ctx context.Context, address string, req *RunRequest, sink func(Chunk) error) (*RunResponse, error) {
	l, s, err := p.session(address, req.Class)
	if err != nil {
		return nil, err
	}
	queue := newChunkQueue(req.Stream)
	l.queues.Store(req.ID, queue)
	defer l.queues.Delete(req.ID)

	r := &runCall{session: s, request: req, chunkQueue: queue, sink: sink}
	return r.wait(ctx)
}

// runCall is one call of MethodRun that waits for its response.
type runCall struct {
	session    *Session
	request    *RunRequest
	chunkQueue *chunkQueue
	sink       func(Chunk) error
	nextSeq    int
}

// wait sends the request and returns its response or error.
func (r *runCall) wait(ctx context.Context) (*RunResponse, error) {
	done := make(chan error, 1)
	response := new(RunResponse)
	go func() {
		done <- r.session.conn.Call(ctx, MethodRun, r.request, response)
	}()
	for {
		select {
		case c := <-r.chunkQueue.chunks:
			if err := r.deliver(c); err != nil {
				r.cancel()
				return nil, err
			}
		case <-r.chunkQueue.overflowed:
			r.cancel()
			return nil, result.New(result.CallerTooSlow, result.MayHaveRun)
		case err := <-done:
			if err != nil {
				return nil, r.toResultError(ctx, err)
			}
			return r.complete(response)
		}
	}
}

// deliver passes the chunk to sink. It returns an error if an earlier chunk is missing.
func (r *runCall) deliver(c *Chunk) error {
	if c.Sequence != r.nextSeq {
		return result.New(result.AnswerIncomplete, result.Answered)
	}
	r.nextSeq++
	return r.sink(*c)
}

// toResultError converts the error of the call to a *result.Error. If the call ended
// because ctx is done, it cancels the request, which may still run.
func (r *runCall) toResultError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return decodeError(err)
	}
	r.cancel()
	if context.Cause(ctx) == context.DeadlineExceeded {
		return result.New(result.DeadlineExceeded, result.MayHaveRun)
	}
	return result.New(result.CallerGone, result.MayHaveRun)
}

// complete passes the chunks that arrived before the response to sink. It returns
// result.AnswerIncomplete if the response belongs to another request or a chunk is missing.
func (r *runCall) complete(response *RunResponse) (*RunResponse, error) {
	if response.ID != r.request.ID {
		return nil, result.New(result.AnswerIncomplete, result.Answered)
	}
	for r.nextSeq < response.Chunks {
		select {
		case c := <-r.chunkQueue.chunks:
			if err := r.deliver(c); err != nil {
				return nil, err
			}
		default:
			return nil, result.New(result.AnswerIncomplete, result.Answered)
		}
	}
	return response, nil
}

// cancel notifies the agent that the request is canceled. Errors are ignored.
func (r *runCall) cancel() {
	_ = r.session.Notify(context.Background(), MethodCancel, CancelNotice{ID: r.request.ID})
}
