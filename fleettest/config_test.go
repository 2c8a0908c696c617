package fleettest_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/fleettest"
	"github.com/baobablanding/baobablanding/standin"
)

// inForceBound is how soon an accepted change must be in force everywhere.
const inForceBound = 3 * time.Second

// takeOutDataCentre returns an edit that takes a data centre out.
func takeOutDataCentre(dataCentre string) func(fleet.State) (fleet.State, error) {
	return func(s fleet.State) (fleet.State, error) {
		s.TakenOut = append(s.TakenOut, dataCentre)
		return s, nil
	}
}

func TestChangeReachesGatewaysWithoutTheStore(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 3, Relay: true})
	f.Relays["gateway-2"].Cut()
	f.Relays["gateway-3"].Cut()
	started := time.Now()
	f.WaitVersion(f.Apply(takeOutDataCentre("dc-1")))
	if took := time.Since(started); took > inForceBound {
		t.Errorf("in force everywhere after %s, bound %s", took, inForceBound)
	}
}

func TestGatewayStartsDuringAnOutageFromItsPeers(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Gateways: 3})
	version := f.Apply(takeOutDataCentre("dc-none"))
	f.WaitVersion(version)
	f.Platform.Set(standin.Faults{Outage: true})
	f.KillGateway("gateway-1")
	f.StartGateway("gateway-1")
	f.WaitVersion(version)
	f.Eventually("the restarted gateway serves", func() bool {
		status, _ := f.Chat(context.Background(), 0, "garrafon", "hello", false)
		return status == http.StatusOK
	})
}

func TestOutageOfTheStoreDoesNotStopService(t *testing.T) {
	rules := fleet.Rules{MaxIsolation: time.Second}
	f := fleettest.Start(t, fleettest.Options{Gateways: 3, Rules: rules})
	f.Platform.Set(standin.Faults{Outage: true})
	f.KillGateway("gateway-3")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range 2 {
			if status, body := f.Chat(context.Background(), i, "garrafon", "hello", false); status != http.StatusOK {
				t.Fatalf("gateway %d answered %d %s", i, status, body)
			}
		}
	}
}

// longStream asks for a stream of more than a minute.
const longStream = `{"model":"test-model","stream":true,"max_tokens":60000,"messages":[{"role":"user","content":"hello"}]}`

func TestIsolatedGatewayStopsServing(t *testing.T) {
	rules := fleet.Rules{MaxIsolation: time.Second}
	f := fleettest.Start(t, fleettest.Options{Gateways: 2, Rules: rules, Relay: true, RelayPeers: true})
	stream := make(chan string, 1)
	go func() {
		_, body := f.Call(context.Background(), 1, "garrafon", http.MethodPost, "/v1/chat/completions", longStream)
		stream <- body
	}()
	f.Eventually("the stream runs", func() bool { return f.Engines[0].Running() == 1 })
	f.Relays["gateway-2"].Cut()
	f.PeerRelays["gateway-1"].Cut()
	f.PeerRelays["gateway-2"].Cut()
	f.Eventually("the isolated gateway refuses", func() bool {
		status, _ := f.Chat(context.Background(), 1, "garrafon", "hello", false)
		return status == http.StatusServiceUnavailable
	})
	select {
	case body := <-stream:
		if !strings.Contains(body, `"code":5004`) || strings.Contains(body, "[DONE]") {
			t.Errorf("the running stream ended with %q", body[max(0, len(body)-300):])
		}
	case <-time.After(inForceBound):
		t.Error("the running stream goes on")
	}
	if status, body := f.Chat(context.Background(), 0, "garrafon", "hello", false); status != http.StatusOK {
		t.Errorf("the other gateway answered %d %s", status, body)
	}
	f.Relays["gateway-2"].Restore()
	f.Eventually("the gateway serves again", func() bool {
		status, _ := f.Chat(context.Background(), 1, "garrafon", "hello", false)
		return status == http.StatusOK
	})
}
