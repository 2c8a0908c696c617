package serve

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/peer"
)

// AgentClient forwards requests to the agents of upstreams. It is used by several
// goroutines at once.
type AgentClient interface {
	// Run sends the request to the agent at the address and returns the end of the
	// response. It passes the chunks of a streamed response to onChunk as they
	// arrive, in order and on its caller's goroutine; an error of onChunk cancels the
	// request. The returned error is a *result.Error whose verdict says whether the
	// upstream may have run the request.
	Run(ctx context.Context, address string, req *peer.RunRequest, onChunk func(peer.Chunk) error) (*peer.RunResponse, error)
}

// Server runs requests of callers at upstreams, by the state on the board. It may be
// used by several goroutines.
type Server struct {
	board        *blackboard.Board
	agents       AgentClient
	dataCentre   string
	retryBudgets retryBudgets
	metrics      *Metrics
}

// New returns the Server of a gateway in the data centre.
func New(board *blackboard.Board, agents AgentClient, dataCentre string, metrics *Metrics) *Server {
	return &Server{board: board, agents: agents, dataCentre: dataCentre, metrics: metrics}
}

// Serve runs the request and passes its response to the sink. The error is a
// *result.Error. If the sink was started before the error, the response is incomplete.
func (s *Server) Serve(ctx context.Context, req *Request, sink Sink) error {
	view := s.board.Config.Value().View
	r, err := s.admit(ctx, view, req)
	if err != nil {
		s.countRejected(req, err)
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, view.Inventory.Rules.RequestTimeout, context.DeadlineExceeded)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	if r.workspace != nil {
		go s.watchKey(ctx, req.Key, cancelCause)
	}
	r.sink = sink
	r.tracker = newTracker(s.board.Objectives.Value(), r.workspaceName(), routeName(req))
	if err = s.renewAdmission(ctx, r); err == nil {
		err = cancelError(ctx, s.tryUpstreams(ctx, r))
	}
	s.metrics.countFinished(r, err)
	return err
}

// countRejected counts a request that was not admitted. Its workspace is not known,
// so only objectives for all workspaces cover it.
func (s *Server) countRejected(req *Request, err error) {
	s.metrics.countRejected(err)
	t := newTracker(s.board.Objectives.Value(), "", routeName(req))
	t.countFinished(req.Received, time.Time{}, err)
}
