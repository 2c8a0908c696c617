package fleettest_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/baobablanding/baobablanding/fleettest"
)

// TestEveryGatewayAnswers guards against a gateway that is ready but does not answer, and
// against API keys that are passed on to an engine.
func TestEveryGatewayAnswers(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{DataCentres: 2, Gateways: 2, Engines: 2, Services: 1})
	for i := range f.Inventory.Gateways {
		status, body := f.Chat(context.Background(), i, "garrafon", "hello", false)
		if status != http.StatusOK || !strings.Contains(body, "answer to: hello") {
			t.Errorf("gateway with index %d answered %d %s", i, status, body)
		}
		status, body = f.Chat(context.Background(), i, "garrafon", "hello", true)
		if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Errorf("gateway with index %d answered a stream request with %d %s", i, status, body)
		}
	}
	for _, e := range f.Engines {
		for _, request := range e.ReceivedRequests() {
			if request.HasCredential {
				t.Errorf("engine received request %s with an API key", request.ID)
			}
		}
	}
}
