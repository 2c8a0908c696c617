package load

import (
	"slices"
	"sync/atomic"
)

// targets hands out the addresses that callers send to, in turn. An address
// that refuses connections is left out from then on.
type targets struct {
	keys  map[string]string // by workspace
	list  atomic.Pointer[[]string]
	turns atomic.Uint64
}

func newTargets(list []string, keys map[string]string) *targets {
	t := &targets{keys: keys}
	t.list.Store(&list)
	return t
}

func (t *targets) count() int { return len(*t.list.Load()) }

func (t *targets) next() string {
	list := *t.list.Load()
	return list[t.turns.Add(1)%uint64(len(list))]
}

// failed leaves the address out, unless it is the only one.
func (t *targets) failed(address string) {
	for {
		old := t.list.Load()
		rest := slices.DeleteFunc(slices.Clone(*old), func(a string) bool { return a == address })
		if len(rest) == 0 || t.list.CompareAndSwap(old, &rest) {
			return
		}
	}
}
