package daemon

import (
	"syscall"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/baobablanding/baobablanding/budget"
)

// Fractions of the descriptors of a process that its listeners may hold. The rest is for
// connections to engines, upstreams and the store.
const (
	callerFraction    = 0.6
	peerFraction      = 0.15
	readinessFraction = 0.05
	metricsFraction   = 0.05
)

// newBudget returns the budget of the process. If the limits do not state the descriptors, they
// are those of the operating system.
func newBudget(limits budget.Limits, reg prometheus.Registerer, logger *log.Logger) *budget.Budget {
	if limits.Descriptors <= 0 {
		var files syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
			limits.Descriptors = int(min(files.Cur, 1<<20))
		}
	}
	return budget.New(limits, reg, logger)
}
