// Package membership keeps what a gateway knows of the other gateways on the
// board.
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
	minFanout      = 3
	fanoutDivisor  = 8 // a gossip goes to at least one in so many gateways
	eventBacklog   = 256
)

// Messenger keeps connections with other gateways and sends messages on them.
type Messenger interface {
	// SetAddresses keeps connections with exactly these addresses.
	SetAddresses([]string)
	// Notify sends a notification to the address.
	Notify(ctx context.Context, address, method string, params any) error
}

// Controller exchanges gossip with the other gateways. It writes Board.Members
// and Board.Noticed.
type Controller struct {
	board       *blackboard.Board
	messenger   Messenger
	self        string
	incarnation string
	log         *log.Logger
	lastLink    map[string]peer.LinkEvent // by address
	links       chan peer.LinkEvent
	heard       chan peer.Gossip
	members     map[string]blackboard.Member // by name
	addresses   []string
	told        uint64 // version that every gateway was told of
}

// New returns a Controller for the named gateway. SetMessenger must be called
// before Run.
func New(board *blackboard.Board, self, incarnation string, logger *log.Logger) *Controller {
	return &Controller{
		board:       board,
		self:        self,
		incarnation: incarnation,
		log:         logger,
		lastLink:    make(map[string]peer.LinkEvent),
		links:       make(chan peer.LinkEvent, eventBacklog),
		heard:       make(chan peer.Gossip, eventBacklog),
		members:     make(map[string]blackboard.Member),
	}
}

// SetMessenger sets what sends the controller's messages.
func (c *Controller) SetMessenger(m Messenger) { c.messenger = m }

// Link takes in that a connection was made or lost.
func (c *Controller) Link(e peer.LinkEvent) { c.links <- e }

// Handlers returns the handlers of the controller's messages.
func (c *Controller) Handlers() peer.Handlers {
	return peer.Handlers{
		peer.MethodGossip: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			g, err := peer.Decode[peer.Gossip](params)
			if err != nil {
				return nil, err
			}
			select {
			case c.heard <- g:
			default: // the next gossip says the same
			}
			return nil, nil
		},
	}
}

// Run keeps the board up to date until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		snap := c.board.Config.Load()
		if view := snap.Value.View; view != nil {
			c.follow(view)
			c.tell(ctx, view.Version)
		}
		select {
		case <-snap.Changed():
		case <-ticker.C:
			c.gossip(ctx, fanout(len(c.addresses)))
		case e := <-c.links:
			c.takeLink(e)
		case g := <-c.heard:
			c.takeGossip(g)
		case <-ctx.Done():
			return
		}
	}
}

// follow publishes the members of the inventory and connects with new ones.
func (c *Controller) follow(view *fleet.View) {
	var others []blackboard.Member
	var addresses []string
	for _, g := range view.Inventory.Gateways {
		if g.Name == c.self {
			continue
		}
		m := c.members[g.Name]
		if m.Address != g.Peer {
			link := c.lastLink[g.Peer]
			m = blackboard.Member{
				Name: g.Name, Address: g.Peer, Listed: time.Now(),
				Connected: link.Up, Refused: link.Refused,
			}
			c.members[g.Name] = m
		}
		others = append(others, m)
		addresses = append(addresses, g.Peer)
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

func (c *Controller) takeLink(e peer.LinkEvent) {
	c.lastLink[e.Address] = e
	for name, m := range c.members {
		if m.Address == e.Address {
			m.Connected, m.Refused = e.Up, e.Refused
			c.members[name] = m
			c.log.Info().Str("gateway", name).Bool("connected", e.Up).Bool("refused", e.Refused).Msg("gateway connection")
		}
	}
}

func (c *Controller) takeGossip(g peer.Gossip) {
	m, ok := c.members[g.From]
	if !ok {
		return
	}
	now := time.Now()
	m.Heard = now
	m.Incarnation = g.Incarnation
	m.ConfigVersion = max(m.ConfigVersion, g.ConfigVersion)
	m.Draining = g.Draining
	if g.StoreAge >= 0 {
		m.StoreRead = now.Add(-g.StoreAge)
	}
	c.members[g.From] = m
	c.board.Notice(g.ConfigVersion)
}

// tell tells every other gateway of a new version at once.
func (c *Controller) tell(ctx context.Context, version uint64) {
	if version > c.told {
		c.told = version
		c.gossip(ctx, len(c.addresses))
	}
}

// fanout returns the number of gateways that one gossip goes to.
func fanout(others int) int { return max(minFanout, others/fanoutDivisor) }

// gossip tells count other gateways what is known here.
func (c *Controller) gossip(ctx context.Context, count int) {
	message := c.message()
	for i, j := range rand.Perm(len(c.addresses)) {
		if i == count {
			return
		}
		_ = c.messenger.Notify(ctx, c.addresses[j], peer.MethodGossip, message)
	}
}

func (c *Controller) message() peer.Gossip {
	g := peer.Gossip{
		From:        c.self,
		Incarnation: c.incarnation,
		StoreAge:    -1,
		Draining:    c.board.Phase.Value() == blackboard.Draining,
	}
	if view := c.board.Config.Value().View; view != nil {
		g.ConfigVersion = view.Version
	}
	read := c.board.Contact.Value().StoreRead
	for _, m := range c.members {
		if m.StoreRead.After(read) {
			read = m.StoreRead
		}
	}
	if !read.IsZero() {
		g.StoreAge = time.Since(read)
	}
	return g
}
