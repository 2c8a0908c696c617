package serve

import (
	"context"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/peer"
)

// Runner forwards a request to the agent at an address.
type Runner interface {
	// Run returns the end of the answer. Chunks are given to sink before.
	Run(ctx context.Context, address string, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error)
}

// Server runs requests by the state on the board.
type Server struct {
	board      *blackboard.Board
	runner     Runner
	dataCentre string
	budgets    budgets
	metrics    *Metrics
}

// New returns a Server in the data centre.
func New(board *blackboard.Board, runner Runner, dataCentre string, metrics *Metrics) *Server {
	return &Server{board: board, runner: runner, dataCentre: dataCentre, metrics: metrics}
}

// Serve runs the request and passes its answer to sink. The error is a
// *result.Error; once sink was started, it means that the answer broke off.
func (s *Server) Serve(ctx context.Context, req *Request, sink Sink) error {
	view := s.board.Config.Value().View
	call, err := s.admit(ctx, view, req)
	if err != nil {
		s.refused(req, err)
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, view.Inventory.Rules.RequestTimeout, context.DeadlineExceeded)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if call.workspace != nil {
		go s.watch(ctx, req.Key, end)
	}
	call.sink = sink
	call.tracker = newTracker(s.board.Objectives.Value(), call.workspaceName(), routeName(req))
	if err = s.confirm(ctx, call); err == nil {
		err = ended(ctx, s.attempts(ctx, call))
	}
	s.metrics.done(call, err)
	return err
}

// refused counts a request that was not admitted. Its workspace is not known,
// so only objectives for all workspaces cover it.
func (s *Server) refused(req *Request, err error) {
	s.metrics.refused(err)
	t := newTracker(s.board.Objectives.Value(), "", routeName(req))
	t.done(req.Received, time.Time{}, err)
}
