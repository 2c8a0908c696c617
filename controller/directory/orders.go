package directory

import (
	"maps"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/store"
)

// orderSet holds the operators' orders to roll out engine versions. It belongs to the
// goroutine of RunOperators.
type orderSet struct {
	controller *Controller
	byService  map[string]*blackboard.RolloutOrder
	readAt     time.Duration // the store's time of the last read, or 0 before the first one
}

func newOrderSet(c *Controller) *orderSet {
	return &orderSet{controller: c, byService: make(map[string]*blackboard.RolloutOrder)}
}

// apply updates the orders from one read and publishes them with the instant at which the
// read was sent.
func (o *orderSet) apply(update store.TableUpdate, sent clock.Instant) {
	if update.WholeTable {
		o.removeMissing(update.Rows)
	}
	for _, row := range update.Rows {
		service, ok := o.controller.decoder.RolloutService(row.Key)
		switch {
		case !ok:
		case row.Deleted:
			delete(o.byService, service)
		default:
			o.put(service, row, update.StoreTime)
		}
	}
	o.readAt = update.StoreTime
	o.controller.board.RolloutOrders.Publish(blackboard.RolloutOrders{ByService: maps.Clone(o.byService), ReadAt: sent})
}

// removeMissing removes the orders that have no row in a read of the whole table.
func (o *orderSet) removeMissing(rows []store.Row) {
	present := make(map[string]bool)
	for _, row := range rows {
		if service, ok := o.controller.decoder.RolloutService(row.Key); ok {
			present[service] = true
		}
	}
	maps.DeleteFunc(o.byService, func(service string, _ *blackboard.RolloutOrder) bool { return !present[service] })
}

// put adds or replaces the order of the row. A row that cannot be decoded is skipped, and
// removes the order that it replaced.
func (o *orderSet) put(service string, row store.Row, storeTime time.Duration) {
	old := o.byService[service]
	if old != nil && old.Version == row.Version {
		return
	}
	order, err := o.controller.decoder.RolloutOrder(row)
	if err != nil {
		o.controller.log.Error().Str("row", row.Name).Int64("row_version", row.Version).Err(err).Msg("order of a roll-out cannot be decoded; skipped")
		delete(o.byService, service)
		return
	}
	order.NotBefore, order.SeenAt = o.readAt, storeTime
	o.byService[service] = order
	o.controller.log.Info().Str("service", service).Str("to", order.To).Dur("duration", order.Duration).
		Int64("order", order.Version).Msg("order of a roll-out was read")
}
