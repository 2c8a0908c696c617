package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/blackboard"
	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/controller/admission"
	"github.com/baobablanding/baobablanding/controller/directory"
	"github.com/baobablanding/baobablanding/controller/jobs"
	"github.com/baobablanding/baobablanding/controller/loads"
	"github.com/baobablanding/baobablanding/controller/quarantine"
	"github.com/baobablanding/baobablanding/controller/rates"
	"github.com/baobablanding/baobablanding/controller/rollouts"
	"github.com/baobablanding/baobablanding/controller/roster"
	"github.com/baobablanding/baobablanding/controller/trials"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/relay"
	"github.com/baobablanding/baobablanding/store"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// keyValidityFraction is the fraction of the time a withdrawn key may still be
	// served (WithdrawnKeyGrace) during which a daemon trusts its last read of the
	// configuration. The remainder covers a delayed feed of the store.
	keyValidityFraction = 0.7
	// readyReadAgeFraction is the fraction of WithdrawnKeyGrace after which a daemon
	// without a new read of the configuration is not ready. It is well below
	// keyValidityFraction since the load balancer needs seconds to send callers to
	// another daemon.
	readyReadAgeFraction = 0.36
	// memoryLimitFraction is the fraction of the VM's memory limit that is set as the
	// soft memory limit of the Go runtime.
	memoryLimitFraction = 0.7
	// bodyMemoryFraction is the fraction of the VM's memory limit that bodies of callers may
	// take. The daemon itself and the engines' answers need the rest.
	bodyMemoryFraction = 0.25
	// maxEntryLeavingTime is how long an entry daemon that shuts down still passes requests
	// on, so that the load balancer can notice that it is not ready. maxLeavingFraction bounds
	// this by the time that it has: the requests need the rest to end.
	maxEntryLeavingTime = 2800 * time.Millisecond
	maxLeavingFraction  = 0.4
	// shutdownMargin is the end of the grace time that is reserved for exiting after
	// the running requests were aborted.
	shutdownMargin = 600 * time.Millisecond
)

// Entry is a running entry daemon. It serves callers directly from the engines that are
// registered in the platform's store.
type Entry struct {
	board       *blackboard.EntryBoard
	maxReadAge  time.Duration // age of the last configuration read up to which the daemon is ready
	controllers *controllerGroup
	heartbeat   *controllerGroup
	roster      *roster.Controller
	jobs        *jobs.Controller
	front       *httpserve.Server
	readiness   *httpserve.Server
	metrics     *httpserve.Server
	budget      *budget.Budget
	log         *log.Logger
}

// EntryCommand runs an entry daemon until SIGTERM or SIGINT arrives. It reads the
// settings from the file that the platform names in the environment. It returns the
// exit code: 0 after a graceful shutdown, 1 after a failure, 2 for invalid settings.
func EntryCommand() int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first, since SIGHUP ends a process without a handler
	stops := notifyStops()
	signal.Ignore(syscall.SIGPIPE) // else a log that nobody reads ends the process
	path := os.Getenv(platform.SettingsEnv)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitFraction))
	logger, flush := newEntryLogger(settings)
	defer flush()
	go checkSettingsOnHangup(hangups, path, logger)
	return runProcess(logger, stops, settings.StopGrace-shutdownMargin, func() (Process, error) { return StartEntry(settings, logger) })
}

// checkSettingsOnHangup reads the settings file on every signal from hangups and logs
// whether it is valid. The new settings are not applied, since the daemon's addresses are
// fixed until it restarts.
func checkSettingsOnHangup(hangups <-chan os.Signal, path string, logger *log.Logger) {
	for range hangups {
		_, err := platform.ReadSettings(path)
		logger.Info().Err(err).Msg("settings file was checked after SIGHUP; changes take effect when the daemon restarts")
	}
}

// StartEntry starts an entry daemon with the settings. It returns once the daemon
// listens and its controllers run; if that fails, it stops what was started. The daemon
// is ready only after its first reads of the store.
func StartEntry(settings platform.Settings, logger *log.Logger) (Process, error) {
	e := &Entry{board: blackboard.NewEntryBoard(), controllers: newControllerGroup(), heartbeat: newControllerGroup(), log: logger}
	if err := e.start(settings); err != nil {
		e.Kill()
		return nil, err
	}
	return e, nil
}

// start starts the controllers and opens the listeners. After an error the caller must
// call Kill, which releases what was started.
func (e *Entry) start(settings platform.Settings) error {
	e.maxReadAge = time.Duration(float64(settings.WithdrawnKeyGrace) * readyReadAgeFraction)
	rows := platform.NewStore(settings.StoreAddress)
	engines := platform.NewEngineClient()
	self := blackboard.Peer{
		Name: settings.VMName, Incarnation: blackboard.NewIncarnation(settings.VMName, uuid.NewString()),
		Address: settings.PeerAddress, DataCentre: settings.DataCentre,
	}
	e.board.Roster.Publish(&blackboard.Roster{Self: self})
	e.board.AdmissionQueue.Store(settings.EnginePressure)
	if settings.Rollouts != nil {
		e.board.Rollouts.Publish(new(blackboard.Rollouts))
	}
	socket, err := loads.Listen(settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for load reports: %w", err)
	}
	reg := newRegistry()
	engines.CountMalformedLoads(reg, e.log)
	registerEntryMetrics(reg, e.board)
	e.budget = newBudget(budget.Limits{
		MemoryBytes: settings.MemoryBytes, Descriptors: settings.MaxDescriptors, UnreadTimeout: settings.UnreadTimeout,
	}, reg, e.log)
	e.roster = roster.New(e.board, rows, self, e.log)
	metrics := relay.NewMetrics(reg)
	reg.MustRegister(relay.NewRefusalCollector(e.board))
	e.jobs = jobs.New(e.board, rows, jobs.Engines{
		Client: engines, Crashes: relay.NewCrashDetector(e.board, engines, metrics, e.log), Segments: platform.ItemSegments,
		Tokens: platform.ItemTokens,
	}, self, e.log)
	directories := directory.New(e.board, rows, platform.Decoder{}, e.log)
	itemTrials := trials.New(e.board, rows, self.Incarnation, trials.NewMetrics(reg), e.log)
	loadExchange := loads.New(e.board, socket, e.log)
	e.heartbeat.run(e.roster.RunHeartbeat)
	for _, run := range []func(context.Context){
		directories.RunOperators, directories.RunEngines, directories.RunOutages, e.roster.RunObserver, e.roster.RunRemover,
		loadExchange.RunReceiver, loadExchange.RunSender,
		quarantine.New(e.board, quarantine.NewMetrics(reg, e.board), e.log).Run,
		rates.New(e.board, rows, e.log).Run, admission.New(e.board, e.log).Run, e.jobs.RunFollower, e.jobs.Run,
		itemTrials.Run, itemTrials.RunRemover,
	} {
		e.controllers.run(run)
	}
	e.startRollouts(settings, rows, reg)
	keyValidity := time.Duration(float64(settings.WithdrawnKeyGrace) * keyValidityFraction)
	maxBodies := int64(float64(settings.MemoryBytes) * bodyMemoryFraction)
	onlineServer := relay.NewServer(e.board, engines, settings.DataCentre, keyValidity, metrics, e.log)
	return e.listen(settings, platform.NewHandler(onlineServer, relay.NewJobServer(onlineServer, job.NewLedger(rows), self), maxBodies, e.budget), reg)
}

// startRollouts starts to carry out roll-outs of engine versions if the settings ask for it.
func (e *Entry) startRollouts(settings platform.Settings, rows store.Store, reg *prometheus.Registry) {
	if settings.Rollouts == nil {
		return
	}
	bounds := rollouts.Bounds{
		Share: settings.Rollouts.ExposeShare, Slack: settings.Rollouts.ExposeSlack, RollbackTime: settings.Rollouts.RollbackTime,
	}
	controller := rollouts.New(e.board, rows, platform.Decoder{}, bounds, e.log)
	reg.MustRegister(rollouts.NewMetrics(e.board))
	e.controllers.run(controller.RunFollower)
	e.controllers.run(controller.Run)
}

// listen opens the listeners for metrics, callers and readiness probes, then sets the
// phase to serving.
func (e *Entry) listen(settings platform.Settings, handler http.Handler, reg *prometheus.Registry) error {
	var err error
	if e.metrics, err = serveMetrics(settings.MetricsAddress, reg, e.budget); err != nil {
		return err
	}
	if e.front, err = httpserve.Listen(settings.CallerAddress, nil, httpserve.Options{
		ReadHeaderTimeout: entryHeaderTimeout, NotFound: handler, MethodNotAllowed: handler,
		OnPanic:  http.HandlerFunc(platform.PanicResponse),
		Timeouts: e.timeouts,
		Pool:     e.budget.NewPool(callerFraction),
		MaxHead:  e.maxHead,
		MaxBody:  func() int64 { return platform.MaxBodyBytes(e.board.Catalog.Value()) },
		Ends:     httpserve.NewEndLog(reg, e.log, platform.RequestID),

		StopCause: relay.ErrStopped,
	}); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readinessRoutes := []rest.Route{{Method: http.MethodGet, Path: platform.ReadyPath, Handler: platform.ReadyHandler(e.isReady)}}
	if e.readiness, err = httpserve.Listen(settings.ReadinessAddress, readinessRoutes, httpserve.Options{
		ReadHeaderTimeout: time.Second, Pool: e.budget.NewPool(readinessFraction),
	}); err != nil {
		return fmt.Errorf("listen for readiness probes: %w", err)
	}
	e.board.Phase.Publish(blackboard.PhaseServing)
	return nil
}

// entryHeaderTimeout bounds the time in which the header of a caller's request must
// arrive, unless the configuration allows more.
const entryHeaderTimeout = 5 * time.Second

// timeouts returns those of the configuration in force.
func (e *Entry) timeouts() httpserve.Timeouts {
	c := e.board.Catalog.Value()
	if c == nil {
		return httpserve.Timeouts{}
	}
	return httpserve.Timeouts{Header: c.Limits.HeaderTimeout, Idle: c.Limits.IdleTimeout}
}

// maxHead returns the size of the largest head of a request under the configuration in force, or
// 0 if it has no limit.
func (e *Entry) maxHead() int {
	if c := e.board.Catalog.Value(); c != nil {
		return c.Limits.MaxHeaderBytes
	}
	return 0
}

// isReady reports whether the daemon can serve new callers: it is in the serving phase,
// knows an engine, and has a configuration whose last read is recent enough.
func (e *Entry) isReady() bool {
	return e.board.Phase.Value() == blackboard.PhaseServing && e.board.Catalog.Value() != nil &&
		e.board.ConfigRead.Value().SentWithin(e.maxReadAge, clock.Now()) && len(e.board.Engines.Value().All) > 0 &&
		(e.board.Rollouts.Value() == nil || e.board.RolloutsValidUntil.Load() > int64(clock.Now()))
}

// Stop implements Process. The load balancer and the callers move to other daemons, the
// batch jobs are handed over, and the running requests finish. Those that still run when ctx
// ends are answered if their response has not begun, and aborted otherwise.
func (e *Entry) Stop(ctx context.Context) error {
	e.board.Phase.Publish(blackboard.PhaseLeaving)
	e.front.DisableKeepAlives()
	e.jobs.Drain()
	e.heartbeat.stop()
	e.roster.Deregister()
	timer.Sleep(ctx, entryLeavingTime(ctx))
	e.board.Phase.Publish(blackboard.PhaseDraining)
	err := e.front.Shutdown(ctx)
	e.controllers.stop()
	return errors.Join(err, e.readiness.Shutdown(ctx), e.metrics.Shutdown(ctx))
}

// entryLeavingTime returns how long a daemon that has to shut down until the end of ctx still
// passes requests on.
func entryLeavingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxEntryLeavingTime
	}
	return min(maxEntryLeavingTime, time.Duration(float64(time.Until(deadline))*maxLeavingFraction))
}

// Kill implements Process. It may be called on a daemon that was started only in part.
func (e *Entry) Kill() {
	e.heartbeat.stop()
	e.controllers.stop()
	for _, server := range []*httpserve.Server{e.front, e.readiness, e.metrics} {
		if server != nil {
			server.Close()
		}
	}
}
