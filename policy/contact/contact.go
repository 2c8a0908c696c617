// Package contact decides how long a gateway may use its configuration while it
// cannot read the store.
package contact

import "time"

// Gateway is what this gateway knows of another one.
type Gateway struct {
	// LastHeardAt is when the last message of the gateway arrived, or zero.
	LastHeardAt time.Time
	// StoreReadAt is when the gateway last read the configuration's head, or zero.
	StoreReadAt time.Time
	// Stopped reports whether no process of the gateway runs.
	Stopped bool
}

// ValidUntil returns the time until which this gateway may use its configuration. This
// gateway last read the store at storeReadAt, which is zero if it never did.
//
// A read of the store by any gateway proves that the configuration is current for the
// given bound. If the latest read is older than half the bound, the store is unavailable
// to this gateway and to every gateway whose messages arrive. If these, together with
// the gateways that have stopped, are more than half of all, no change can have reached
// a majority, and the configuration stays in use for as long as the messages arrive.
// Otherwise this gateway may be the one that is cut off from the others.
func ValidUntil(now, storeReadAt time.Time, others []Gateway, bound time.Duration) time.Time {
	latestRead := storeReadAt
	known := 1 // this gateway, those with a message within the bound, and stopped ones
	for _, g := range others {
		if g.StoreReadAt.After(latestRead) {
			latestRead = g.StoreReadAt
		}
		if g.Stopped || now.Sub(g.LastHeardAt) <= bound {
			known++
		}
	}
	if now.Sub(latestRead) > bound/2 && 2*known > len(others)+1 {
		return now.Add(bound)
	}
	return latestRead.Add(bound)
}
