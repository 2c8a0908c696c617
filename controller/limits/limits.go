// Package limits divides the workspaces' rates between the gateways.
package limits

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/policy/share"
	"github.com/baobablanding/baobablanding/result"
)

const (
	tickInterval = 250 * time.Millisecond
	callTimeout  = time.Second
	probeTimeout = time.Second

	// minBatchRetry and maxBatchRetry bound when an agent asks again for batch
	// items.
	minBatchRetry = 50 * time.Millisecond
	maxBatchRetry = time.Second
)

// Caller sends requests to other gateways.
type Caller interface {
	// Call sends a request to the address and waits for its answer.
	Call(ctx context.Context, address, method string, params, value any) error
}

// Controller keeps a limiter for each workspace and lends shares of the rates
// to other gateways. It writes Board.Limits.
type Controller struct {
	board    *blackboard.Board
	self     string // name
	caller   Caller
	metrics  *Metrics
	ledger   *Ledger
	limiters map[string]*workspace
	gathered time.Time
	asked    string // the gateways that were reachable when last gathered
}

// New returns a Controller for the named gateway. SetCaller must be called
// before Run.
func New(board *blackboard.Board, self string, metrics *Metrics) *Controller {
	c := &Controller{board: board, self: self, metrics: metrics}
	c.ledger = NewLedger(strconv.FormatUint(rand.Uint64(), 36), metrics, time.Now())
	c.ledger.ask = c.ask
	return c
}

// SetCaller sets what sends the controller's requests.
func (c *Controller) SetCaller(caller Caller) { c.caller = caller }

// Started returns a channel that is closed when the gateway may serve.
func (c *Controller) Started() <-chan struct{} { return c.ledger.started }

// Run follows the configuration and the members until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		config, members, phase := c.board.Config.Load(), c.board.Members.Load(), c.board.Phase.Load()
		c.configure(config)
		c.exchange(ctx, time.Now())
		select {
		case <-config.Changed():
		case <-members.Changed():
		case <-phase.Changed():
		case <-ticker.C:
			c.ledger.Tick(time.Now())
			c.probe(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// configure publishes the limiters of a new configuration.
func (c *Controller) configure(snap *blackboard.Snapshot[*blackboard.Config]) {
	view := snap.Value.View
	if view == nil || (c.limiters != nil && c.ledger.Version() == view.Version) {
		return
	}
	c.limiters = c.ledger.Configure(view, c.self, time.Now())
	limits := &blackboard.Limits{ByWorkspace: make(map[string]blackboard.Limiter, len(c.limiters))}
	for name, w := range c.limiters {
		limits.ByWorkspace[name] = w
	}
	c.board.Limits.Publish(limits)
}

// reachable returns the addresses of the gateways that can be asked.
func (c *Controller) reachable() []string {
	var all []string
	for _, m := range c.board.Members.Value().Others {
		if m.Connected && !m.Draining {
			all = append(all, m.Address)
		}
	}
	return all
}

// exchange sends the requests that are due.
func (c *Controller) exchange(ctx context.Context, now time.Time) {
	if c.limiters == nil {
		return
	}
	reachable := c.reachable()
	c.announce(ctx)
	stopping := c.board.Phase.Value() == blackboard.Draining
	for _, out := range c.ledger.Returns(reachable, stopping, now) {
		go c.lend(ctx, out, callTimeout)
	}
	if stopping {
		return
	}
	for _, out := range c.ledger.Renewals(reachable, now) {
		go c.lend(ctx, out, callTimeout)
	}
	key := joinKey(reachable)
	if key == c.asked && now.Sub(c.gathered) < share.IdlePeriod(len(reachable)+1) {
		return
	}
	c.asked, c.gathered = key, now
	for _, out := range c.ledger.Gather(reachable, now) {
		go c.lend(ctx, out, callTimeout)
	}
}

func joinKey(addresses []string) string {
	key := ""
	for _, a := range addresses {
		key += a + " "
	}
	return key
}

// announce tells gateways that do not know this process yet that it started.
func (c *Controller) announce(ctx context.Context) {
	waiting, req := c.ledger.Releases()
	for _, to := range waiting {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var resp peer.ReleaseResponse
			if c.caller.Call(ctx, to, peer.MethodRelease, req, &resp) == nil {
				c.ledger.Released(resp, time.Now())
			}
		}()
	}
}

// lend sends a request and takes in its answer.
func (c *Controller) lend(ctx context.Context, out outgoing, timeout time.Duration) (peer.LendResponse, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var resp peer.LendResponse
	sent := time.Now()
	err := c.caller.Call(ctx, out.to, peer.MethodLend, out.request, &resp)
	if err != nil {
		c.metrics.messages.WithLabelValues(result.CodeOf(err).String()).Inc()
		if result.CodeOf(err) == result.FencedOrder {
			c.ledger.Refused(out.to)
		}
		return resp, sent, err
	}
	c.metrics.messages.WithLabelValues("ok").Inc()
	c.ledger.Borrow(resp, sent, time.Now())
	return resp, sent, nil
}

// ask asks the workspace's home for tokens.
func (c *Controller) ask(w *workspace, tokens int, batch bool) answer {
	out, ok := c.ledger.Question(w, tokens, batch, c.reachable(), time.Now())
	if !ok {
		return answer{}
	}
	c.metrics.questions.Inc()
	resp, sent, err := c.lend(context.Background(), out, questionTimeout)
	if err != nil || time.Since(sent) > questionTimeout {
		return answer{}
	}
	for _, g := range resp.Grants {
		if g.Workspace == w.name {
			return answer{sent: sent, tokens: g.Tokens, wait: g.Wait}
		}
	}
	return answer{}
}

// Handlers returns the handlers of other gateways' requests.
func (c *Controller) Handlers() peer.Handlers {
	return peer.Handlers{
		peer.MethodLend: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			req, err := peer.Decode[peer.LendRequest](params)
			if err != nil {
				return nil, err
			}
			return c.ledger.Lend(req, time.Now())
		},
		peer.MethodRelease: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			req, err := peer.Decode[peer.ReleaseRequest](params)
			if err != nil {
				return nil, err
			}
			return c.ledger.Release(req, time.Now())
		},
	}
}

// AgentHandlers returns the handlers of agents' requests.
func (c *Controller) AgentHandlers() peer.Handlers {
	return peer.Handlers{
		peer.MethodTake: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			req, err := peer.Decode[peer.TakeRequest](params)
			if err != nil {
				return nil, err
			}
			return c.takeBatch(req), nil
		},
	}
}

// takeBatch admits batch items by what is above the reserve of online requests,
// here or at the workspace's home.
func (c *Controller) takeBatch(req peer.TakeRequest) peer.TakeResponse {
	w, _ := c.board.Limits.Value().ByWorkspace[req.Workspace].(*workspace)
	if w == nil || req.Tokens <= 0 || c.board.Phase.Value() != blackboard.Serving {
		return peer.TakeResponse{RetryAfter: time.Second}
	}
	granted, wait := w.takeFor(share.Ask{Tokens: req.Tokens, Batch: true}, time.Now())
	if granted > 0 {
		c.metrics.batch.Add(float64(granted))
		return peer.TakeResponse{Granted: granted}
	}
	asked := c.ask(w, req.Tokens, true)
	if asked.tokens > 0 {
		return peer.TakeResponse{Granted: asked.tokens}
	}
	if asked.wait > 0 {
		wait = asked.wait
	}
	return peer.TakeResponse{RetryAfter: min(maxBatchRetry, max(minBatchRetry, wait))}
}

// probe looks whether borrowers that are not connected have ended. A process
// that is paused or cut off does not refuse a connection.
func (c *Controller) probe(ctx context.Context) {
	connected := make(map[string]bool)
	for _, m := range c.board.Members.Value().Others {
		connected[m.Address] = m.Connected
	}
	for _, address := range c.ledger.Unconfirmed() {
		if connected[address] {
			continue
		}
		go func() {
			lookedUp := time.Now()
			if refuses(ctx, address) {
				c.ledger.Ended(address, lookedUp, time.Now())
			}
		}()
	}
}

// refuses tells whether no process listens at the address.
func refuses(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
