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
	"github.com/baobablanding/baobablanding/clock"
	"github.com/baobablanding/baobablanding/controller/directory"
	"github.com/baobablanding/baobablanding/controller/jobs"
	"github.com/baobablanding/baobablanding/controller/loads"
	"github.com/baobablanding/baobablanding/controller/rates"
	"github.com/baobablanding/baobablanding/controller/roster"
	"github.com/baobablanding/baobablanding/httpserve"
	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/logbudget"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/relay"
	"github.com/baobablanding/baobablanding/timer"
)

const (
	// keyValidityPart is the part of the time allowed for a withdrawn key during
	// which a daemon trusts its last reading of the configuration. The rest covers
	// a feed of the store that is late.
	keyValidityPart = 0.7
	// readyPart is the part of that time after which a daemon that does not reach
	// the store is not ready: the balancer takes seconds to send callers elsewhere.
	readyPart = 0.36
	// memoryPart is the part of the VM's memory limit that the runtime keeps to.
	memoryPart = 0.7
	// entryLeaveTime is how long a leaving entry daemon still accepts connections
	// while the balancer notices.
	entryLeaveTime = 2800 * time.Millisecond
	// stopMargin is the part of the grace time that is kept for ending.
	stopMargin = 600 * time.Millisecond
	// logQueue is the number of log lines that may wait for a slow reader.
	logQueue = 4096
)

// Entry is a running entry daemon.
type Entry struct {
	board       *blackboard.EntryBoard
	readyAge    time.Duration // of the last reading
	controllers *group
	heartbeat   *group
	roster      *roster.Controller
	jobs        *jobs.Controller
	front       *httpserve.Server
	readiness   *httpserve.Server
	metrics     *httpserve.Server
	log         *log.Logger
}

// EntryMain runs an entry daemon with the settings that the platform provides
// until a signal arrives, and returns the exit code.
func EntryMain() int {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryPart))
	logger := newEntryLogger(settings)
	go followSettings(path, logger)
	return runProcess(logger, settings.Grace-stopMargin, func() (Process, error) { return StartEntry(settings, logger) })
}

// newEntryLogger returns a logger that writes a bounded number of JSON lines a
// second to standard output. It drops lines rather than wait for a slow reader.
func newEntryLogger(settings platform.Settings) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("name", settings.Name).Value(),
		Writer: logbudget.New(&log.AsyncWriter{
			ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout},
		}),
	}
}

// followSettings checks the settings file whenever SIGHUP says that it changed.
// A daemon's addresses hold until it is started again.
func followSettings(path string, logger *log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		_, err := platform.ReadSettings(path)
		logger.Info().Err(err).Msg("settings file was read again; changes hold from the next start")
	}
}

// StartEntry starts an entry daemon.
func StartEntry(settings platform.Settings, logger *log.Logger) (Process, error) {
	e := &Entry{board: blackboard.NewEntryBoard(), controllers: newGroup(), heartbeat: newGroup(), log: logger}
	if err := e.start(settings); err != nil {
		e.Kill()
		return nil, err
	}
	return e, nil
}

func (e *Entry) start(settings platform.Settings) error {
	e.readyAge = time.Duration(float64(settings.KeyGrace) * readyPart)
	rows := platform.NewStore(settings.Store)
	engines := platform.NewEngines()
	self := blackboard.Peer{
		Name: settings.Name, Incarnation: blackboard.NewIncarnation(settings.Name, uuid.NewString()),
		Address: settings.Peer, DataCentre: settings.DataCentre,
	}
	e.board.Roster.Publish(&blackboard.Roster{Self: self})
	socket, err := loads.Listen(settings.Peer)
	if err != nil {
		return fmt.Errorf("listen for load reports: %w", err)
	}
	reg := newRegistry()
	registerBoard(reg, e.board)
	e.roster = roster.New(e.board, rows, self, e.log)
	e.jobs = jobs.New(e.board, rows, engines, self, e.log)
	dir := directory.New(e.board, rows, platform.Decoder{}, e.log)
	load := loads.New(e.board, socket, e.log)
	e.heartbeat.run(e.roster.RunHeartbeat)
	for _, run := range []func(context.Context){
		dir.RunOperators, dir.RunEngines, e.roster.RunObserver, load.RunReceiver, load.RunSender,
		rates.New(e.board, rows, e.log).Run, e.jobs.RunFollower, e.jobs.Run,
	} {
		e.controllers.run(run)
	}
	validity := time.Duration(float64(settings.KeyGrace) * keyValidityPart)
	online := relay.NewServer(e.board, engines, settings.DataCentre, validity, relay.NewMetrics(reg), e.log)
	return e.listen(settings, platform.NewFront(online, relay.NewJobServer(online, job.NewLedger(rows), self)), reg)
}

// listen opens the listeners.
func (e *Entry) listen(settings platform.Settings, front http.Handler, reg *prometheus.Registry) error {
	var err error
	if e.metrics, err = serveMetrics(settings.Metrics, reg); err != nil {
		return err
	}
	if e.front, err = httpserve.Listen(settings.Front, nil, httpserve.Options{
		ReadHeaderTimeout: entryHeaderTimeout, NotFound: front, NotAllowed: front,
	}); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	ready := []rest.Route{{Method: http.MethodGet, Path: platform.ReadyPath, Handler: platform.Ready(e.ready)}}
	if e.readiness, err = httpserve.Listen(settings.Readiness, ready, httpserve.Options{ReadHeaderTimeout: time.Second}); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	e.board.Phase.Publish(blackboard.PhaseServing)
	return nil
}

// entryHeaderTimeout bounds the arrival of a request's header.
const entryHeaderTimeout = 5 * time.Second

// ready tells whether the daemon can serve new callers.
func (e *Entry) ready() bool {
	return e.board.Phase.Value() == blackboard.PhaseServing && e.board.Catalog.Value() != nil &&
		e.board.ConfigRead.Value().SentWithin(e.readyAge, clock.Now()) && len(e.board.Engines.Value().All) > 0
}

// Stop implements Process. The balancer and the callers go elsewhere, other
// daemons take the batch jobs over, and the running requests end.
func (e *Entry) Stop(ctx context.Context) error {
	e.board.Phase.Publish(blackboard.PhaseLeaving)
	e.front.Leave()
	e.jobs.Drain()
	e.heartbeat.stop()
	e.roster.Deregister()
	timer.Sleep(ctx, entryLeaveTime)
	e.board.Phase.Publish(blackboard.PhaseDraining)
	err := e.front.Shutdown(ctx)
	e.controllers.stop()
	return errors.Join(err, e.readiness.Shutdown(ctx), e.metrics.Shutdown(ctx))
}

// Kill implements Process.
func (e *Entry) Kill() {
	e.heartbeat.stop()
	e.controllers.stop()
	for _, s := range []*httpserve.Server{e.front, e.readiness, e.metrics} {
		if s != nil {
			s.Close()
		}
	}
}
