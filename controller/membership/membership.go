// Package membership exchanges gossip with the other gateways and publishes their state on
// a gateway's board.
package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/peer"
)

const (
	gossipInterval = 500 * time.Millisecond

	// minFanout is the least number of gateways that a round of gossip goes to.
	minFanout = 3
	// fanoutDivisor sets the size of a round in a large fleet: the number of other
	// gateways divided by it, rounded down.
	fanoutDivisor = 8

	// eventBuffer is the number of connection events, and of received messages, that can
	// wait for the goroutine of Run.
	eventBuffer = 256
)

// Messenger keeps connections to other gateways and sends messages on them.
type Messenger interface {
	// SetAddresses keeps connections to exactly these addresses.
	SetAddresses([]string)
	// Notify sends a notification, which has no response, to the address.
	Notify(ctx context.Context, address, method string, params any) error
}

// Controller exchanges gossip with the other gateways. It is the only writer of the members
// on the board, and also records there the versions of the configuration that other
// gateways have. Its fields belong to the goroutine of Run; other goroutines pass events
// through its channels.
type Controller struct {
	board       *blackboard.Board
	messenger   Messenger
	self        string
	incarnation string
	log         *log.Logger
	lastLink    map[string]peer.ConnEvent // by address
	links       chan peer.ConnEvent
	received    chan peer.Gossip
	members     map[string]blackboard.Member // by name
	addresses   []string
	announced   uint64 // last version of the configuration that was sent to every gateway
}

// New returns a Controller for the gateway named self, whose process has the given
// incarnation. SetMessenger must be called before Run.
func New(board *blackboard.Board, self, incarnation string, logger *log.Logger) *Controller {
	return &Controller{
		board:       board,
		self:        self,
		incarnation: incarnation,
		log:         logger,
		lastLink:    make(map[string]peer.ConnEvent),
		links:       make(chan peer.ConnEvent, eventBuffer),
		received:    make(chan peer.Gossip, eventBuffer),
		members:     make(map[string]blackboard.Member),
	}
}

// SetMessenger sets the messenger that sends the controller's messages.
func (c *Controller) SetMessenger(m Messenger) { c.messenger = m }

// OnLink records that a connection to a gateway was made or lost. It may be called from
// several goroutines, and blocks while too many events wait for Run.
func (c *Controller) OnLink(e peer.ConnEvent) { c.links <- e }

// Handlers returns the handlers for the messages of other gateways. They may be called from
// several goroutines. A message is dropped while too many wait for Run.
func (c *Controller) Handlers() peer.Handlers {
	return peer.Handlers{
		peer.MethodGossip: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			g, err := peer.DecodeParams[peer.Gossip](params)
			if err != nil {
				return nil, err
			}
			select {
			case c.received <- g:
			default: // the sender repeats it in a later round
			}
			return nil, nil
		},
	}
}

// Run exchanges gossip and keeps the board up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		snap := c.board.Config.Load()
		if view := snap.Value.View; view != nil {
			c.updateMembers(view)
			c.announce(ctx, view.Version)
		}
		select {
		case <-snap.Changed():
		case <-ticker.C:
			c.gossip(ctx, fanout(len(c.addresses)))
		case e := <-c.links:
			c.applyLink(e)
		case g := <-c.received:
			c.applyGossip(g)
		case <-ctx.Done():
			return
		}
	}
}

// updateMembers publishes the other gateways of the inventory as members, if they changed,
// and connects to exactly these.
func (c *Controller) updateMembers(view *fleet.View) {
	var others []blackboard.Member
	var addresses []string
	for _, g := range view.Inventory.Gateways {
		if g.Name == c.self {
			continue
		}
		m := c.members[g.Name]
		if m.Address != g.PeerAddress {
			link := c.lastLink[g.PeerAddress]
			m = blackboard.Member{
				Name: g.Name, Address: g.PeerAddress, ListedAt: time.Now(),
				Connected: link.Connected, ConnectionRefused: link.Refused,
			}
			c.members[g.Name] = m
		}
		others = append(others, m)
		addresses = append(addresses, g.PeerAddress)
	}
	if !slices.Equal(c.addresses, addresses) {
		c.addresses = addresses
		c.messenger.SetAddresses(addresses)
	}
	old := c.board.Members.Value()
	if slices.Equal(old.Others, others) && old.Self == c.self {
		return
	}
	c.board.Members.Publish(&blackboard.Members{Self: c.self, Incarnation: c.incarnation, Others: others})
}

// applyLink applies a connection event. The event is kept by address, as a gateway with
// that address may be listed only later.
func (c *Controller) applyLink(e peer.ConnEvent) {
	c.lastLink[e.Address] = e
	for name, m := range c.members {
		if m.Address == e.Address {
			m.Connected, m.ConnectionRefused = e.Connected, e.Refused
			c.members[name] = m
			c.log.Info().Str("gateway", name).Bool("connected", e.Connected).Bool("refused", e.Refused).Msg("gateway connection changed")
		}
	}
}

// applyGossip updates the member that sent the message. Messages of gateways that the
// inventory does not list are ignored. The age of the sender's last read of the store is
// negative if it knows of none.
func (c *Controller) applyGossip(g peer.Gossip) {
	m, ok := c.members[g.From]
	if !ok {
		return
	}
	now := time.Now()
	m.LastHeardAt = now
	m.Incarnation = g.Incarnation
	m.ConfigVersion = max(m.ConfigVersion, g.ConfigVersion)
	m.Draining = g.Draining
	if g.StoreReadAge >= 0 {
		m.StoreReadAt = now.Add(-g.StoreReadAge)
	}
	c.members[g.From] = m
	c.board.ObserveVersion(g.ConfigVersion)
}

// announce sends gossip to every other gateway at once if the version is newer than the
// last one announced.
func (c *Controller) announce(ctx context.Context, version uint64) {
	if version > c.announced {
		c.announced = version
		c.gossip(ctx, len(c.addresses))
	}
}

// fanout returns the number of gateways that one round of gossip goes to.
func fanout(others int) int { return max(minFanout, others/fanoutDivisor) }

// gossip sends the state of this gateway to count other gateways, chosen at random. Errors
// are ignored, since later rounds repeat the message.
func (c *Controller) gossip(ctx context.Context, count int) {
	message := c.message()
	for i, j := range rand.Perm(len(c.addresses)) {
		if i == count {
			return
		}
		_ = c.messenger.Notify(ctx, c.addresses[j], peer.MethodGossip, message)
	}
}

// message returns the state of this gateway. The age of the last read of the store is
// that of the most recent read that this gateway made or learned of by gossip, or -1
// without one.
func (c *Controller) message() peer.Gossip {
	g := peer.Gossip{
		From:         c.self,
		Incarnation:  c.incarnation,
		StoreReadAge: -1,
		Draining:     c.board.Phase.Value() == blackboard.PhaseDraining,
	}
	if view := c.board.Config.Value().View; view != nil {
		g.ConfigVersion = view.Version
	}
	storeReadAt := c.board.StoreContact.Value().StoreReadAt
	for _, m := range c.members {
		if m.StoreReadAt.After(storeReadAt) {
			storeReadAt = m.StoreReadAt
		}
	}
	if !storeReadAt.IsZero() {
		g.StoreReadAge = time.Since(storeReadAt)
	}
	return g
}
