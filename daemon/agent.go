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
	"github.com/baobablanding/baobablanding/budget"
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

// Agent is a running agent process. It fronts the upstreams of one VM for the gateways
// that connect to it.
type Agent struct {
	board       *blackboard.Board
	vm          string
	incarnation string
	agent       *agent.Agent
	dispatch    *dispatch.Controller
	controllers *controllerGroup
	peers       *peer.Server
	metrics     *httpserve.Server

	statusMu sync.Mutex // held while a status is built and sent
}

// StartAgent starts an agent with the settings. It returns once the agent listens and
// its controllers run; if that fails, it stops what was started.
func StartAgent(settings config.Settings, logger *log.Logger) (Process, error) {
	a := &Agent{
		board:       blackboard.New(),
		vm:          settings.Name,
		incarnation: uuid.NewString(),
		controllers: newControllerGroup(),
	}
	if err := a.start(settings, logger); err != nil {
		a.Kill()
		return nil, err
	}
	return a, nil
}

// start opens the listeners and starts the controllers. After an error the caller must
// call Kill, which releases what was started.
func (a *Agent) start(settings config.Settings, logger *log.Logger) error {
	table := platform.NewTable(settings.Platform.TableURL, settings.Platform.Timeout)
	objects := platform.NewObjects(settings.Platform.ObjectsURL, settings.Platform.Timeout)
	reg := newRegistry()
	process := newBudget(budget.Limits{
		MemoryBytes: settings.MemoryBytes, Descriptors: settings.MaxDescriptors, UnreadTimeout: settings.UnreadTimeout,
	}, reg, logger)
	a.agent = agent.New(a.board, agent.NewMetrics(reg))

	var err error
	if a.metrics, err = serveMetrics(settings.MetricsAddress, reg, process); err != nil {
		return err
	}
	if a.peers, err = peer.ListenWithin(settings.PeerAddress, a.handlers(), a.sendStatus, process.NewPool(peerFraction)); err != nil {
		return err
	}
	a.board.Phase.Publish(blackboard.PhaseServing)
	a.controllers.run(configsync.New(a.board, configstore.New(table, objects), a, logger).Run)
	vms := platform.NewVMs(settings.Platform.VMsURL, settings.Platform.Timeout)
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
	a.controllers.run(a.broadcastChanges)
	return nil
}

// handlers returns the handlers of the messages that gateways send.
func (a *Agent) handlers() peer.Handlers {
	handlers := a.agent.Handlers()
	handlers[peer.MethodConfig] = peer.ConfigHandler(a.board)
	handlers[peer.MethodVersion] = func(_ context.Context, _ *peer.Session, params json.RawMessage) (any, error) {
		notice, err := peer.DecodeParams[peer.VersionNotice](params)
		if err == nil {
			a.board.ObserveVersion(notice.ConfigVersion)
		}
		return nil, err
	}
	return handlers
}

// Fetch implements configsync.Peers: it asks the connected gateways for a newer
// configuration than have.
func (a *Agent) Fetch(ctx context.Context, have fleet.Head) (configstore.Bundle, bool) {
	return peer.FetchConfig(ctx, a.peers.CallFuncs(), have)
}

// sendStatus sends the status of this agent on a new connection.
func (a *Agent) sendStatus(s *peer.Session) {
	a.statusMu.Lock()
	defer a.statusMu.Unlock()
	_ = s.Notify(context.Background(), peer.MethodStatus, a.status())
}

// broadcastChanges sends the status of this agent on every connection, at once and
// whenever the upstreams, the phase or the configuration change, until ctx is done.
func (a *Agent) broadcastChanges(ctx context.Context) {
	for {
		upstreams, phase, config := a.board.Upstreams.Load(), a.board.Phase.Load(), a.board.Config.Load()
		a.broadcastStatus(ctx)
		select {
		case <-upstreams.Changed():
		case <-phase.Changed():
		case <-config.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// broadcastStatus sends the status of this agent on every connection. Like sendStatus,
// it holds statusMu, so that no connection gets an older status after a newer one.
func (a *Agent) broadcastStatus(ctx context.Context) {
	a.statusMu.Lock()
	defer a.statusMu.Unlock()
	a.peers.Broadcast(ctx, peer.MethodStatus, a.status())
}

// status returns the phase of this agent, its version of the configuration (0 if none
// is in force) and the load of its upstreams.
func (a *Agent) status() peer.AgentStatus {
	s := peer.AgentStatus{
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

// Stop implements Process. It waits until no request runs and no batch chunk is
// claimed, or returns the error of ctx if ctx ends before.
func (a *Agent) Stop(ctx context.Context) error {
	a.board.Phase.Publish(blackboard.PhaseDraining)
	err := a.agent.WaitUntilIdle(ctx)
	select {
	case <-a.dispatch.Drained():
	case <-ctx.Done():
		err = ctx.Err()
	}
	timer.Sleep(ctx, lastResponseDelay)
	a.Kill()
	return err
}

// Kill implements Process. It may be called on an agent that was started only in part.
func (a *Agent) Kill() {
	a.controllers.stop()
	if a.peers != nil {
		a.peers.Close()
	}
	if a.metrics != nil {
		a.metrics.Close()
	}
}
