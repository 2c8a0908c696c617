package fleet

import (
	"slices"
	"time"
)

// Head describes one accepted version of the configuration and names the stored
// objects that hold its parts.
type Head struct {
	// Version increases by one with each accepted change.
	Version uint64 `json:"version"`
	// Operation identifies the change that made this version.
	Operation string `json:"operation"`
	// Author is who made the change.
	Author string `json:"author"`
	// Summary is a short text about what was changed.
	Summary string `json:"summary"`
	// AcceptedAt is when the store accepted the change.
	AcceptedAt time.Time `json:"accepted"`
	// Inventory is the digest of the object that holds the inventory.
	Inventory string `json:"inventory"`
	// Keys lists the digest of the object of each shard of the keys; it is "" for an
	// empty shard.
	Keys []string `json:"keys"`
	// TakenOut lists the data centres that are taken out.
	TakenOut []string `json:"out,omitempty"`
}

// HasSameParts reports whether both heads have the same version, inventory, keys and
// data centres that are taken out.
func (h *Head) HasSameParts(other *Head) bool {
	return h.Version == other.Version &&
		h.Inventory == other.Inventory &&
		slices.Equal(h.Keys, other.Keys) &&
		slices.Equal(h.TakenOut, other.TakenOut)
}
