package config

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/baobablanding/baobablanding/fleet"
	"github.com/baobablanding/baobablanding/result"
)

const maxWeight = 1000

// checker collects the problems of one document.
type checker struct {
	file     string
	doc      *yaml.Node
	problems []error
}

func (c *checker) err() error { return errors.Join(c.problems...) }

// fail records a problem at the field whose path is given as keys and indexes.
func (c *checker) fail(text string, path ...any) {
	c.problems = append(c.problems, Problem{
		File:  c.file,
		Line:  lineOf(c.doc, path),
		Field: fieldName(path),
		Text:  text,
		Code:  result.ConfigInvalid,
	})
}

func (c *checker) failf(path []any, format string, args ...any) {
	c.fail(fmt.Sprintf(format, args...), path...)
}

func fieldName(path []any) string {
	var b strings.Builder
	for _, p := range path {
		switch p := p.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", p)
		default:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			fmt.Fprint(&b, p)
		}
	}
	return b.String()
}

// lineOf returns the line of the deepest node on path that exists.
func lineOf(doc *yaml.Node, path []any) int {
	if doc == nil || len(doc.Content) == 0 {
		return 0
	}
	n := doc.Content[0]
	line := n.Line
	for _, p := range path {
		n = child(n, p)
		if n == nil {
			break
		}
		line = n.Line
	}
	return line
}

func child(n *yaml.Node, key any) *yaml.Node {
	if index, ok := key.(int); ok {
		if index < len(n.Content) {
			return n.Content[index]
		}
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}

// names checks that the names of a list are present and unique, and returns
// them as a set.
func (c *checker) names(list string, count int, name func(int) string) map[string]bool {
	seen := make(map[string]bool, count)
	for i := range count {
		n := name(i)
		switch {
		case n == "":
			c.fail("a name is required", list, i, "name")
		case strings.ContainsAny(n, " \t\r\n/\x00"):
			c.failf([]any{list, i, "name"}, "name %q contains a space or slash", n)
		case seen[n]:
			c.failf([]any{list, i, "name"}, "name %q is used twice", n)
		}
		seen[n] = true
	}
	return seen
}

func (c *checker) refers(known map[string]bool, what, name string, path ...any) {
	if !known[name] {
		c.failf(path, "%s %q does not exist", what, name)
	}
}

func (c *checker) inventory(inv *fleet.Inventory) {
	dcs := c.names("data_centres", len(inv.DataCentres), func(i int) string { return inv.DataCentres[i].Name })
	c.names("gateways", len(inv.Gateways), func(i int) string { return inv.Gateways[i].Name })
	vms := c.names("vms", len(inv.VMs), func(i int) string { return inv.VMs[i].Name })
	ups := c.names("upstreams", len(inv.Upstreams), func(i int) string { return inv.Upstreams[i].Name })
	models := c.names("models", len(inv.Models), func(i int) string { return inv.Models[i].Name })
	spaces := c.names("workspaces", len(inv.Workspaces), func(i int) string { return inv.Workspaces[i].Name })
	routes := c.names("routes", len(inv.Routes), func(i int) string { return inv.Routes[i].Name })
	c.names("migrations", len(inv.Migrations), func(i int) string { return inv.Migrations[i].Name })
	c.names("objectives", len(inv.Objectives), func(i int) string { return inv.Objectives[i].Name })

	for i, dc := range inv.DataCentres {
		if dc.Region == "" {
			c.fail("a region is required", "data_centres", i, "region")
		}
	}
	c.gateways(inv, dcs)
	for i, vm := range inv.VMs {
		c.refers(dcs, "data centre", vm.DataCentre, "vms", i, "data_centre")
		c.address(vm.AgentAddress, "vms", i, "agent")
	}
	for i := range inv.Upstreams {
		c.upstream(&inv.Upstreams[i], i, vms, models)
	}
	for i := range inv.Workspaces {
		c.workspace(&inv.Workspaces[i], i, models)
	}
	for i := range inv.Routes {
		c.route(inv, i, ups)
	}
	for i := range inv.Migrations {
		c.migration(inv, i, spaces, models)
	}
	for i := range inv.Objectives {
		c.objective(&inv.Objectives[i], i, spaces, models, routes)
	}
	c.rules(&inv.Rules)
}

func (c *checker) gateways(inv *fleet.Inventory, dcs map[string]bool) {
	if len(inv.Gateways) == 0 {
		c.fail("at least one gateway is required", "gateways")
	}
	for i, g := range inv.Gateways {
		c.refers(dcs, "data centre", g.DataCentre, "gateways", i, "data_centre")
		c.address(g.PeerAddress, "gateways", i, "peer")
		c.address(g.HTTPAddress, "gateways", i, "http")
	}
}

// address checks an IP address with a port.
func (c *checker) address(addr string, path ...any) {
	if err := checkAddress(addr); err != nil {
		c.fail(err.Error(), path...)
	}
}

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("address %q must be an IP address and a port", addr)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Errorf("address %q must start with an IP address", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address %q must end with a port from 1 to 65535", addr)
	}
	return nil
}

func (c *checker) url(text string, path ...any) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.failf(path, "%q must be an http or https address", text)
	}
}

func (c *checker) upstream(u *fleet.Upstream, i int, vms, models map[string]bool) {
	c.refers(vms, "VM", u.VM, "upstreams", i, "vm")
	c.url(u.URL, "upstreams", i, "url")
	switch u.Kind {
	case fleet.KindEngine:
		if len(u.Models) == 0 {
			c.fail("an engine needs at least one model", "upstreams", i, "models")
		}
	case fleet.KindService, fleet.KindLegacy:
	default:
		c.failf([]any{"upstreams", i, "kind"}, "kind %q must be engine, service or legacy", u.Kind)
	}
	for j, m := range u.Models {
		c.refers(models, "model", m, "upstreams", i, "models", j)
	}
	if u.Slots < 1 {
		c.fail("slots must be at least 1", "upstreams", i, "slots")
	}
	if u.ColdSlots < 1 || u.ColdSlots > u.Slots {
		c.failf([]any{"upstreams", i, "cold_slots"}, "cold_slots must be from 1 to slots (%d)", u.Slots)
	}
}

func (c *checker) workspace(w *fleet.Workspace, i int, models map[string]bool) {
	if !(w.Rate > 0) || w.Rate > 1e6 {
		c.fail("rate must be above 0 and at most 1000000 requests per second", "workspaces", i, "rate")
	}
	if w.Burst < 1 || w.Burst > 1e6 {
		c.fail("burst must be from 1 to 1000000 requests", "workspaces", i, "burst")
	}
	if w.Weight < 1 || w.Weight > maxWeight {
		c.failf([]any{"workspaces", i, "weight"}, "weight must be from 1 to %d", maxWeight)
	}
	for j, m := range w.Models {
		c.refers(models, "model", m, "workspaces", i, "models", j)
	}
}

var reservedPrefixes = []string{"/v1", "/admin", "/healthz", "/readyz", "/metrics"}

func (c *checker) route(inv *fleet.Inventory, i int, ups map[string]bool) {
	r := &inv.Routes[i]
	if !strings.HasPrefix(r.Prefix, "/") || r.Prefix == "/" {
		c.fail("prefix must start with a slash and name a path", "routes", i, "prefix")
	}
	for _, reserved := range reservedPrefixes {
		if r.Prefix == reserved || strings.HasPrefix(r.Prefix, reserved+"/") {
			c.failf([]any{"routes", i, "prefix"}, "prefix %q is reserved", reserved)
		}
	}
	if len(r.Upstreams) == 0 && r.Legacy == "" {
		c.fail("a route needs an upstream", "routes", i, "upstreams")
	}
	for j, name := range r.Upstreams {
		c.refers(ups, "upstream", name, "routes", i, "upstreams", j)
		if k := kindOf(inv, name); ups[name] && k != fleet.KindService {
			c.failf([]any{"routes", i, "upstreams", j}, "upstream %q is of kind %s, not service", name, k)
		}
	}
	if r.Legacy != "" {
		c.legacy(inv, r.Legacy, "routes", i, "legacy")
	}
}

func kindOf(inv *fleet.Inventory, name string) fleet.UpstreamKind {
	i := slices.IndexFunc(inv.Upstreams, func(u fleet.Upstream) bool { return u.Name == name })
	if i < 0 {
		return ""
	}
	return inv.Upstreams[i].Kind
}

func (c *checker) legacy(inv *fleet.Inventory, name string, path ...any) {
	if kindOf(inv, name) != fleet.KindLegacy {
		c.failf(path, "upstream %q of kind legacy does not exist", name)
	}
}

func (c *checker) migration(inv *fleet.Inventory, i int, spaces, models map[string]bool) {
	m := &inv.Migrations[i]
	c.legacy(inv, m.Legacy, "migrations", i, "legacy")
	for j, w := range m.Workspaces {
		c.refers(spaces, "workspace", w, "migrations", i, "workspaces", j)
	}
	for j, name := range m.Models {
		c.refers(models, "model", name, "migrations", i, "models", j)
	}
	if m.Percent < 0 || m.Percent > 100 {
		c.fail("percent must be from 0 to 100", "migrations", i, "percent")
	}
}

// Kinds of objectives.
var objectiveKinds = []string{"first_token", "between_tokens", "success"}

func (c *checker) objective(o *fleet.Objective, i int, spaces, models, routes map[string]bool) {
	if !slices.Contains(objectiveKinds, o.Kind) {
		c.failf([]any{"objectives", i, "kind"}, "kind %q must be one of %s", o.Kind, strings.Join(objectiveKinds, ", "))
	}
	if o.Workspace != "" {
		c.refers(spaces, "workspace", o.Workspace, "objectives", i, "workspace")
	}
	if o.Route != "" && !models[o.Route] && !routes[o.Route] {
		c.failf([]any{"objectives", i, "route"}, "model or route %q does not exist", o.Route)
	}
	if o.Kind != "success" && o.Threshold <= 0 {
		c.fail("threshold must be above 0", "objectives", i, "threshold")
	}
	if !(o.Target > 0 && o.Target < 1) {
		c.fail("target must be between 0 and 1", "objectives", i, "target")
	}
}

func (c *checker) rules(r *fleet.Rules) {
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"online_queue", int64(r.MaxOnlineQueue)},
		{"max_body", r.MaxBodyBytes},
		{"retry_percent", int64(r.RetryPercent)},
		{"attempts", int64(r.MaxAttempts)},
		{"batch_attempts", int64(r.MaxBatchAttempts)},
		{"chunk_items", int64(r.ChunkItems)},
		{"max_items", int64(r.MaxItems)},
		{"max_file", r.MaxFileBytes},
		{"weight_loads", int64(r.MaxWeightLoads)},
		{"online_wait", int64(r.MaxOnlineWait)},
		{"request_timeout", int64(r.RequestTimeout)},
	} {
		if f.value < 1 {
			c.failf([]any{"rules", f.name}, "%s must be above 0", f.name)
		}
	}
	if r.MaxIsolation < time.Second {
		c.fail("isolation must be at least 1s", "rules", "isolation")
	}
}
