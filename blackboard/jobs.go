package blackboard

import (
	"maps"

	"github.com/baobablanding/baobablanding/job"
)

// Jobs is an immutable set of the batch jobs in the store, as last read.
type Jobs struct {
	byKey map[job.Key]*job.VersionedHead
}

// NewJobs returns the set of the given jobs. The caller must not modify the map
// afterwards.
func NewJobs(byKey map[job.Key]*job.VersionedHead) *Jobs { return &Jobs{byKey: byKey} }

// Get returns the head of the job with its version, or nil.
func (j *Jobs) Get(key job.Key) *job.VersionedHead { return j.byKey[key] }

// All returns the heads of all jobs. The caller must not modify the map.
func (j *Jobs) All() map[job.Key]*job.VersionedHead { return j.byKey }

// FindID returns the key of the job with the ID, whichever its workspace. It reports false if there
// is none, or jobs of several workspaces have the ID.
func (j *Jobs) FindID(id string) (found job.Key, ok bool) {
	for key := range j.byKey {
		if key.ID != id {
			continue
		}
		if ok {
			return job.Key{}, false
		}
		found, ok = key, true
	}
	return found, ok
}

// RecordHead publishes a head that this daemon wrote or read outside the regular
// reads, unless the board holds the same or a newer version. It may be called
// from several goroutines.
func (b *EntryBoard) RecordHead(key job.Key, head *job.VersionedHead) {
	b.Jobs.Update(func(old *Jobs) *Jobs {
		if known := old.Get(key); known != nil && known.Version >= head.Version {
			return old
		}
		next := maps.Clone(old.byKey)
		if next == nil {
			next = make(map[job.Key]*job.VersionedHead)
		}
		next[key] = head
		return NewJobs(next)
	})
}
