package daemon_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/baobablanding/baobablanding/fleettest"
)

// stopTimeout bounds the graceful shutdown of one daemon.
const stopTimeout = 10 * time.Second

// TestStoppedDaemonsLeaveNothingRunning guards against goroutines that outlive a
// daemon. It sends requests through a fleet, stops one gateway and one agent
// gracefully, kills the other daemons and checks for remaining goroutines.
func TestStoppedDaemonsLeaveNothingRunning(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Run("fleet", func(t *testing.T) {
		f := fleettest.Start(t, fleettest.Options{Gateways: 2, Engines: 2, Services: 1})
		for i := range f.Inventory.Gateways {
			if status, body := f.Chat(t.Context(), i, "garrafon", "hello", i == 0); status != http.StatusOK {
				t.Errorf("gateway %d answered %d %s", i, status, body)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
		defer cancel()
		gatewayName, vm := f.Inventory.Gateways[0].Name, f.Inventory.VMs[0].Name
		if err := f.Gateways[gatewayName].Stop(ctx); err != nil {
			t.Error(err)
		}
		if err := f.Agents[vm].Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	http.DefaultClient.CloseIdleConnections()
	// go-zero starts these goroutines once per process and never stops them.
	goleak.VerifyNone(t, before,
		goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/proc.init.0.func1"),
		goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/stat.init.0.func1"),
		goleak.IgnoreAnyFunction("github.com/zeromicro/go-zero/core/collection.(*TimingWheel).run"),
	)
}
