package daemon

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/controller/configsync"
	"github.com/baobablanding/baobablanding/controller/freshness"
	"github.com/baobablanding/baobablanding/controller/limits"
	"github.com/baobablanding/baobablanding/controller/membership"
	"github.com/baobablanding/baobablanding/controller/objectives"
	"github.com/baobablanding/baobablanding/controller/upstreams"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/serve"
	"github.com/baobablanding/baobablanding/timer"
)

// Gateway is a running gateway process.
type Gateway struct {
	board       *blackboard.Board
	controllers *controllerGroup
	agents      *peer.Pool // connections to agents
	gateways    *peer.Pool // connections to other gateways
	peers       *peer.Server
	http        *httpserve.Server
	metrics     *httpserve.Server
}

// StartGateway starts a gateway with the settings. It returns once the gateway listens
// and its controllers run; if that fails, it stops what was started. The gateway serves
// callers once its rate limits are ready.
func StartGateway(settings config.Settings, logger *log.Logger) (Process, error) {
	g := &Gateway{board: blackboard.New(), controllers: newControllerGroup()}
	if err := g.start(settings, logger); err != nil {
		g.Kill()
		return nil, err
	}
	return g, nil
}

// start starts the controllers and opens the listeners. After an error the caller must
// call Kill, which releases what was started.
func (g *Gateway) start(settings config.Settings, logger *log.Logger) error {
	table := platform.NewTable(settings.Platform.TableURL, settings.Platform.Timeout)
	objects := platform.NewObjects(settings.Platform.ObjectsURL, settings.Platform.Timeout)
	configs := configstore.New(table, objects)
	reg := newRegistry()
	process := newBudget(budget.Limits{
		MemoryBytes: settings.MemoryBytes, Descriptors: settings.MaxDescriptors, UnreadTimeout: settings.UnreadTimeout,
	}, reg, logger)

	upstreamController := upstreams.New(g.board, settings.Name, settings.DataCentre, logger)
	limitController := limits.New(g.board, settings.Name, limits.NewMetrics(reg))
	g.agents = peer.NewPool(mergeHandlers(g.agentHandlers(upstreamController), limitController.AgentHandlers()), upstreamController.OnLink)
	upstreamController.SetConnector(g.agents)
	memberController := membership.New(g.board, settings.Name, uuid.NewString(), logger)
	g.gateways = peer.NewPool(nil, memberController.OnLink)
	g.gateways.SetAddresses(settings.SeedAddresses)
	memberController.SetMessenger(g.gateways)
	limitController.SetCaller(g.gateways)
	g.controllers.run(configsync.New(g.board, configs, g, logger).Run)
	g.controllers.run(freshness.New(g.board, logger).Run)
	g.controllers.run(limitController.Run)
	g.controllers.run(objectives.New(g.board).Run)
	g.controllers.run(upstreamController.Run)
	g.controllers.run(memberController.Run)
	g.controllers.run(g.broadcastVersion)

	server := serve.New(g.board, g.agents, settings.DataCentre, serve.NewMetrics(reg))
	front := gateway.New(settings, g.board, server, configs, batch.NewStore(table, objects))
	var err error
	if g.metrics, err = serveMetrics(settings.MetricsAddress, reg, process); err != nil {
		return err
	}
	if g.peers, err = peer.ListenWithin(settings.PeerAddress, mergeHandlers(g.peerHandlers(memberController), limitController.Handlers()), nil, process.NewPool(peerFraction)); err != nil {
		return err
	}
	if g.http, err = front.Listen(process.NewPool(callerFraction)); err != nil {
		return err
	}
	g.controllers.run(func(ctx context.Context) { g.serveAfter(ctx, limitController.Ready()) })
	return nil
}

// serveAfter sets the phase to serving when the channel is closed, unless the gateway
// is shutting down by then.
func (g *Gateway) serveAfter(ctx context.Context, started <-chan struct{}) {
	select {
	case <-started:
	case <-ctx.Done():
		return
	}
	g.board.Phase.Update(func(p blackboard.Phase) blackboard.Phase {
		if p == blackboard.PhaseStarting {
			return blackboard.PhaseServing
		}
		return p
	})
}

// mergeHandlers returns the handlers of all sets. Of two handlers of one method, it
// takes the later.
func mergeHandlers(sets ...peer.Handlers) peer.Handlers {
	all := peer.Handlers{}
	for _, set := range sets {
		maps.Copy(all, set)
	}
	return all
}

// agentHandlers returns the handlers of the messages that agents send.
func (g *Gateway) agentHandlers(upstreamController *upstreams.Controller) peer.Handlers {
	return peer.Handlers{
		peer.MethodConfig: peer.ConfigHandler(g.board),
		peer.MethodStatus: func(_ context.Context, from *peer.Session, params json.RawMessage) (any, error) {
			status, err := peer.DecodeParams[peer.AgentStatus](params)
			if err != nil {
				return nil, err
			}
			upstreamController.OnStatus(from.RemoteAddress, status)
			return nil, nil
		},
	}
}

// peerHandlers returns the handlers of the messages that other gateways send.
func (g *Gateway) peerHandlers(memberController *membership.Controller) peer.Handlers {
	handlers := memberController.Handlers()
	handlers[peer.MethodConfig] = peer.ConfigHandler(g.board)
	return handlers
}

// Fetch implements configsync.Peers: it asks the connected gateways and agents for a
// newer configuration than have.
func (g *Gateway) Fetch(ctx context.Context, have fleet.Head) (configstore.Bundle, bool) {
	return peer.FetchConfig(ctx, append(g.gateways.CallFuncs(), g.agents.CallFuncs()...), have)
}

// broadcastVersion sends the version of the configuration in force to every agent, at
// once and after every change, until ctx is done.
func (g *Gateway) broadcastVersion(ctx context.Context) {
	for {
		config := g.board.Config.Load()
		g.agents.Broadcast(ctx, peer.MethodVersion, peer.VersionNotice{ConfigVersion: config.Value.Head.Version})
		select {
		case <-config.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Stop implements Process. Callers move to other gateways while this one still accepts
// requests; then the running requests finish, or are aborted when ctx ends.
func (g *Gateway) Stop(ctx context.Context) error {
	g.board.Phase.Publish(blackboard.PhaseLeaving)
	g.http.DisableKeepAlives()
	timer.Sleep(ctx, leavingDuration)
	g.board.Phase.Publish(blackboard.PhaseDraining)
	err := g.http.Shutdown(ctx)
	g.release()
	return err
}

// Kill implements Process. It may be called on a gateway that was started only in part.
func (g *Gateway) Kill() {
	if g.http != nil {
		g.http.Close()
	}
	g.release()
}

// release closes the connections and listeners other than the HTTP server of callers,
// and stops the controllers.
func (g *Gateway) release() {
	for _, pool := range []*peer.Pool{g.agents, g.gateways} {
		if pool != nil {
			pool.Close()
		}
	}
	if g.peers != nil {
		g.peers.Close()
	}
	g.controllers.stop()
	if g.metrics != nil {
		g.metrics.Close()
	}
}
