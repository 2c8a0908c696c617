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

// maxWeight is the largest weight of a workspace.
const maxWeight = 1000

// checker checks one YAML document and collects the problems that it finds.
type checker struct {
	file     string
	doc      *yaml.Node
	problems []error
}

// err returns an error that joins all problems, or nil if there is none.
func (c *checker) err() error { return errors.Join(c.problems...) }

// fail records a problem of the field at path, which consists of keys and indexes.
func (c *checker) fail(text string, path ...any) {
	c.problems = append(c.problems, Problem{
		File:  c.file,
		Line:  lineOf(c.doc, path),
		Field: fieldName(path),
		Text:  text,
		Code:  result.ConfigInvalid,
	})
}

// failf is fail with a formatted text.
func (c *checker) failf(path []any, format string, args ...any) {
	c.fail(fmt.Sprintf(format, args...), path...)
}

// fieldName returns the path as text, for example workspaces[2].rate.
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

// lineOf returns the line of the node at path or, if the document does not have that node,
// of the deepest node on the path that it has. It returns 0 for an empty document.
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

// child returns the value of a key of a mapping, or the element at an index of a sequence.
// It returns nil if there is none.
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

// uniqueNames checks that the names of the count entries of a list are present, valid and
// unique, and returns them as a set.
func (c *checker) uniqueNames(list string, count int, name func(int) string) map[string]bool {
	seen := make(map[string]bool, count)
	for i := range count {
		n := name(i)
		switch {
		case n == "":
			c.fail("name is required", list, i, "name")
		case strings.ContainsAny(n, " \t\r\n/\x00"):
			c.failf([]any{list, i, "name"}, "name %q must not contain whitespace, a slash or a NUL byte", n)
		case seen[n]:
			c.failf([]any{list, i, "name"}, "duplicate name %q", n)
		}
		seen[n] = true
	}
	return seen
}

// requireKnown checks that the name is among the known ones. The noun says what it names.
func (c *checker) requireKnown(known map[string]bool, noun, name string, path ...any) {
	if !known[name] {
		c.failf(path, "%s %q does not exist", noun, name)
	}
}

// inventory checks a whole inventory, after its defaults are set.
func (c *checker) inventory(inv *fleet.Inventory) {
	dataCentres := c.uniqueNames("data_centres", len(inv.DataCentres), func(i int) string { return inv.DataCentres[i].Name })
	c.uniqueNames("gateways", len(inv.Gateways), func(i int) string { return inv.Gateways[i].Name })
	vms := c.uniqueNames("vms", len(inv.VMs), func(i int) string { return inv.VMs[i].Name })
	upstreams := c.uniqueNames("upstreams", len(inv.Upstreams), func(i int) string { return inv.Upstreams[i].Name })
	models := c.uniqueNames("models", len(inv.Models), func(i int) string { return inv.Models[i].Name })
	workspaces := c.uniqueNames("workspaces", len(inv.Workspaces), func(i int) string { return inv.Workspaces[i].Name })
	routes := c.uniqueNames("routes", len(inv.Routes), func(i int) string { return inv.Routes[i].Name })
	c.uniqueNames("migrations", len(inv.Migrations), func(i int) string { return inv.Migrations[i].Name })
	c.uniqueNames("objectives", len(inv.Objectives), func(i int) string { return inv.Objectives[i].Name })

	for i, dc := range inv.DataCentres {
		if dc.Region == "" {
			c.fail("region is required", "data_centres", i, "region")
		}
	}
	c.gateways(inv, dataCentres)
	for i, vm := range inv.VMs {
		c.requireKnown(dataCentres, "data centre", vm.DataCentre, "vms", i, "data_centre")
		c.address(vm.AgentAddress, "vms", i, "agent")
	}
	for i := range inv.Upstreams {
		c.upstream(&inv.Upstreams[i], i, vms, models)
	}
	for i := range inv.Workspaces {
		c.workspace(&inv.Workspaces[i], i, models)
	}
	for i := range inv.Routes {
		c.route(inv, i, upstreams)
	}
	for i := range inv.Migrations {
		c.migration(inv, i, workspaces, models)
	}
	for i := range inv.Objectives {
		c.objective(&inv.Objectives[i], i, workspaces, models, routes)
	}
	c.rules(&inv.Rules)
}

func (c *checker) gateways(inv *fleet.Inventory, dataCentres map[string]bool) {
	if len(inv.Gateways) == 0 {
		c.fail("at least one gateway is required", "gateways")
	}
	for i, g := range inv.Gateways {
		c.requireKnown(dataCentres, "data centre", g.DataCentre, "gateways", i, "data_centre")
		c.address(g.PeerAddress, "gateways", i, "peer")
		c.address(g.HTTPAddress, "gateways", i, "http")
	}
}

// address checks that addr is an IP address with a port.
func (c *checker) address(addr string, path ...any) {
	if err := checkAddress(addr); err != nil {
		c.fail(err.Error(), path...)
	}
}

// checkAddress returns an error unless addr is an IP address with a port other than 0.
func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("address %q must have the form IP:PORT", addr)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return fmt.Errorf("address %q must start with an IP address", addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address %q must end with a port from 1 to 65535", addr)
	}
	return nil
}

// url checks that the text is an absolute http or https URL.
func (c *checker) url(text string, path ...any) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.failf(path, "%q must be an http or https URL with a host", text)
	}
}

func (c *checker) upstream(u *fleet.Upstream, i int, vms, models map[string]bool) {
	c.requireKnown(vms, "VM", u.VM, "upstreams", i, "vm")
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
		c.requireKnown(models, "model", m, "upstreams", i, "models", j)
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
		c.fail("rate must be greater than 0 and at most 1000000 requests per second", "workspaces", i, "rate")
	}
	if w.Burst < 1 || w.Burst > 1e6 {
		c.fail("burst must be from 1 to 1000000 requests", "workspaces", i, "burst")
	}
	if w.Weight < 1 || w.Weight > maxWeight {
		c.failf([]any{"workspaces", i, "weight"}, "weight must be from 1 to %d", maxWeight)
	}
	for j, m := range w.Models {
		c.requireKnown(models, "model", m, "workspaces", i, "models", j)
	}
}

// reservedPrefixes lists the path prefixes that the daemons use for their own APIs.
var reservedPrefixes = []string{"/v1", "/admin", "/healthz", "/readyz", "/metrics"}

func (c *checker) route(inv *fleet.Inventory, i int, upstreams map[string]bool) {
	r := &inv.Routes[i]
	if !strings.HasPrefix(r.Prefix, "/") || r.Prefix == "/" {
		c.fail("prefix must start with a slash and must not be / itself", "routes", i, "prefix")
	}
	for _, reserved := range reservedPrefixes {
		if r.Prefix == reserved || strings.HasPrefix(r.Prefix, reserved+"/") {
			c.failf([]any{"routes", i, "prefix"}, "prefix %q and the paths below it are reserved", reserved)
		}
	}
	if len(r.Upstreams) == 0 && r.Legacy == "" {
		c.fail("a route needs an upstream or a legacy upstream", "routes", i, "upstreams")
	}
	for j, name := range r.Upstreams {
		c.requireKnown(upstreams, "upstream", name, "routes", i, "upstreams", j)
		if k := kindOf(inv, name); upstreams[name] && k != fleet.KindService {
			c.failf([]any{"routes", i, "upstreams", j}, "upstream %q is of kind %s, not service", name, k)
		}
	}
	if r.Legacy != "" {
		c.requireLegacy(inv, r.Legacy, "routes", i, "legacy")
	}
}

// kindOf returns the kind of the named upstream, or an empty kind if there is none.
func kindOf(inv *fleet.Inventory, name string) fleet.UpstreamKind {
	i := slices.IndexFunc(inv.Upstreams, func(u fleet.Upstream) bool { return u.Name == name })
	if i < 0 {
		return ""
	}
	return inv.Upstreams[i].Kind
}

// requireLegacy checks that the name is that of an upstream of kind legacy.
func (c *checker) requireLegacy(inv *fleet.Inventory, name string, path ...any) {
	if kindOf(inv, name) != fleet.KindLegacy {
		c.failf(path, "upstream %q of kind legacy does not exist", name)
	}
}

func (c *checker) migration(inv *fleet.Inventory, i int, workspaces, models map[string]bool) {
	m := &inv.Migrations[i]
	c.requireLegacy(inv, m.Legacy, "migrations", i, "legacy")
	for j, w := range m.Workspaces {
		c.requireKnown(workspaces, "workspace", w, "migrations", i, "workspaces", j)
	}
	for j, name := range m.Models {
		c.requireKnown(models, "model", name, "migrations", i, "models", j)
	}
	if m.Percent < 0 || m.Percent > 100 {
		c.fail("percent must be from 0 to 100", "migrations", i, "percent")
	}
}

// objectiveKinds lists the valid kinds of objectives.
var objectiveKinds = []string{"first_token", "between_tokens", "success"}

func (c *checker) objective(o *fleet.Objective, i int, workspaces, models, routes map[string]bool) {
	if !slices.Contains(objectiveKinds, o.Kind) {
		c.failf([]any{"objectives", i, "kind"}, "kind %q must be one of %s", o.Kind, strings.Join(objectiveKinds, ", "))
	}
	if o.Workspace != "" {
		c.requireKnown(workspaces, "workspace", o.Workspace, "objectives", i, "workspace")
	}
	if o.Route != "" && !models[o.Route] && !routes[o.Route] {
		c.failf([]any{"objectives", i, "route"}, "model or route %q does not exist", o.Route)
	}
	if o.Kind != "success" && o.Threshold <= 0 {
		c.fail("threshold must be greater than 0", "objectives", i, "threshold")
	}
	if !(o.Target > 0 && o.Target < 1) {
		c.fail("target must be greater than 0 and less than 1", "objectives", i, "target")
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
			c.failf([]any{"rules", f.name}, "%s must be greater than 0", f.name)
		}
	}
	if r.MaxIsolation < time.Second {
		c.fail("isolation must be at least 1s", "rules", "isolation")
	}
}
