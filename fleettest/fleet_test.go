package fleettest_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/baobablanding/baobablanding/fleettest"
)

func TestFleetAnswersOnEveryGateway(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{DataCentres: 2, Gateways: 2, Engines: 2, Services: 1})
	for i := range f.Inventory.Gateways {
		status, body := f.Chat(context.Background(), i, "garrafon", "hello", false)
		if status != http.StatusOK || !strings.Contains(body, "answer to: hello") {
			t.Errorf("gateway %d answered %d %s", i, status, body)
		}
		status, body = f.Chat(context.Background(), i, "garrafon", "hello", true)
		if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
			t.Errorf("gateway %d streamed %d %s", i, status, body)
		}
	}
	for _, e := range f.Engines {
		for _, s := range e.Seen() {
			if s.Key {
				t.Errorf("request %s carried a key to the engine", s.ID)
			}
		}
	}
}
