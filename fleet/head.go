package fleet

import (
	"slices"
	"time"
)

// Head names the objects of one accepted version.
type Head struct {
	// Version increases by one with each accepted change.
	Version uint64 `json:"version"`
	// Operation identifies the change that made this version.
	Operation string `json:"operation"`
	// Author says who made the change.
	Author string `json:"author"`
	// Summary says what was changed.
	Summary string `json:"summary"`
	// Accepted is when the change was accepted.
	Accepted time.Time `json:"accepted"`
	// Inventory is the digest of the inventory object.
	Inventory string `json:"inventory"`
	// Keys holds the digest of each shard of keys, or "" for an empty shard.
	Keys []string `json:"keys"`
	// Out lists the data centres that are taken out.
	Out []string `json:"out,omitempty"`
}

// SameParts tells whether both heads are of one version with the same parts.
func (h *Head) SameParts(other *Head) bool {
	return h.Version == other.Version &&
		h.Inventory == other.Inventory &&
		slices.Equal(h.Keys, other.Keys) &&
		slices.Equal(h.Out, other.Out)
}
