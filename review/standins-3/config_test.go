//go:build review

package cases

import "fmt"

// Object is a JSON object.
type Object = map[string]any

// The host of all routes and the key of the first tenant.
const (
	HostName = "nony24.example"
	Key      = "i9n73hh2b9wu3fexd9dn"
)

// MemoryTokens is the number of tokens that an engine holds.
const MemoryTokens = 72000

// NewService returns a service of the configuration.
func NewService(name string) Object {
	return Object{
		"name": name, "healthPath": "/health", "maxConnections": 170, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 28.0,
		"engine": Object{"slots": 8, "kvCapacityTokens": MemoryTokens},
	}
}

// NewBatchRoute returns a route for batch jobs that are due dueMs after their submission.
func NewBatchRoute(name, prefix, service string, dueMs int) Object {
	return Object{
		"name": name, "host": HostName, "pathPrefix": prefix, "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "priority": 2,
		"service": service, "maxAttempts": 3, "public": false, "completionTargetMs": dueMs, "maxWaitS": 3600, "maxCount": 980000,
	}
}

// NewStreamRoute returns a route for streams that may not be resumed.
func NewStreamRoute(name, prefix, service string) Object {
	return Object{
		"name": name, "host": HostName, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0,
		"service": service, "maxAttempts": 1, "public": false, "stickySessions": true, "resumable": false, "gapAimMs": 200,
	}
}

// TenantKey returns the key of the tenant with the number. Tenant 0 has Key.
func TenantKey(n int) string {
	if n == 0 {
		return Key
	}
	return fmt.Sprintf("key-of-tenant-%06d", n)
}

// PutConfig writes a configuration with one tenant, as the operator does.
func (s *Store) PutConfig(version int, services, routes []Object) {
	s.PutConfigOf(1, version, services, routes)
}

// PutConfigOf writes a configuration with a number of tenants.
func (s *Store) PutConfigOf(tenants, version int, services, routes []Object) {
	all := make([]Object, tenants)
	for i := range all {
		all[i] = Object{"name": fmt.Sprintf("tenant%d", i), "apiKeys": []string{TenantKey(i)}, "priority": 1, "ratePerS": 55, "burst": 55}
	}
	s.Put("op", "config", Object{
		"version": version, "services": services, "routes": routes,
		"limits":  Object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": all,
	})
}
