// Package daemon assembles the gateway and agent processes from the library
// and runs them until a signal asks them to stop.
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/httpserve"
)

// Process is a running daemon.
type Process interface {
	// Stop refuses new work, waits for running work and releases everything.
	// When ctx ends, it cuts what still runs.
	Stop(ctx context.Context) error
	// Kill releases everything at once.
	Kill()
}

// Main runs the process that start returns until a signal arrives, and returns
// the exit code. A second signal ends a planned stop at once.
func Main(settings config.Settings, start func(config.Settings, *log.Logger) (Process, error)) int {
	logger := NewLogger(settings)
	return runProcess(logger, settings.Drain, func() (Process, error) { return start(settings, logger) })
}

// runProcess runs the process that start returns until a signal arrives. A
// planned stop may take as long as drain.
func runProcess(logger *log.Logger, drain time.Duration, start func() (Process, error)) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	process, err := start()
	if err != nil {
		logger.Error().Err(err).Msg("start")
		return exitFailed
	}
	logger.Info().Msg("started")
	<-signals
	logger.Info().Msg("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := process.Stop(ctx); err != nil {
		logger.Warn().Err(err).Msg("stopped before all work had ended")
		return exitFailed
	}
	logger.Info().Msg("stopped")
	return exitOK
}

// NewLogger returns the logger of a daemon, which writes JSON lines to standard
// error.
func NewLogger(settings config.Settings) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(settings.LogLevel),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("name", settings.Name).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// newRegistry returns a metrics registry with the collectors of the runtime.
func newRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// serveMetrics serves /metrics and /healthz at the address.
func serveMetrics(address string, reg *prometheus.Registry) (*httpserve.Server, error) {
	handler := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	server, err := httpserve.Listen(address, []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: handler.ServeHTTP},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		}},
	}, httpserve.Options{ReadHeaderTimeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return server, nil
}

// Times of a planned stop.
const (
	// leaveTime is how long a gateway still takes requests while its balancer and
	// its callers notice that it leaves.
	leaveTime = time.Second
	// answerTime is how long an agent keeps its connections after the last
	// request, so that gateways read the last answers.
	answerTime = 100 * time.Millisecond
)

// group runs controllers until it is stopped.
type group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newGroup() *group {
	ctx, cancel := context.WithCancel(context.Background())
	return &group{ctx: ctx, cancel: cancel}
}

// run starts a controller.
func (g *group) run(controller func(context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		controller(g.ctx)
	}()
}

// stop ends every controller and waits for them.
func (g *group) stop() {
	g.cancel()
	g.wg.Wait()
}
