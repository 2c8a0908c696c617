package serve

import (
	"sync"

	"github.com/baobablanding/baobablanding/policy/retry"
)

// budgets holds a retry budget for each route or model.
type budgets struct {
	byRoute sync.Map // string to *retry.Budget
}

// of returns the budget of the route. Routes come from the configuration, so
// their number is bounded.
func (b *budgets) of(route string) *retry.Budget {
	if v, ok := b.byRoute.Load(route); ok {
		return v.(*retry.Budget)
	}
	v, _ := b.byRoute.LoadOrStore(route, retry.NewBudget())
	return v.(*retry.Budget)
}
