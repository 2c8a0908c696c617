package peer

import (
	"context"
	"sync"

	"github.com/baobablanding/baobablanding/result"
)

// answer collects the chunks of one running request.
type answer struct {
	chunks  chan *Chunk
	full    chan struct{}
	endOnce sync.Once
}

// newAnswer returns an answer that holds the backlog of a stream. A whole
// answer has no chunks, so it gets no room for them.
func newAnswer(stream bool) *answer {
	backlog := 0
	if stream {
		backlog = chunkBacklog
	}
	return &answer{chunks: make(chan *Chunk, backlog), full: make(chan struct{})}
}

func (a *answer) overflow() { a.endOnce.Do(func() { close(a.full) }) }

// Run sends the request to the agent at the address and waits for the whole
// answer. Chunks are given to sink in order, on the caller's goroutine; an
// error of sink cancels the request. The returned error is a *result.Error
// whose verdict says whether the upstream may have run the request.
func (p *Pool) Run(ctx context.Context, address string, req *RunRequest, sink func(Chunk) error) (*RunResponse, error) {
	l, s, err := p.session(address, req.Class)
	if err != nil {
		return nil, err
	}
	a := newAnswer(req.Stream)
	l.answers.Store(req.ID, a)
	defer l.answers.Delete(req.ID)

	r := &run{session: s, request: req, answer: a, sink: sink}
	return r.wait(ctx)
}

// run is one request that waits for its answer.
type run struct {
	session *Session
	request *RunRequest
	answer  *answer
	sink    func(Chunk) error
	seen    int
}

func (r *run) wait(ctx context.Context) (*RunResponse, error) {
	done := make(chan error, 1)
	response := new(RunResponse)
	go func() {
		done <- r.session.conn.Call(ctx, MethodRun, r.request, response)
	}()
	for {
		select {
		case c := <-r.answer.chunks:
			if err := r.take(c); err != nil {
				r.cancel()
				return nil, err
			}
		case <-r.answer.full:
			r.cancel()
			return nil, result.New(result.CallerTooSlow, result.MayHaveRun)
		case err := <-done:
			if err != nil {
				return nil, r.failed(ctx, err)
			}
			return r.finish(response)
		}
	}
}

// take passes a chunk on after checking that none is missing.
func (r *run) take(c *Chunk) error {
	if c.Seq != r.seen {
		return result.New(result.AnswerIncomplete, result.Answered)
	}
	r.seen++
	return r.sink(*c)
}

// failed returns the typed form of a call's error and cancels the request if
// it may still run.
func (r *run) failed(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return decodeError(err)
	}
	r.cancel()
	if context.Cause(ctx) == context.DeadlineExceeded {
		return result.New(result.DeadlineExceeded, result.MayHaveRun)
	}
	return result.New(result.CallerGone, result.MayHaveRun)
}

// finish passes on the chunks that arrived before the response and checks that
// the answer is whole and belongs to the request.
func (r *run) finish(response *RunResponse) (*RunResponse, error) {
	if response.ID != r.request.ID {
		return nil, result.New(result.AnswerIncomplete, result.Answered)
	}
	for r.seen < response.Chunks {
		select {
		case c := <-r.answer.chunks:
			if err := r.take(c); err != nil {
				return nil, err
			}
		default:
			return nil, result.New(result.AnswerIncomplete, result.Answered)
		}
	}
	return response, nil
}

func (r *run) cancel() {
	_ = r.session.Notify(context.Background(), MethodCancel, Cancel{ID: r.request.ID})
}
