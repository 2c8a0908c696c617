// Package daemon assembles the gateway, agent and entry daemons from the other
// packages and runs them until a signal asks them to stop.
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"

	"github.com/baobablanding/baobablanding/budget"
	"github.com/baobablanding/baobablanding/config"
	"github.com/baobablanding/baobablanding/httpserve"
)

// Process is a running daemon.
type Process interface {
	// Stop shuts the daemon down gracefully: it rejects new work, waits for the running
	// work and releases all resources. When ctx ends, it aborts the work that still
	// runs and returns an error.
	Stop(ctx context.Context) error
	// Kill aborts the running work and releases all resources at once.
	Kill()
}

// runDaemon runs a gateway or agent until SIGTERM or SIGINT arrives and returns the
// exit code. It calls start once to get the daemon. A SIGINT aborts the graceful shutdown.
func runDaemon(settings config.Settings, start func(config.Settings, *log.Logger) (Process, error)) int {
	stops := notifyStops()
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitFraction))
	logger := NewLogger(settings)
	return runProcess(logger, stops, settings.DrainTimeout, func() (Process, error) { return start(settings, logger) })
}

// notifyStops returns a channel that receives every SIGTERM and SIGINT.
func notifyStops() <-chan os.Signal {
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	return stops
}

// runProcess calls start and runs the returned process until a signal comes from stops. It
// returns the exit code. The graceful shutdown is aborted after drain or by a SIGINT; a
// repeated SIGTERM has no effect, since it must not cut requests that still run.
func runProcess(logger *log.Logger, stops <-chan os.Signal, drain time.Duration, start func() (Process, error)) int {
	process, err := start()
	if err != nil {
		logger.Error().Err(err).Msg("daemon failed to start")
		return exitFailed
	}
	logger.Info().Msg("daemon started")
	<-stops
	logger.Info().Msg("daemon is shutting down after a signal")
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	go func() {
		for s := range stops {
			logger.Info().Str("signal", s.String()).Msg("signal arrived during the shutdown")
			if s == syscall.SIGINT {
				cancel()
			}
		}
	}()
	if err := process.Stop(ctx); err != nil {
		logger.Warn().Err(err).Msg("daemon shut down before all running work finished")
		return exitFailed
	}
	logger.Info().Msg("daemon shut down")
	return exitOK
}

// NewLogger returns the logger of a gateway or agent, which writes JSON lines to
// standard error.
func NewLogger(settings config.Settings) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(settings.LogLevel),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("name", settings.Name).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// newRegistry returns a metrics registry with the collectors of the Go runtime and of
// the process.
func newRegistry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return reg
}

// serveMetrics starts a server of /metrics and /healthz at the address.
func serveMetrics(address string, reg *prometheus.Registry, process *budget.Budget) (*httpserve.Server, error) {
	handler := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	server, err := httpserve.Listen(address, []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: handler.ServeHTTP},
		{Method: http.MethodGet, Path: "/healthz", Handler: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		}},
	}, httpserve.Options{ReadHeaderTimeout: time.Second, Pool: process.NewPool(metricsFraction)})
	if err != nil {
		return nil, fmt.Errorf("listen for metrics requests: %w", err)
	}
	return server, nil
}

// Durations within a graceful shutdown.
const (
	// leavingDuration is how long a gateway that shuts down still accepts requests, so
	// that its load balancer and its callers can move to another gateway.
	leavingDuration = time.Second
	// lastResponseDelay is how long an agent keeps its connections open after the last
	// request, so that gateways can read the last responses.
	lastResponseDelay = 100 * time.Millisecond
)

// controllerGroup runs controllers, each in a goroutine, until the group is stopped.
type controllerGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// newControllerGroup returns a group without controllers.
func newControllerGroup() *controllerGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &controllerGroup{ctx: ctx, cancel: cancel}
}

// run starts a controller. Its context is cancelled when the group is stopped.
func (g *controllerGroup) run(controller func(context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		controller(g.ctx)
	}()
}

// stop cancels the context of every controller and waits until all have returned. It
// may be called more than once.
func (g *controllerGroup) stop() {
	g.cancel()
	g.wg.Wait()
}
