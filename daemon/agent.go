package daemon

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/baobablanding/baobablanding/agent"
	"github.com/baobablanding/baobablanding/batch"
	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/configstore"
	"github.com/baobablanding/baobablanding/controller/configsync"
	"github.com/baobablanding/baobablanding/controller/dispatch"
	"github.com/baobablanding/baobablanding/controller/engines"
	"github.com/baobablanding/baobablanding/controller/vmlist"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/peer"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/timer"
)

// Agent is a running agent process.
type Agent struct {
	board       *blackboard.Board
	vm          string
	incarnation string
	agent       *agent.Agent
	dispatch    *dispatch.Controller
	controllers *group
	peers       *peer.Server
	metrics     *httpserve.Server

	telling sync.Mutex // held while a status is made and sent
}

// StartAgent starts an agent.
func StartAgent(settings config.Settings, logger *log.Logger) (Process, error) {
	a := &Agent{
		board:       blackboard.New(),
		vm:          settings.Name,
		incarnation: uuid.NewString(),
		controllers: newGroup(),
	}
	if err := a.start(settings, logger); err != nil {
		a.Kill()
		return nil, err
	}
	return a, nil
}

func (a *Agent) start(settings config.Settings, logger *log.Logger) error {
	table := platform.NewTable(settings.Platform.Table, settings.Platform.Timeout)
	objects := platform.NewObjects(settings.Platform.Objects, settings.Platform.Timeout)
	reg := newRegistry()
	a.agent = agent.New(a.board, agent.NewMetrics(reg))

	var err error
	if a.metrics, err = serveMetrics(settings.Metrics, reg); err != nil {
		return err
	}
	if a.peers, err = peer.Listen(settings.Peer, a.handlers(), a.greet); err != nil {
		return err
	}
	a.board.Phase.Publish(blackboard.PhaseServing)
	a.controllers.run(configsync.New(a.board, configstore.New(table, objects), a, logger).Run)
	vms := platform.NewVMs(settings.Platform.VMs, settings.Platform.Timeout)
	a.controllers.run(vmlist.New(a.board, vms, logger).Run)
	a.controllers.run(engines.New(a.board, agent.NewProber(), a.vm, logger).Run)
	a.dispatch = dispatch.New(a.board, dispatch.Options{
		Store:     batch.NewStore(table, objects),
		Runner:    a.agent,
		Slots:     a.agent,
		BatchRate: agent.NewBatchRateClient(a.peers.Sessions),
		Lease:     settings.BatchLease,
		Holder:    a.vm + "/" + a.incarnation,
		Metrics:   dispatch.NewMetrics(reg),
		Log:       logger,
	})
	a.controllers.run(a.dispatch.Run)
	a.controllers.run(a.agent.FollowUpstreams)
	a.controllers.run(a.announce)
	return nil
}

// handlers returns the handlers of what gateways send.
func (a *Agent) handlers() peer.Handlers {
	handlers := a.agent.Handlers()
	handlers[peer.MethodConfig] = peer.ServeConfig(a.board)
	handlers[peer.MethodVersion] = func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
		v, err := peer.Decode[peer.Version](params)
		if err == nil {
			a.board.ObserveVersion(v.ConfigVersion)
		}
		return nil, err
	}
	return handlers
}

// Fetch implements configsync.Peers: it asks the gateways that are connected.
func (a *Agent) Fetch(ctx context.Context, have fleet.Head) (configstore.Bundle, bool) {
	return peer.FetchConfig(ctx, a.peers.Askers(), have)
}

// greet tells a new connection the state of the upstreams.
func (a *Agent) greet(s *peer.Session) {
	a.telling.Lock()
	defer a.telling.Unlock()
	_ = s.Notify(context.Background(), peer.MethodStatus, a.status())
}

// announce tells every connection when the state of the upstreams or the
// configuration changes.
func (a *Agent) announce(ctx context.Context) {
	for {
		ups, phase, config := a.board.Upstreams.Load(), a.board.Phase.Load(), a.board.Config.Load()
		a.tell(ctx)
		select {
		case <-ups.Changed():
		case <-phase.Changed():
		case <-config.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// tell tells every connection the state of the upstreams. Like greet, it holds
// the mutex, so that no connection gets an older state after a newer one.
func (a *Agent) tell(ctx context.Context) {
	a.telling.Lock()
	defer a.telling.Unlock()
	a.peers.Broadcast(ctx, peer.MethodStatus, a.status())
}

func (a *Agent) status() peer.Status {
	s := peer.Status{
		VM:          a.vm,
		Incarnation: a.incarnation,
		Draining:    a.board.Phase.Value() == blackboard.PhaseDraining,
	}
	if view := a.board.Config.Value().View; view != nil {
		s.ConfigVersion = view.Version
	}
	s.Reports = a.agent.LoadReports()
	return s
}

// Stop implements Process.
func (a *Agent) Stop(ctx context.Context) error {
	a.board.Phase.Publish(blackboard.PhaseDraining)
	err := a.agent.WaitUntilIdle(ctx)
	select {
	case <-a.dispatch.Drained():
	case <-ctx.Done():
		err = ctx.Err()
	}
	timer.Sleep(ctx, answerTime)
	a.Kill()
	return err
}

// Kill implements Process.
func (a *Agent) Kill() {
	a.controllers.stop()
	if a.peers != nil {
		a.peers.Close()
	}
	if a.metrics != nil {
		a.metrics.Close()
	}
}
