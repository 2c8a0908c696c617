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
	// maxHeadAge is the age up to which a read of the jobs' heads is used to respond
	// to a caller without a call to the store.
	maxHeadAge = 850 * time.Millisecond
	// recentReadAge is the age up to which a read of the store is recent. If
	// another daemon has a recent read and this one has not, the store is
	// unavailable to this daemon only.
	recentReadAge = time.Second
	// storeUnavailableAge is the age of this daemon's last read from which the store
	// counts as unavailable even if no other daemon has a recent read.
	storeUnavailableAge = 1800 * time.Millisecond
	// submitTimeout bounds the acceptance of a job.
	submitTimeout = 2500 * time.Millisecond
)

// JobServer serves the requests of callers about batch jobs. It may be used by several
// goroutines.
type JobServer struct {
	*Server
	ledger *job.Ledger
	self   blackboard.Peer
}

// NewJobServer returns a JobServer of the daemon self, which owns the jobs that the
// JobServer accepts.
func NewJobServer(server *Server, ledger *job.Ledger, self blackboard.Peer) *JobServer {
	return &JobServer{Server: server, ledger: ledger, self: self}
}

// checkStoreAvailable returns an error while the store is unavailable. It spares
// callers a call to a store that does not respond, which takes longer than asking
// another daemon.
func (j *JobServer) checkStoreAvailable() error {
	age := clock.Since(j.board.ConfigRead.Value().SentAt)
	if age > recentReadAge && j.board.PeerReadWithin(recentReadAge) || age > storeUnavailableAge {
		return j.retryElsewhere(result.StoreUnavailable)
	}
	return nil
}

// Submit accepts a job on the identified route, under the id that the caller chose.
// An error with the verdict "not run" means that the job does not exist.
func (j *JobServer) Submit(ctx context.Context, identity *Identity, id string, items []job.Item) error {
	switch {
	case len(items) == 0:
		return result.New(result.EmptyBatch, result.NotRun)
	case len(items) > job.MaxItems:
		return result.New(result.TooManyItems, result.NotRun)
	}
	if err := j.checkDraining(); err != nil {
		return err
	}
	if err := j.checkStoreAvailable(); err != nil {
		return err
	}
	if inherited, ok := j.inheritedJob(identity, id); ok {
		j.log.Info().Str("job", id).Str("workspace", inherited.Workspace).Msg("batch job was accepted under an earlier configuration")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	s := &job.Submission{
		Key: identity.jobKey(id), Route: identity.Route.Name, Owner: j.self.Incarnation,
		DueAfter: identity.Route.CompletionTarget, MaxWaitingTokens: identity.Route.MaxWaitingTokens, Items: items,
	}
	err := j.ledger.Accept(ctx, s)
	entry := j.log.Info().Str("job", id).Str("workspace", s.Key.Workspace).Int("items", len(items)).Err(err)
	if err != nil {
		entry.Msg("batch job was not accepted")
		return err
	}
	entry.Msg("batch job was accepted")
	if head, err := j.ledger.Head(ctx, s.Key); err == nil {
		j.board.RecordHead(s.Key, head)
	}
	return nil
}

// Results returns the results of the caller's job from the position after on. If there are
// none yet, it waits for up to wait and then returns an empty page. It does not wait for a
// job that has ended.
func (j *JobServer) Results(ctx context.Context, identity *Identity, id string, after int, wait time.Duration) (page job.Page, err error) {
	err = j.withJob(identity, id, func(key job.Key) error {
		page, err = j.results(ctx, key, after, wait)
		return err
	})
	return page, err
}

func (j *JobServer) results(ctx context.Context, key job.Key, after int, wait time.Duration) (job.Page, error) {
	deadline := clock.Now().Add(wait)
	for {
		if err := j.checkStoreAvailable(); err != nil {
			return job.Page{}, err
		}
		jobs := j.board.Jobs.Load()
		head, err := j.head(ctx, jobs.Value, key)
		if err != nil {
			return job.Page{}, toResultError(err)
		}
		if len(head.Done) > after {
			page, err := j.ledger.Results(ctx, key, head, after)
			return page, toResultError(err)
		}
		left := deadline.Sub(clock.Now())
		if left <= 0 || !head.IsOpen() || ctx.Err() != nil {
			return job.Page{Total: head.Total, Next: after}, nil
		}
		waitForChange(ctx, jobs.Changed(), min(left, maxHeadAge/2))
	}
}

// waitForChange waits until changed is closed, d has passed or ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// head returns the job's head from the board if the board has it and its jobs were read
// from the store less than maxHeadAge ago. Otherwise it reads the head from the store.
func (j *JobServer) head(ctx context.Context, jobs *blackboard.Jobs, key job.Key) (*job.VersionedHead, error) {
	if known := jobs.Get(key); known != nil && j.headsAreRecent() {
		return known, nil
	}
	head, err := j.ledger.Head(ctx, key)
	if err == nil {
		j.board.RecordHead(key, head)
	}
	return head, err
}

// toResultError turns the error of a call to the store that was not executed, or whose
// outcome is unknown, into one that asks the caller to retry. It returns every
// *result.Error without its wrapping, and other errors unchanged.
func toResultError(err error) error {
	if err == nil {
		return nil
	}
	if coded, ok := errors.AsType[*result.Error](err); ok {
		return coded
	}
	if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrNotExecuted) {
		return result.New(result.StoreUnavailable, result.NotRun).WithRetryAfter(busyRetryAfter)
	}
	return err
}

// ItemBody returns the body of one item of the caller's job, or a NotFound error.
func (j *JobServer) ItemBody(ctx context.Context, identity *Identity, id, item string) (body []byte, err error) {
	err = j.withJob(identity, id, func(key job.Key) error {
		body, err = j.itemBody(ctx, key, item)
		return err
	})
	return body, err
}

func (j *JobServer) itemBody(ctx context.Context, key job.Key, item string) ([]byte, error) {
	if err := j.checkStoreAvailable(); err != nil {
		return nil, err
	}
	head, err := j.head(ctx, j.board.Jobs.Value(), key)
	if err != nil {
		return nil, toResultError(err)
	}
	items, err := j.ledger.Items(ctx, key, head.PayloadRows)
	if err != nil {
		return nil, toResultError(err)
	}
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, result.New(result.NotFound, result.NotRun)
}

// End ends the caller's job, which then takes no further results. Ending a job again changes
// nothing.
func (j *JobServer) End(ctx context.Context, identity *Identity, id string) error {
	return j.withJob(identity, id, func(key job.Key) error { return j.end(ctx, key) })
}

func (j *JobServer) end(ctx context.Context, key job.Key) error {
	if err := j.checkStoreAvailable(); err != nil {
		return err
	}
	err := j.ledger.End(ctx, key)
	j.log.Info().Str("job", key.ID).Err(err).Msg("caller requested the end of a batch job")
	if errors.Is(err, store.ErrOutcomeUnknown) {
		return result.New(result.OutcomeUnknown, result.MayHaveRun)
	}
	return toResultError(err)
}
