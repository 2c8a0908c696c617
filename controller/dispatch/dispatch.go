// Package dispatch runs batch items on the upstreams beside an agent while they
// are idle.
package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
)

const (
	pollInterval = 500 * time.Millisecond
	chunkLease   = 30 * time.Second
)

// Runner runs one request at a local upstream.
type Runner interface {
	// Run returns the upstream's answer.
	Run(ctx context.Context, req *peer.RunRequest, sink func(peer.Chunk) error) (*peer.RunResponse, error)
}

// Controller claims chunks of batch jobs and runs them.
type Controller struct {
	board  *blackboard.Board
	store  *batch.Store
	runner Runner
	holder string
	log    *log.Logger
}

// New returns a Controller that claims chunks in the name of holder.
func New(board *blackboard.Board, store *batch.Store, runner Runner, holder string, logger *log.Logger) *Controller {
	return &Controller{board: board, store: store, runner: runner, holder: holder, log: logger}
}

// Run works on batch jobs until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for c.step(ctx) {
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// step runs one chunk and returns whether there was one.
func (c *Controller) step(ctx context.Context) bool {
	if ctx.Err() != nil || c.board.Phase.Value() != blackboard.Serving {
		return false
	}
	jobs, err := c.store.Active(ctx)
	if err != nil {
		return false
	}
	for i := range jobs {
		up := c.idle(&jobs[i])
		if up == nil {
			continue
		}
		claim, err := c.store.Claim(ctx, &jobs[i], c.holder, time.Now(), chunkLease)
		if err != nil {
			return false
		}
		if claim == nil {
			continue
		}
		c.work(ctx, &jobs[i], claim)
		return true
	}
	return false
}

// idle returns a ready upstream here that serves the job's models, or nil.
func (c *Controller) idle(job *batch.Job) *blackboard.Upstream {
	for _, up := range c.board.Upstreams.Value().All {
		if up.Usable() && up.State == fleet.Ready && serves(up.Spec, job.Models) {
			return up
		}
	}
	return nil
}

func serves(spec *fleet.Upstream, models []string) bool {
	known := make(map[string]bool, len(spec.Models))
	for _, m := range spec.Models {
		known[m] = true
	}
	for _, m := range models {
		if !known[m] {
			return false
		}
	}
	return true
}

// work runs the items of a claimed chunk and commits their results.
func (c *Controller) work(ctx context.Context, job *batch.Job, claim *batch.Claim) {
	items, err := c.store.Input(ctx, claim.Chunk)
	if err != nil {
		c.log.Warn().Str("job", job.ID).Int("chunk", claim.Index).Err(err).Msg("batch input")
		return
	}
	r := newChunkRun(c, job, claim, items)
	if !r.run(ctx) {
		return
	}
	err = c.store.Commit(ctx, claim, r.output.Bytes(), r.errors.Bytes())
	if errors.Is(err, batch.ErrLost) {
		c.log.Info().Str("job", job.ID).Int("chunk", claim.Index).Msg("batch claim lost")
		return
	}
	if err == nil {
		err = c.store.Finish(ctx, job.ID)
	}
	if err != nil {
		c.log.Warn().Str("job", job.ID).Int("chunk", claim.Index).Err(err).Msg("batch commit")
	}
}
