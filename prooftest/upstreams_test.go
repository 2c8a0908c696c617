package prooftest_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/baobablanding/baobablanding/devfleet"
	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/gateway"
	"github.com/baobablanding/baobablanding/history"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/standin"
	"github.com/baobablanding/baobablanding/store"
)

// noNewWorkBound is the longest time from an event until the upstreams it concerns get no
// new work. The event is that a data centre was taken out, that a key was withdrawn (both
// counted from the acceptance of the change), or that an entry was added to the VM list.
const noNewWorkBound = 3 * time.Second

// noNewWorkCase is an event after which some upstreams must get no new work.
type noNewWorkCase struct {
	name string
	// trigger causes the event, through the second gateway or in the platform.
	trigger func(t *testing.T, f *devfleet.Fleet)
	// withoutNewWork reports whether the upstream must get no new work after the event.
	withoutNewWork func(f *devfleet.Fleet, upstream string) bool
	// storeFails reports whether the store is made unavailable right after the event.
	// It is false for the VM list, which belongs to the platform: daemons don't pass it
	// to their peers, so they learn of a new entry only from the platform.
	storeFails bool
}

var noNewWorkCases = []noNewWorkCase{
	{
		name: "data centre taken out",
		trigger: func(t *testing.T, f *devfleet.Fleet) {
			request := gateway.DataCentreRequest{
				ChangeMetadata: gateway.ChangeMetadata{Operation: uuid.NewString(), Author: "test"},
				Name:           f.Inventory.DataCentres[0].Name, TakeOut: true,
			}
			post(t, f, "/admin/data-centres", request)
		},
		withoutNewWork: func(f *devfleet.Fleet, upstream string) bool {
			return dataCentreOf(&f.Inventory, upstream) == f.Inventory.DataCentres[0].Name
		},
		storeFails: true,
	},
	{
		name: "upstream leaving",
		trigger: func(t *testing.T, f *devfleet.Fleet) {
			setVMs(t, f.PlatformURL, []store.VM{{Name: f.Inventory.Upstreams[0].VM, State: store.VMLeaving}})
		},
		withoutNewWork: func(f *devfleet.Fleet, upstream string) bool { return upstream == f.Inventory.Upstreams[0].Name },
	},
	{
		name: "key withdrawn",
		trigger: func(t *testing.T, f *devfleet.Fleet) {
			var keys []gateway.KeyInfo
			if err := f.Client(1).Get(t.Context(), "/admin/keys", &keys); err != nil {
				t.Fatal(err)
			}
			request := gateway.KeyRequest{ChangeMetadata: gateway.ChangeMetadata{Operation: uuid.NewString(), Author: "test"}, ID: keys[0].ID}
			post(t, f, "/admin/keys/withdraw", request)
		},
		withoutNewWork: func(*devfleet.Fleet, string) bool { return true },
		storeFails:     true,
	},
}

// post sends a configuration change to the second gateway.
func post(t *testing.T, f *devfleet.Fleet, path string, request any) {
	t.Helper()
	var applied gateway.ApplyResponse
	if err := f.Client(1).Post(t.Context(), path, request, &applied); err != nil {
		t.Fatal(err)
	}
}

// dataCentreOf returns the name of the data centre of the upstream.
func dataCentreOf(inv *fleet.Inventory, upstream string) string {
	view := fleet.NewView(fleet.State{Inventory: *inv})
	return view.DataCentreOf(view.Upstream(upstream))
}

// setVMs replaces the VM list of the stand-in platform at url.
func setVMs(t *testing.T, url string, vms []store.VM) {
	t.Helper()
	data, err := json.Marshal(vms)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+platform.VMsPath, strings.NewReader(string(data)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// TestNoNewWorkAfterEvent guards against daemons that go on sending work to upstreams that
// must get none, because they missed the event. Under load, the first gateway is paused
// during the event and resumes with its old state, an agent is killed and restarted, and
// in some cases the store is unavailable from right after the event on.
func TestNoNewWorkAfterEvent(t *testing.T) {
	for _, c := range noNewWorkCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

// run triggers the event under load and checks that the upstreams get no new work.
func (c *noNewWorkCase) run(t *testing.T) {
	f := startProcesses(t, devfleet.Options{DataCentres: 2, Gateways: 2, Engines: 4, Services: 2})
	var chats, orders history.Recorder
	groups := []*callerGroup{
		startCallers(t.Context(), processCallers(f, &chats), wholeChat, callInterval),
		startCallers(t.Context(), processCallers(f, &orders), nonIdempotentCall, callInterval),
	}
	time.Sleep(warmUpDuration)
	stale := f.Process(f.Inventory.Gateways[0].Name)
	if err := stale.Pause(); err != nil {
		t.Fatal(err)
	}
	c.trigger(t, f)
	event := time.Now()
	if c.storeFails {
		setFaults(t, f.PlatformURL, standin.Faults{Outage: true})
	}
	killAndRestart(t, f.Process("agent-"+f.Inventory.Upstreams[0].VM))
	time.Sleep(warmUpDuration)
	if err := stale.Resume(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * noNewWorkBound)
	for _, g := range groups {
		g.stopAndWait()
	}
	arrived := arrivals(t, &f.Inventory)
	withoutNewWork := func(a history.Arrival) bool { return c.withoutNewWork(f, a.Upstream) }
	checkGuarantee(t, "no new work after "+c.name, history.CheckNoWorkAfter(arrived, event, noNewWorkBound, withoutNewWork))
	for kind, record := range map[requestKind]*history.Recorder{wholeChat: &chats, nonIdempotentCall: &orders} {
		t.Logf("kind %d: %s", kind, record.Summary())
		checkRequests(t, kind, record.Calls(), arrived, f.Keys)
	}
}

// TestColdEnginesAreNotOverloaded guards against an engine that fails because it gets more
// requests during its cold start than it can run. All engines begin in cold start, and
// one is killed and restarted twice, under more callers than a cold engine can serve.
func TestColdEnginesAreNotOverloaded(t *testing.T) {
	t.Parallel()
	f := startProcesses(t, devfleet.Options{
		DataCentres: 1, Gateways: 2, Engines: 2, Services: 1,
		EngineArgs: []string{"--cold"},
	})
	var chats history.Recorder
	group := startCallers(t.Context(), processCallers(f, &chats), wholeChat, 0)
	for range 2 {
		time.Sleep(warmUpDuration)
		killAndRestart(t, f.Process(f.Inventory.Upstreams[0].Name))
	}
	time.Sleep(warmUpDuration)
	group.stopAndWait()
	t.Logf("%s %v", chats.Summary(), chats.UnansweredByReason())
	for _, u := range f.Inventory.Upstreams {
		if u.Kind != fleet.KindEngine {
			continue
		}
		if n := overloadFailures(t, u.URL); n != 0 {
			t.Errorf("%s failed %d times from overload in cold start", u.Name, n)
		}
	}
}

// overloadFailures returns how often the engine at url failed from overload in cold start.
func overloadFailures(t *testing.T, url string) int {
	t.Helper()
	resp, err := http.Get(url + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var load struct{ Falls int }
	if err := json.NewDecoder(resp.Body).Decode(&load); err != nil {
		t.Fatal(err)
	}
	return load.Falls
}
