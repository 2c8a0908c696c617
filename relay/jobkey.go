package relay

import (
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/result"
)

// jobKey returns the key of the job with the ID in the caller's workspace.
func (i *Identity) jobKey(id string) job.Key {
	return job.Key{Workspace: i.WorkspaceName(), ID: id}
}

// withJob calls f with the key of the caller's job. If f does not find it, the job may have been
// accepted while the configuration had no workspaces, or still had some; withJob then calls f with
// the key of that job.
func (j *JobServer) withJob(identity *Identity, id string, f func(job.Key) error) error {
	err := f(identity.jobKey(id))
	if err == nil || result.CodeOf(err) != result.UnknownJob {
		return err
	}
	key, ok := j.inheritedJob(identity, id)
	switch {
	case ok:
		return f(key)
	case !j.headsAreRecent():
		return j.retryElsewhere(result.StoreUnavailable) // there may be such a job
	}
	return err
}

// inheritedJob returns the key of a job that was accepted under an earlier configuration and that the
// caller may use, among the jobs that this daemon knows. Callers with a key may use jobs without a
// workspace: everyone could when these were accepted. Where no keys are needed, callers may use every
// job, and the one found may also be of the present configuration. inheritedJob reports false if there
// is none.
func (j *JobServer) inheritedJob(identity *Identity, id string) (key job.Key, ok bool) {
	jobs := j.board.Jobs.Value()
	if !identity.Catalog.RequiresKeys() {
		return jobs.FindID(id)
	}
	key = job.Key{ID: id}
	return key, jobs.Get(key) != nil
}

// IsJobCall reports whether a call with the path of the job API is about the job with the ID.
// Otherwise it is an online request: its host has a route for the path, but none for batch jobs,
// and no job of the caller has the ID. The route of a job may have been removed.
func (j *JobServer) IsJobCall(host, path, key, id string) bool {
	cat := j.board.Catalog.Value()
	if cat == nil || cat.HasBatchRoute(host) || cat.Route(host, path) == nil || !j.headsAreRecent() {
		return true
	}
	identity := &Identity{Catalog: cat, Workspace: cat.WorkspaceByKey(key)}
	if j.board.Jobs.Value().Get(identity.jobKey(id)) != nil {
		return true
	}
	_, ok := j.inheritedJob(identity, id)
	return ok
}

// headsAreRecent reports whether the jobs on the board were read from the store less than
// maxHeadAge ago.
func (j *JobServer) headsAreRecent() bool {
	return clock.Since(clock.Instant(j.board.JobsReadAt.Load())) < maxHeadAge
}
