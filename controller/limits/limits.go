// Package limits divides the workspaces' rates between the gateways.
//
// Each gateway owns a base share of every workspace's rate and burst and admits
// requests by it locally. Gateways move shares between each other as loans (package
// share has the rules):
//
//   - The home gateway of a workspace, chosen by hash, borrows the shares that the
//     other gateways do not use.
//   - A gateway whose share is used up asks the home gateway for tokens and, if its
//     demand lasts, for a loan of rate.
//
// The shares of all gateways never add up to more than the workspace's limit, also
// when messages are lost or late, gateways restart or the configuration changes. The
// Ledger makes these decisions and does no I/O; the Controller drives it and sends the
// calls.
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

	// minBatchRetry and maxBatchRetry bound the delay after which an agent asks again
	// to admit batch items.
	minBatchRetry = 50 * time.Millisecond
	maxBatchRetry = time.Second
)

// Caller calls methods of other gateways. It must be safe for concurrent use.
type Caller interface {
	// Call calls the method of the gateway at the address and waits for its response,
	// which it decodes into value.
	Call(ctx context.Context, address, method string, params, value any) error
}

// Controller keeps a limiter for each workspace, which it publishes as Board.Limits,
// and exchanges shares of the rates with other gateways.
type Controller struct {
	board   *blackboard.Board
	self    string // name of this gateway
	caller  Caller
	metrics *Metrics
	ledger  *Ledger

	// The fields below are used by Run only.

	limiters      map[string]*workspaceLimiter // by workspace; nil before the first configuration
	lastCollect   time.Time                    // when idle shares were last asked for
	collectedFrom string                       // addressKey of the gateways asked then
}

// New returns a Controller for the named gateway, with a new incarnation. SetCaller
// must be called before Run.
func New(board *blackboard.Board, self string, metrics *Metrics) *Controller {
	c := &Controller{board: board, self: self, metrics: metrics}
	c.ledger = NewLedger(strconv.FormatUint(rand.Uint64(), 36), metrics, time.Now())
	c.ledger.askHome = c.askHome
	return c
}

// SetCaller sets the client for calls to other gateways.
func (c *Controller) SetCaller(caller Caller) { c.caller = caller }

// Ready returns a channel that is closed once the gateway may serve: no loan of an
// earlier incarnation of this gateway is in use any more.
func (c *Controller) Ready() <-chan struct{} { return c.ledger.ready }

// Run applies changes of the configuration, the members and the phase, and sends the
// calls that are due, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		config, members, phase := c.board.Config.Load(), c.board.Members.Load(), c.board.Phase.Load()
		c.applyConfig(config)
		c.sendDueCalls(ctx, time.Now())
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

// applyConfig publishes the limiters of a configuration that is new to the ledger.
func (c *Controller) applyConfig(snap *blackboard.Snapshot[*blackboard.Config]) {
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

// reachable returns the peer addresses of the gateways that are connected and not
// draining.
func (c *Controller) reachable() []string {
	var addresses []string
	for _, m := range c.board.Members.Value().Others {
		if m.Connected && !m.Draining {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// sendDueCalls sends the calls that are due, each in its own goroutine. A draining
// gateway returns its loans and asks for none.
func (c *Controller) sendDueCalls(ctx context.Context, now time.Time) {
	if c.limiters == nil {
		return
	}
	reachable := c.reachable()
	c.announceStart(ctx)
	draining := c.board.Phase.Value() == blackboard.PhaseDraining
	for _, call := range c.ledger.Returns(reachable, draining, now) {
		go c.callLend(ctx, call, callTimeout)
	}
	if draining {
		return
	}
	for _, call := range c.ledger.Renewals(reachable, now) {
		go c.callLend(ctx, call, callTimeout)
	}
	key := addressKey(reachable)
	if key == c.collectedFrom && now.Sub(c.lastCollect) < share.IdleRequestInterval(len(reachable)+1) {
		return
	}
	c.collectedFrom, c.lastCollect = key, now
	for _, call := range c.ledger.CollectIdle(reachable, now) {
		go c.callLend(ctx, call, callTimeout)
	}
}

// addressKey returns a string that differs between different lists of addresses.
func addressKey(addresses []string) string {
	key := ""
	for _, a := range addresses {
		key += a + " "
	}
	return key
}

// announceStart announces this incarnation to the gateways that have not acknowledged
// it yet.
func (c *Controller) announceStart(ctx context.Context) {
	targets, req := c.ledger.Announcement()
	for _, to := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var resp peer.ReleaseResponse
			if c.caller.Call(ctx, to, peer.MethodRelease, req, &resp) == nil {
				c.ledger.ApplyReleaseResponse(resp, time.Now())
			}
		}()
	}
}

// callLend sends a Lend call and applies its response to the ledger. It also returns the
// response and the time at which the call was sent.
func (c *Controller) callLend(ctx context.Context, call lendCall, timeout time.Duration) (peer.LendResponse, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var resp peer.LendResponse
	sent := time.Now()
	err := c.caller.Call(ctx, call.to, peer.MethodLend, call.request, &resp)
	if err != nil {
		c.metrics.calls.WithLabelValues(result.CodeOf(err).String()).Inc()
		if result.CodeOf(err) == result.FencedOrder {
			c.ledger.RecordFenced(call.to)
		}
		return resp, sent, err
	}
	c.metrics.calls.WithLabelValues("ok").Inc()
	c.ledger.ApplyLendResponse(resp, sent, time.Now())
	return resp, sent, nil
}

// askHome asks the workspace's home gateway for tokens. It returns the zero response if
// the home is this gateway. The response is unanswered if the call fails or takes longer
// than askTimeout. The call is shared by several requests, so it has no caller's context.
func (c *Controller) askHome(w *workspaceLimiter, tokens int, batch bool) tokenResponse {
	call, ok := c.ledger.TokenCall(w, tokens, batch, c.reachable(), time.Now())
	if !ok {
		return tokenResponse{}
	}
	c.metrics.tokenCalls.Inc()
	resp, sent, err := c.callLend(context.Background(), call, askTimeout)
	if err != nil || time.Since(sent) > askTimeout {
		return tokenResponse{unanswered: true}
	}
	for _, reply := range resp.Replies {
		if reply.Workspace == w.name {
			return tokenResponse{sent: sent, tokens: reply.Tokens, wait: reply.Wait}
		}
	}
	return tokenResponse{}
}

// Handlers returns the handlers of calls from other gateways.
func (c *Controller) Handlers() peer.Handlers {
	return peer.Handlers{
		peer.MethodLend: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			req, err := peer.DecodeParams[peer.LendRequest](params)
			if err != nil {
				return nil, err
			}
			return c.ledger.HandleLend(req, time.Now())
		},
		peer.MethodRelease: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			req, err := peer.DecodeParams[peer.ReleaseRequest](params)
			if err != nil {
				return nil, err
			}
			return c.ledger.HandleRelease(req, time.Now())
		},
	}
}

// AgentHandlers returns the handlers of calls from agents.
func (c *Controller) AgentHandlers() peer.Handlers {
	return peer.Handlers{
		peer.MethodTakeBatch: func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
			req, err := peer.DecodeParams[peer.TakeBatchRequest](params)
			if err != nil {
				return nil, err
			}
			return c.admitBatch(req), nil
		},
	}
}

// admitBatch admits batch items with the tokens above the reserve for online requests,
// from this gateway's share or else from the workspace's home gateway. If it admits none,
// the response says when to ask again.
func (c *Controller) admitBatch(req peer.TakeBatchRequest) peer.TakeBatchResponse {
	w, _ := c.board.Limits.Value().ByWorkspace[req.Workspace].(*workspaceLimiter)
	if w == nil || req.Tokens <= 0 || c.board.Phase.Value() != blackboard.PhaseServing {
		return peer.TakeBatchResponse{RetryAfter: time.Second}
	}
	granted, wait := w.takeFor(share.Request{Tokens: req.Tokens, Batch: true}, time.Now())
	if granted > 0 {
		c.metrics.batch.Add(float64(granted))
		return peer.TakeBatchResponse{Granted: granted}
	}
	fromHome := c.askHome(w, req.Tokens, true)
	if fromHome.tokens > 0 {
		return peer.TakeBatchResponse{Granted: fromHome.tokens}
	}
	if fromHome.wait > 0 {
		wait = fromHome.wait
	}
	return peer.TakeBatchResponse{RetryAfter: min(maxBatchRetry, max(minBatchRetry, wait))}
}

// probe checks whether the ledger's probe targets that are not connected have exited. Only
// a refused connection counts: a process that is paused or cut off does not refuse one.
func (c *Controller) probe(ctx context.Context) {
	connected := make(map[string]bool)
	for _, m := range c.board.Members.Value().Others {
		connected[m.Address] = m.Connected
	}
	for _, address := range c.ledger.ProbeTargets() {
		if connected[address] {
			continue
		}
		go func() {
			probedAt := time.Now()
			if refusesConnection(ctx, address) {
				c.ledger.RecordExit(address, probedAt, time.Now())
			}
		}()
	}
}

// refusesConnection reports whether the host refuses a TCP connection to the address,
// which means that no process listens there.
func refusesConnection(ctx context.Context, address string) bool {
	conn, err := (&net.Dialer{Timeout: probeTimeout}).DialContext(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
