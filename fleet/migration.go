package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// migrationBuckets is the number of hash buckets of workspaces; each holds one
// percent of them.
const migrationBuckets = 100

// LegacyUpstream returns the legacy system's upstream that serves the workspace and
// model, or nil if the fleet serves them. The first migration that selects them
// counts. The choice is stable: raising a migration's percentage only adds
// workspaces to those on the legacy system.
func (v *View) LegacyUpstream(workspace, model string) *Upstream {
	for i := range v.Inventory.Migrations {
		m := &v.Inventory.Migrations[i]
		if m.selects(workspace, model) {
			return v.upstreams[m.Legacy]
		}
	}
	return nil
}

// selects reports whether the migration keeps the workspace and model on the legacy
// system.
func (m *Migration) selects(workspace, model string) bool {
	if len(m.Workspaces) > 0 && !slices.Contains(m.Workspaces, workspace) {
		return false
	}
	if len(m.Models) > 0 && !slices.Contains(m.Models, model) {
		return false
	}
	bucket := xxhash.Sum64String(m.Name+"\x00"+workspace) % migrationBuckets
	return int(bucket) < m.Percent
}
