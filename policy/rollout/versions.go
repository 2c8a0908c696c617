package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobablanding/baobablanding/blackboard"
)

// VersionInUse returns the version in use of the engines of a service: the last one while it
// has an engine, else that of most engines; of versions with as many, that with the engine
// that started first. It leaves out the excluded version unless there is no other.
func VersionInUse(engines []*blackboard.Engine, last, excluded string) string {
	counts, started := make(map[string]int), make(map[string]int64)
	for _, e := range engines {
		if n := counts[e.Version]; n == 0 || e.StartedAtMs < started[e.Version] {
			started[e.Version] = e.StartedAtMs
		}
		counts[e.Version]++
	}
	if counts[last] > 0 {
		return last
	}
	if len(counts) > 1 && excluded != "" {
		delete(counts, excluded)
	}
	versions := make([]string, 0, len(counts))
	for version := range counts {
		versions = append(versions, version)
	}
	if len(versions) == 0 {
		return last
	}
	return slices.MinFunc(versions, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(started[a], started[b]), cmp.Compare(a, b))
	})
}

// canaryWindow is the time after which the canary share goes to other engines where it is
// too small for all of them.
const canaryWindow = 1200 * time.Millisecond

// CanaryWindow returns the number of the window at a time since the begin of the stage.
func CanaryWindow(since time.Duration) int { return int(max(since, 0) / canaryWindow) }

// CanaryCount returns the number of new engines that get the canary share: so few that each
// has about as much load as one of the old engines. These got the given number of requests in
// the time since the order; with 0, the slack is not counted.
func CanaryCount(oldEngines int, share, slack float64, requests int64, since, canaryTime time.Duration) int {
	fraction := DaemonShare(share)
	if expected := float64(requests) * float64(canaryTime) / float64(max(since, 1)); requests > 0 {
		fraction += slackFraction * slack / expected
	}
	return max(1, int(math.Round(min(fraction, 1)*float64(oldEngines))))
}

// CanaryEngines returns the ids of the new engines, at most n, that get the canary share in
// the window. All daemons find the same ones.
func CanaryEngines(engines []*blackboard.Engine, v *blackboard.ServiceVersions, n, window int) map[string]bool {
	var candidates []*blackboard.Engine
	for _, e := range engines {
		if e.Version == v.To && e.IsUsable() && e.MissingUntil == 0 {
			candidates = append(candidates, e)
		}
	}
	hash := func(e *blackboard.Engine) uint64 {
		return blackboard.HashPair(xxhash.Sum64String(e.ID), uint64(v.Order))
	}
	slices.SortFunc(candidates, func(a, b *blackboard.Engine) int { return cmp.Compare(hash(a), hash(b)) })
	n = min(len(candidates), max(1, n))
	canary := make(map[string]bool, n)
	for i := range n {
		canary[candidates[(window*n+i)%len(candidates)].ID] = true
	}
	return canary
}
