// Package directory reads the operators' table and the engines' table of the store and
// publishes on the board the configuration in force, the data centres that are taken
// out, and the registered engines.
package directory

import (
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/store"
)

// pollInterval is the time between two reads of a table.
const pollInterval = 600 * time.Millisecond

// Decoder decodes the rows that the operators and the engines write.
type Decoder interface {
	// Tables returns the names of the operators' table and of the engines' table.
	Tables() (operators, engines string)
	// Config returns the configuration that the row holds, or nil if the row holds
	// something else. It returns an error if the configuration cannot be decoded.
	Config(store.Row) (*catalog.Catalog, error)
	// TakenOut returns the data centre that a row with the key takes out of service.
	// It returns false if the key belongs to a row of another kind.
	TakenOut(store.Key) (dataCentre string, ok bool)
	// RolloutService returns the service that a row with the key orders a roll-out of. It
	// returns false if the key belongs to a row of another kind.
	RolloutService(store.Key) (service string, ok bool)
	// RolloutOrder returns the order that the row holds, or an error if it cannot be decoded.
	RolloutOrder(store.Row) (*blackboard.RolloutOrder, error)
	// Engine returns the engine that the row registers, or an error if the row cannot be
	// decoded.
	Engine(store.Row) (*catalog.Engine, error)
}

// Controller publishes the configuration in force, the time and version of the last read
// of the operators' table, the data centres that are taken out, the engines, and when the store
// was unavailable. RunOperators, RunEngines and RunOutages run on different goroutines.
type Controller struct {
	board   *blackboard.EntryBoard
	store   store.Store
	decoder Decoder
	log     *log.Logger

	// The fields below belong to RunOperators.
	takenOut map[string]bool // data centres that are taken out
	orders   *orderSet       // nil unless the settings ask for roll-outs
}

// New returns a Controller that reads the tables of s. RunOperators, RunEngines and
// RunOutages start it.
func New(board *blackboard.EntryBoard, s store.Store, decoder Decoder, logger *log.Logger) *Controller {
	c := &Controller{board: board, store: s, decoder: decoder, log: logger, takenOut: make(map[string]bool)}
	if board.Rollouts.Value() != nil {
		c.orders = newOrderSet(c)
	}
	return c
}
