package serve

import (
	"sync"

	"github.com/baobablanding/baobablanding/policy/retry"
)

// retryBudgets holds a retry budget for each route or model. The zero value is ready
// to use, also from several goroutines.
type retryBudgets struct {
	byRoute sync.Map // string to *retry.Budget
}

// forRoute returns the budget of the route or model, which it creates at the first
// use. Names come from the configuration, so their number is bounded.
func (b *retryBudgets) forRoute(route string) *retry.Budget {
	if v, ok := b.byRoute.Load(route); ok {
		return v.(*retry.Budget)
	}
	v, _ := b.byRoute.LoadOrStore(route, retry.NewBudget())
	return v.(*retry.Budget)
}
