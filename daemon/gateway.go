package daemon

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
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
	controllers *group
	agents      *peer.Pool // to agents
	gateways    *peer.Pool // to other gateways
	peers       *peer.Server
	http        *httpserve.Server
	metrics     *httpserve.Server
}

// StartGateway starts a gateway.
func StartGateway(settings config.Settings, logger *log.Logger) (Process, error) {
	g := &Gateway{board: blackboard.New(), controllers: newGroup()}
	if err := g.start(settings, logger); err != nil {
		g.Kill()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) start(settings config.Settings, logger *log.Logger) error {
	table := platform.NewTable(settings.Platform.Table, settings.Platform.Timeout)
	objects := platform.NewObjects(settings.Platform.Objects, settings.Platform.Timeout)
	configs := configstore.New(table, objects)
	reg := newRegistry()

	ups := upstreams.New(g.board, settings.Name, settings.DataCentre, logger)
	rates := limits.New(g.board, settings.Name, limits.NewMetrics(reg))
	g.agents = peer.NewPool(merge(g.agentHandlers(ups), rates.AgentHandlers()), ups.OnLink)
	ups.SetConnector(g.agents)
	members := membership.New(g.board, settings.Name, uuid.NewString(), logger)
	g.gateways = peer.NewPool(nil, members.OnLink)
	g.gateways.SetAddresses(settings.Seeds)
	members.SetMessenger(g.gateways)
	rates.SetCaller(g.gateways)
	g.controllers.run(configsync.New(g.board, configs, g, logger).Run)
	g.controllers.run(freshness.New(g.board, logger).Run)
	g.controllers.run(rates.Run)
	g.controllers.run(objectives.New(g.board).Run)
	g.controllers.run(ups.Run)
	g.controllers.run(members.Run)
	g.controllers.run(g.announce)

	server := serve.New(g.board, g.agents, settings.DataCentre, serve.NewMetrics(reg))
	front := gateway.New(settings, g.board, server, configs, batch.NewStore(table, objects))
	var err error
	if g.metrics, err = serveMetrics(settings.Metrics, reg); err != nil {
		return err
	}
	if g.peers, err = peer.Listen(settings.Peer, merge(g.peerHandlers(members), rates.Handlers()), nil); err != nil {
		return err
	}
	if g.http, err = front.Listen(); err != nil {
		return err
	}
	g.controllers.run(func(ctx context.Context) { g.serveAfter(ctx, rates.Ready()) })
	return nil
}

// serveAfter starts to serve when the channel is closed.
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

// merge returns the handlers of all sets.
func merge(sets ...peer.Handlers) peer.Handlers {
	all := peer.Handlers{}
	for _, set := range sets {
		maps.Copy(all, set)
	}
	return all
}

// agentHandlers returns the handlers of what agents send.
func (g *Gateway) agentHandlers(ups *upstreams.Controller) peer.Handlers {
	return peer.Handlers{
		peer.MethodConfig: peer.ServeConfig(g.board),
		peer.MethodStatus: func(_ context.Context, from *peer.Session, params json.RawMessage) (any, error) {
			status, err := peer.Decode[peer.Status](params)
			if err != nil {
				return nil, err
			}
			ups.OnStatus(from.Remote, status)
			return nil, nil
		},
	}
}

// peerHandlers returns the handlers of what other gateways send.
func (g *Gateway) peerHandlers(members *membership.Controller) peer.Handlers {
	handlers := members.Handlers()
	handlers[peer.MethodConfig] = peer.ServeConfig(g.board)
	return handlers
}

// Fetch implements configsync.Peers: it asks gateways and agents.
func (g *Gateway) Fetch(ctx context.Context, have fleet.Head) (configstore.Bundle, bool) {
	return peer.FetchConfig(ctx, append(g.gateways.Askers(), g.agents.Askers()...), have)
}

// announce tells every agent which version of the configuration is in force.
func (g *Gateway) announce(ctx context.Context) {
	for {
		snap := g.board.Config.Load()
		g.agents.Broadcast(ctx, peer.MethodVersion, peer.Version{ConfigVersion: snap.Value.Head.Version})
		select {
		case <-snap.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// Stop implements Process.
func (g *Gateway) Stop(ctx context.Context) error {
	g.board.Phase.Publish(blackboard.PhaseLeaving)
	g.http.Leave()
	timer.Sleep(ctx, leaveTime)
	g.board.Phase.Publish(blackboard.PhaseDraining)
	err := g.http.Shutdown(ctx)
	g.release()
	return err
}

// Kill implements Process.
func (g *Gateway) Kill() {
	if g.http != nil {
		g.http.Close()
	}
	g.release()
}

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
