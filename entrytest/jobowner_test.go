package entrytest

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/baobablanding/baobablanding/job"
	"github.com/baobablanding/baobablanding/platform"
	"github.com/baobablanding/baobablanding/result"
)

const otherKey = "key-b"

// jobFleet is a fleet of two daemons and one engine that holds the items back until release is
// called.
type jobFleet struct {
	*fleet
	engine  *engine
	daemons [2]*entry
	release func()
}

// newJobFleet starts the fleet after the configuration was changed.
func newJobFleet(t *testing.T, change func(f *fleet)) *jobFleet {
	t.Helper()
	f := &jobFleet{fleet: newFleet(t)}
	change(f.fleet)
	f.publish()
	released := make(chan struct{})
	f.release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(f.release)
	f.engine = f.startEngine("i-1", func(e *engine, w http.ResponseWriter, r *http.Request, number int) {
		select {
		case <-released:
			stream(e, w, r, number)
		case <-r.Context().Done():
		}
	})
	f.daemons = [2]*entry{f.start("entry-1"), f.start("entry-2")}
	return f
}

// statuses calls both daemons and returns the statuses of their replies.
func (f *jobFleet) statuses(t *testing.T, r request) [2]int {
	t.Helper()
	return [2]int{f.daemons[0].send(t.Context(), t, r).status, f.daemons[1].send(t.Context(), t, r).status}
}

func both(status int) [2]int { return [2]int{status, status} }

// jobRequests returns the calls that read a job and one of its items, and that end the job.
func jobRequests(job, key string) (read, readItem, end request) {
	read = request{method: http.MethodGet, path: "/v1/lots/" + job + "?after=0", key: key}
	readItem = request{method: http.MethodGet, path: "/v1/items/" + job + "?id=" + job + "-0", key: key}
	end = request{method: http.MethodDelete, path: "/v1/lots/" + job, key: key}
	return read, readItem, end
}

func setJobsPublic(f *fleet, public bool) {
	routes := f.config["routes"].([]object)
	routes[len(routes)-1]["public"] = public
}

func setTenants(f *fleet, tenants ...object) { f.config["tenants"] = tenants }

func tenantWith(name string, keys ...string) object {
	return object{"name": name, "apiKeys": keys, "ratePerS": 500, "burst": 500}
}

// TestJobOfAPublicRouteBelongsToTheWorkspaceOfItsKey guards against a job that is accepted for no
// workspace because its route needs no key, and that its caller can then neither read nor end.
func TestJobOfAPublicRouteBelongsToTheWorkspaceOfItsKey(t *testing.T) {
	f := newJobFleet(t, func(f *fleet) { setJobsPublic(f, true) })
	if status := f.daemons[0].submitJob(t, "j", 2, 10); status != http.StatusAccepted {
		t.Fatalf("submission: status %d, want 202", status)
	}
	_, readItem, _ := jobRequests("j", key)
	if got := f.statuses(t, readItem); got != both(http.StatusOK) {
		t.Errorf("reads of an item: statuses %v, want 200", got)
	}
	f.release()
	for _, d := range f.daemons {
		d.checkCompletes(t, "j", 2, fullOutput)
	}
	if got := f.engine.request(0).Header.Get("Tenant"); got != tenant {
		t.Errorf("the engine ran an item for workspace %q, want %q", got, tenant)
	}
	_, _, end := jobRequests("j", key)
	if got := f.statuses(t, end); got != both(http.StatusOK) {
		t.Errorf("ends: statuses %v, want 200", got)
	}
}

// TestJobThatNobodyCouldReadIsRefused guards against a job that is accepted on a public route
// without a valid key. Calls about jobs need one, so that nobody could read its results.
func TestJobThatNobodyCouldReadIsRefused(t *testing.T) {
	f := newJobFleet(t, func(f *fleet) { setJobsPublic(f, true) })
	f.release()
	for id, k := range map[string]string{"no-key": "", "wrong-key": "key-x"} {
		got := f.daemons[0].send(t.Context(), t, request{path: "/jobs/" + id, id: id, key: k, body: jobBody(id, 1, 10)})
		if got.status != http.StatusUnauthorized {
			t.Errorf("%s: submission: status %d, want 401", id, got.status)
		}
	}
	if status := f.daemons[0].submitJob(t, "j", 1, 10); status != http.StatusAccepted {
		t.Fatalf("submission with a key: status %d, want 202", status)
	}
	f.daemons[0].checkCompletes(t, "j", 1, fullOutput)
	if got := f.engine.count(); got != 1 {
		t.Errorf("the engine ran %d items, want only that of the accepted job", got)
	}
}

// TestJobsOutliveChangesOfKeys guards against an accepted job that its caller can no longer reach,
// or that is accepted a second time, because the configuration says something else about keys
// than when the job was submitted.
func TestJobsOutliveChangesOfKeys(t *testing.T) {
	oneTenant := func(f *fleet) { setTenants(f, tenantWith(tenant, key)) }
	noTenants := func(f *fleet) { setTenants(f) }
	for name, c := range map[string]struct {
		before, after func(f *fleet)
		submitKey     string
		laterKey      string
		strangerKey   string // of a caller who must not reach the job, or ""
	}{
		"route turns public": {
			before: func(*fleet) {}, after: func(f *fleet) { setJobsPublic(f, true) }, submitKey: key, laterKey: key,
		},
		"route turns private": {
			before: func(f *fleet) { setJobsPublic(f, true) }, after: func(f *fleet) { setJobsPublic(f, false) }, submitKey: key, laterKey: key,
		},
		"first workspaces": {before: noTenants, after: oneTenant, submitKey: "", laterKey: key},
		"last workspaces, key still sent": {
			before: oneTenant, after: noTenants, submitKey: key, laterKey: key,
		},
		"last workspaces, no key sent": {before: oneTenant, after: noTenants, submitKey: key, laterKey: ""},
		"key moves to another workspace": {
			before:    func(f *fleet) { setTenants(f, tenantWith(tenant, key)) },
			after:     func(f *fleet) { setTenants(f, tenantWith(tenant, otherKey), tenantWith("workspace-b", key)) },
			submitKey: key, laterKey: otherKey, strangerKey: key,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newJobFleet(t, c.before)
			submit := request{path: "/jobs/j", id: "j", key: c.submitKey, body: jobBody("j", 2, 10)}
			if got := f.daemons[0].send(t.Context(), t, submit); got.status != http.StatusAccepted {
				t.Fatalf("submission: status %d, want 202", got.status)
			}
			c.after(f.fleet)
			f.publishAndAwait(t)
			read, readItem, end := jobRequests("j", c.laterKey)
			if got := f.statuses(t, read); got != both(http.StatusOK) {
				t.Errorf("reads of the job: statuses %v, want 200", got)
			}
			if got := f.statuses(t, readItem); got != both(http.StatusOK) {
				t.Errorf("reads of an item: statuses %v, want 200", got)
			}
			submit.key = c.laterKey
			if got := f.statuses(t, submit); got != both(http.StatusAccepted) {
				t.Errorf("repeated submissions: statuses %v, want 202", got)
			}
			if c.strangerKey != "" {
				strangerRead, strangerItem, strangerEnd := jobRequests("j", c.strangerKey)
				for _, r := range []request{strangerRead, strangerItem, strangerEnd} {
					if got := f.statuses(t, r); got != both(http.StatusNotFound) {
						t.Errorf("%s %s of another workspace: statuses %v, want 404", r.method, r.path, got)
					}
				}
			}
			f.release()
			eventually(t, "the job is complete", func() bool {
				return f.daemons[1].send(t.Context(), t, request{method: http.MethodGet, path: "/v1/lots/j?after=2", key: c.laterKey}).body ==
					`{"total":2,"next":2,"results":[]}`
			})
			if got := f.storedJobs(t, "j"); len(got) != 1 {
				t.Errorf("the store holds the job %v, want one job", got)
			}
			if got := f.statuses(t, end); got != both(http.StatusOK) {
				t.Errorf("ends: statuses %v, want 200", got)
			}
		})
	}
}

// TestRoutesBelowThePathsOfTheJobAPI guards against online requests that are answered as calls about
// a job that does not exist, because the route of another host has a path of that API, and against
// calls about a job that reach an engine because its route was removed.
func TestRoutesBelowThePathsOfTheJobAPI(t *testing.T) {
	const shop = "shop.example"
	f := newJobFleet(t, func(f *fleet) {
		more := object{"host": shop, "kind": "retryable"}
		f.config["routes"] = append([]object{
			route("lots", "/v1/lots/", "retryable", more), route("items", "/v1/items/", "retryable", more), route("all", "/", "retryable", object{}),
		}, f.config["routes"].([]object)...)
	})
	f.release()
	if status := f.daemons[0].submitJob(t, "j", 1, 10); status != http.StatusAccepted {
		t.Fatalf("submission: status %d, want 202", status)
	}
	f.daemons[1].checkCompletes(t, "j", 1, fullOutput)
	read, readItem, _ := jobRequests("1000", key)
	read.host, readItem.host = shop, shop
	online := []request{read, readItem, {method: http.MethodDelete, host: shop, path: "/v1/lots/1000", key: key}}
	for _, r := range online {
		if got := f.statuses(t, r); got != both(http.StatusOK) {
			t.Errorf("%s %s of a route: statuses %v, want 200 of an engine", r.method, r.path, got)
		}
	}
	if got, want := f.engine.count(), 1+2*len(online); got != want {
		t.Errorf("the engine ran %d requests, want %d", got, want)
	}
	routes := f.config["routes"].([]object)
	f.config["routes"] = routes[:len(routes)-1] // without that of the job
	f.publish()
	eventually(t, "the batch route is gone", func() bool {
		submit := request{path: "/jobs/k", id: "k", key: key, body: jobBody("k", 1, 1)}
		got := f.statuses(t, submit)
		return got == both(http.StatusOK) // as an online request of the route "/"
	})
	for _, d := range f.daemons {
		d.checkCompletes(t, "j", 1, fullOutput)
	}
}

// storedJobs returns the jobs with the id that the store holds for the workspaces of the tests.
func (f *jobFleet) storedJobs(t *testing.T, id string) []job.Key {
	t.Helper()
	ledger := job.NewLedger(platform.NewStore(strings.TrimPrefix(f.store.URL(), "http://")))
	var keys []job.Key
	for _, workspace := range []string{"", tenant, "workspace-b"} {
		k := job.Key{Workspace: workspace, ID: id}
		if _, err := ledger.Head(t.Context(), k); err == nil {
			keys = append(keys, k)
		} else if result.CodeOf(err) != result.UnknownJob {
			t.Fatal(err)
		}
	}
	return keys
}

// publishAndAwait publishes the configuration with an additional route and waits until both daemons
// know that.
func (f *jobFleet) publishAndAwait(t *testing.T) {
	t.Helper()
	routes := f.config["routes"].([]object)
	f.config["routes"] = append([]object{route("new", "/new/", "batch", object{"public": true})}, routes...)
	f.publish()
	eventually(t, "both daemons know the configuration", func() bool {
		got := f.statuses(t, request{method: http.MethodPut, path: "/new/", key: key})
		return got[0] != http.StatusNotFound && got[1] != http.StatusNotFound
	})
}
