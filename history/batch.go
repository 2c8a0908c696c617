package history

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// CheckOneResult returns an error unless each accepted item has exactly one result
// and each result belongs to an item. Both lists hold item IDs.
func CheckOneResult(items, results []string) error {
	counts := make(map[string]int, len(results))
	for _, id := range results {
		counts[id]++
	}
	var errs []error
	for _, id := range items {
		if n := counts[id]; n != 1 {
			errs = append(errs, fmt.Errorf("item %q has %d results", id, n))
		}
		delete(counts, id)
	}
	for _, id := range slices.Sorted(maps.Keys(counts)) {
		errs = append(errs, fmt.Errorf("result %q belongs to no item", id))
	}
	return errors.Join(errs...)
}
