package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const percentScale = 100

// LegacyFor returns the upstream of the old setup that serves the workspace
// and model, or nil when the fleet serves them. The choice is stable for a
// workspace: raising a migration's percentage only adds workspaces.
func (v *View) LegacyFor(workspace, model string) *Upstream {
	for i := range v.Inventory.Migrations {
		m := &v.Inventory.Migrations[i]
		if m.selects(workspace, model) {
			return v.upstreams[m.Legacy]
		}
	}
	return nil
}

func (m *Migration) selects(workspace, model string) bool {
	if len(m.Workspaces) > 0 && !slices.Contains(m.Workspaces, workspace) {
		return false
	}
	if len(m.Models) > 0 && !slices.Contains(m.Models, model) {
		return false
	}
	position := xxhash.Sum64String(m.Name+"\x00"+workspace) % percentScale
	return int(position) < m.Percent
}
