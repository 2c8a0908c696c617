// Package contact decides how long a gateway may use its configuration while it
// cannot read the store.
package contact

import "time"

// Gateway is what is known of another gateway.
type Gateway struct {
	// Heard is when the gateway was last heard of, or zero.
	Heard time.Time
	// StoreRead is when it last read the configuration's head, or zero.
	StoreRead time.Time
	// Dead tells that no process of the gateway runs.
	Dead bool
}

// Until returns the time until which the configuration may be used.
//
// Someone's reading of the store vouches for the configuration for the given
// bound. When no reading is more recent than half the bound, the store is out
// for everyone who is heard; if these and the gateways known to be dead are more
// than half of all, no change can have reached a majority, and the configuration
// stays in use for as long as they are heard. Otherwise this gateway may be the
// one that is cut off.
func Until(now, storeRead time.Time, others []Gateway, bound time.Duration) time.Time {
	vouched := storeRead
	known := 1
	for _, g := range others {
		if g.StoreRead.After(vouched) {
			vouched = g.StoreRead
		}
		if g.Dead || now.Sub(g.Heard) <= bound {
			known++
		}
	}
	if now.Sub(vouched) > bound/2 && 2*known > len(others)+1 {
		return now.Add(bound)
	}
	return vouched.Add(bound)
}
