package fleettest_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/gateway"
)

// BenchmarkChangeInForce measures the time from an operator's change until the gateway
// that received it reports that it is in force on every daemon.
func BenchmarkChangeInForce(b *testing.B) {
	for _, size := range []struct{ gateways, agents int }{{3, 14}, {8, 14}, {16, 14}, {8, 56}} {
		b.Run(fmt.Sprintf("gateways=%d/agents=%d", size.gateways, size.agents), func(b *testing.B) {
			f := fleettest.Start(b, fleettest.Options{DataCentres: 3, Gateways: size.gateways, Engines: size.agents})
			var longest time.Duration
			for b.Loop() {
				started := time.Now()
				changeAndWait(b, f)
				longest = max(longest, time.Since(started))
			}
			b.ReportMetric(float64(longest.Milliseconds()), "ms-longest")
		})
	}
}

func changeAndWait(b *testing.B, f *fleettest.Fleet) {
	b.Helper()
	ctx := context.Background()
	request := gateway.DataCentreRequest{
		ChangeMetadata: gateway.ChangeMetadata{Operation: uuid.NewString(), Author: "benchmark"}, Name: "dc-1", TakeOut: false,
	}
	var accepted gateway.ApplyResponse
	if err := f.Client(0).Post(ctx, "/admin/data-centres", request, &accepted); err != nil {
		b.Fatal(err)
	}
	f.Eventually("the change is in force", func() bool {
		var state gateway.InForceResponse
		err := f.Client(0).Get(ctx, fmt.Sprintf("/admin/in-force?version=%d", accepted.Version), &state)
		return err == nil && state.Complete
	})
}
