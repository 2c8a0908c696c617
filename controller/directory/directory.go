// Package directory follows the operators' rows and the engines' entries in the
// store and keeps the catalog and the set of engines on the board.
package directory

import (
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/catalog"
	"github.com/baobablanding/baobablanding/store"
)

const (
	// pollInterval is the time between two readings.
	pollInterval = 600 * time.Millisecond
	// outageAfter is how old the last reading is when the store counts as
	// having been away.
	outageAfter = 1800 * time.Millisecond
	// returnTime is how long an entry that lapsed during an outage of the store
	// may take to come back.
	returnTime = 2 * time.Second
)

// Decoder reads the rows that the operators and the engines write.
type Decoder interface {
	// Tables returns the tables of the operators and of the engines.
	Tables() (operators, engines string)
	// Config returns the configuration that the row holds, or nil if the row
	// holds something else.
	Config(store.Row) (*catalog.Catalog, error)
	// TakenOut returns the data centre that the row takes out, if any.
	TakenOut(store.Key) (dataCentre string, ok bool)
	// Engine returns the engine that the row registers.
	Engine(store.Row) (*catalog.Engine, error)
}

// Controller keeps Catalog, Reading and Engines.
type Controller struct {
	board   *blackboard.Entry
	store   store.Store
	decoder Decoder
	log     *log.Logger

	out map[string]bool // data centres that are taken out
}

// New returns the controller.
func New(board *blackboard.Entry, s store.Store, decoder Decoder, logger *log.Logger) *Controller {
	return &Controller{board: board, store: s, decoder: decoder, log: logger, out: make(map[string]bool)}
}
