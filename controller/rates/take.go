package rates

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/policy/bucket"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

// takeResult is the result of taking tokens from the shared bucket.
type takeResult struct {
	taken int
	wait  time.Duration // until the bucket holds a token, if none was taken
	err   error
}

// take returns unused tokens to the bucket in the store and takes up to want tokens from
// it. It retries on conflicts with other daemons. It runs beside the refiller's
// goroutine, which does not use the bucket's state until take has returned.
func (r *refiller) take(ctx context.Context, limit bucket.Limit, want, unused int) takeResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxTries {
		if !r.loaded {
			if err := r.readBucket(ctx, limit); err != nil {
				return takeResult{err: err}
			}
		}
		now := r.storeClock + clock.Since(r.storeClockAt)
		next, taken := r.state.Refill(limit, now).Take(limit, want, unused)
		if taken == 0 {
			return takeResult{wait: max(next.Wait(limit), minEmptyWait)}
		}
		err := r.commitBucket(ctx, next)
		if err == nil {
			return takeResult{taken: taken}
		}
		if !errors.Is(err, store.ErrConflict) {
			r.loaded = false
			return takeResult{err: err}
		}
		r.applyConflict(err, limit)
		timer.Sleep(ctx, time.Duration(rand.Int64N(int64(maxConflictPause))))
	}
	return takeResult{wait: minEmptyWait}
}

// key returns the key of the bucket's row.
func (r *refiller) key() store.Key {
	return store.Key{Table: Table, Part: r.workspace, Name: bucketRow}
}

// readBucket reads the bucket. A bucket without a row is full.
func (r *refiller) readBucket(ctx context.Context, limit bucket.Limit) error {
	resp, err := r.store.Get(ctx, store.Range{Table: Table, Part: r.workspace, From: bucketRow, Limit: 1})
	if err != nil {
		return err
	}
	r.storeClock, r.storeClockAt, r.loaded = resp.StoreTime, clock.Now(), true
	r.state, r.rowVersion = bucket.Full(limit, resp.StoreTime), 0
	if len(resp.Rows) > 0 {
		r.decodeBucket(resp.Rows[0])
	}
	if !r.wasRead {
		r.wasRead = true
		r.firstRead <- r.state.Refill(limit, resp.StoreTime).Tokens
	}
	return nil
}

// decodeBucket sets the known state of the bucket to that of the row. A row that cannot be
// decoded counts as an empty bucket, so that the workspace's rate resumes.
func (r *refiller) decodeBucket(row store.Row) {
	var state bucket.State
	if err := json.Unmarshal(row.Value, &state); err != nil {
		r.log.Error().Str("workspace", r.workspace).Err(err).Msg("row of the shared bucket cannot be decoded; continuing with an empty bucket")
		state = bucket.State{At: r.storeClock}
	}
	r.state, r.rowVersion = state, row.Version
}

// applyConflict replaces the known state of the bucket by the row that caused a conflict.
func (r *refiller) applyConflict(err error, limit bucket.Limit) {
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		r.loaded = false
		return
	}
	row, found := conflict.Find(r.key())
	if !found {
		r.state, r.rowVersion = bucket.Full(limit, r.storeClock), 0
		return
	}
	r.decodeBucket(row)
}

// commitBucket writes the bucket if its row still has the known version.
func (r *refiller) commitBucket(ctx context.Context, next bucket.State) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	resp, err := r.store.Commit(ctx, store.Tx{
		If:  []store.Condition{{Key: r.key(), Version: r.rowVersion}},
		Put: []store.Row{{Key: r.key(), Value: value}},
	})
	if err != nil {
		return err
	}
	r.state, r.rowVersion = next, resp.Version
	r.storeClock, r.storeClockAt = resp.StoreTime, clock.Now()
	return nil
}
