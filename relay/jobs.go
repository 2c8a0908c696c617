package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/result"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// headsValidity is how old a reading of the jobs' heads may be to answer a
	// caller without asking the store.
	headsValidity = 850 * time.Millisecond
	// cutOffAge is how old the last reading of the store may be when another daemon
	// has a younger one: then only this daemon has lost the store.
	cutOffAge = time.Second
	// lostAge is how old it may be otherwise.
	lostAge = 1800 * time.Millisecond
	// maxSubmitTime bounds the acceptance of a job.
	maxSubmitTime = 2500 * time.Millisecond
)

// Jobs answers callers about batch jobs.
type Jobs struct {
	*Server
	ledger *job.Ledger
	self   blackboard.Peer
}

// NewJobs returns the part of the server that answers about batch jobs.
func NewJobs(server *Server, ledger *job.Ledger, self blackboard.Peer) *Jobs {
	return &Jobs{Server: server, ledger: ledger, self: self}
}

// reachable refuses calls about jobs at once while the store is lost: a call of a
// silent store would take longer than a caller needs to ask another daemon.
func (j *Jobs) reachable() error {
	age := clock.Since(j.board.Reading.Value().Sent)
	if age > cutOffAge && j.board.PeersReadWithin(cutOffAge) || age > lostAge {
		return j.elsewhere(result.StoreUnavailable)
	}
	return nil
}

// Submit accepts a job with the id on an admitted route.
func (j *Jobs) Submit(ctx context.Context, a *Admission, id string, items []job.Item) error {
	switch {
	case len(items) == 0:
		return result.New(result.EmptyBatch, result.NotRun)
	case len(items) > job.MaxItems:
		return result.New(result.TooManyItems, result.NotRun)
	case j.board.Phase.Value() == blackboard.Draining:
		return result.New(result.Draining, result.NotRun).After(busyRetry)
	}
	if err := j.reachable(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, maxSubmitTime)
	defer cancel()
	s := &job.Submission{
		Key: job.Key{Workspace: a.WorkspaceName(), ID: id}, Route: a.Route.Name, Owner: j.self.Incarnation,
		Due: a.Route.Completion, MaxWaiting: a.Route.MaxWaitingTokens, Items: items,
	}
	err := j.ledger.Accept(ctx, s)
	line := j.log.Info().Str("job", id).Str("workspace", s.Key.Workspace).Int("items", len(items)).Err(err)
	if err != nil {
		line.Msg("batch job was not accepted")
		return err
	}
	line.Msg("batch job was accepted")
	if head, err := j.ledger.Head(ctx, s.Key); err == nil {
		j.board.NoteJob(s.Key, head)
	}
	return nil
}

// Read returns the job's results from the position on. It waits for one for at
// most wait.
func (j *Jobs) Read(ctx context.Context, key job.Key, after int, wait time.Duration) (job.Page, error) {
	until := clock.Now().Add(wait)
	for {
		if err := j.reachable(); err != nil {
			return job.Page{}, err
		}
		snap := j.board.Jobs.Load()
		head, err := j.head(ctx, snap.Value, key)
		if err != nil {
			return job.Page{}, storeError(err)
		}
		if len(head.Done) > after {
			page, err := j.ledger.Results(ctx, key, head, after)
			return page, storeError(err)
		}
		left := until.Sub(clock.Now())
		if left <= 0 || !head.Open() || ctx.Err() != nil {
			return job.Page{Total: head.Total, Next: after}, nil
		}
		waitFor(ctx, snap.Changed(), min(left, headsValidity/2))
	}
}

func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// head returns the job's head from the board if it is recent, otherwise from the
// store.
func (j *Jobs) head(ctx context.Context, jobs *blackboard.Jobs, key job.Key) (*job.Versioned, error) {
	recent := clock.Since(clock.Instant(j.board.JobsRead.Load())) < headsValidity
	if known := jobs.Get(key); known != nil && recent {
		return known, nil
	}
	head, err := j.ledger.Head(ctx, key)
	if err == nil {
		j.board.NoteJob(key, head)
	}
	return head, err
}

// storeError returns an error that tells a caller to ask again.
func storeError(err error) error {
	if err == nil {
		return nil
	}
	if coded, ok := errors.AsType[*result.Error](err); ok {
		return coded
	}
	if errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrNotDone) {
		return result.New(result.StoreUnavailable, result.NotRun).After(busyRetry)
	}
	return err
}

// Body returns the body of an item of the job.
func (j *Jobs) Body(ctx context.Context, key job.Key, item string) ([]byte, error) {
	if err := j.reachable(); err != nil {
		return nil, err
	}
	head, err := j.head(ctx, j.board.Jobs.Value(), key)
	if err != nil {
		return nil, storeError(err)
	}
	items, err := j.ledger.Items(ctx, key, head.Chunks)
	if err != nil {
		return nil, storeError(err)
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, result.New(result.NotFound, result.NotRun)
}

// End ends the job.
func (j *Jobs) End(ctx context.Context, key job.Key) error {
	if err := j.reachable(); err != nil {
		return err
	}
	err := j.ledger.End(ctx, key)
	j.log.Info().Str("job", key.ID).Err(err).Msg("caller ends a batch job")
	return storeError(err)
}
