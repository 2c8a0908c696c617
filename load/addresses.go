package load

import (
	"slices"
	"sync/atomic"
)

// addressPool returns base addresses in round-robin order. An address to which a
// connection failed is removed for the rest of the run. It may be used by several goroutines.
type addressPool struct {
	keys      map[string]string // API keys by workspace; not changed after newAddressPool
	addresses atomic.Pointer[[]string]
	calls     atomic.Uint64 // of next
}

func newAddressPool(addresses []string, keys map[string]string) *addressPool {
	p := &addressPool{keys: keys}
	p.addresses.Store(&addresses)
	return p
}

func (p *addressPool) count() int { return len(*p.addresses.Load()) }

func (p *addressPool) next() string {
	addresses := *p.addresses.Load()
	return addresses[p.calls.Add(1)%uint64(len(addresses))]
}

// remove drops the address from the pool, unless it is the only one left.
func (p *addressPool) remove(address string) {
	for {
		old := p.addresses.Load()
		rest := slices.DeleteFunc(slices.Clone(*old), func(a string) bool { return a == address })
		if len(rest) == 0 || p.addresses.CompareAndSwap(old, &rest) {
			return
		}
	}
}
