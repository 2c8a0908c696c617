package blackboard

// Board is the shared state of one process. Each section has one writing
// controller, which docs/DESIGN.md names.
type Board struct {
	// Config is the accepted configuration that is in force here.
	Config Section[*Config]
	// Noticed is the highest version of the configuration that another process
	// was noticed to have.
	Noticed Section[uint64]
	// Accepted is the last configuration that this process had accepted. It is
	// nil before the first one.
	Accepted Section[*Config]
	// Contact is when the store was last read.
	Contact Section[Contact]
	// Freshness is how long the configuration may be used without new evidence
	// that it is current.
	Freshness Section[Freshness]
	// Current tells whether the configuration may be used. Unlike Freshness, it
	// is published only when that changes, for those who wait for it.
	Current Section[bool]
	// Phase is the life cycle of the process.
	Phase Section[Phase]
	// Upstreams is the set of upstreams and what is known of each.
	Upstreams Section[*Upstreams]
	// VMs is the platform's VM list.
	VMs Section[VMs]
	// Members is what a gateway knows of the other gateways.
	Members Section[*Members]
	// Limits holds a rate limiter for each workspace.
	Limits Section[*Limits]
	// Objectives holds the service-level objectives with their counters.
	Objectives Section[*Objectives]
}

// Notice takes in that another process has a version of the configuration.
func (b *Board) Notice(version uint64) {
	if version > b.Noticed.Value() {
		b.Noticed.Update(func(old uint64) uint64 { return max(old, version) })
	}
}

// Accept takes in a configuration that this process had accepted, unless a newer
// one was accepted here meanwhile.
func (b *Board) Accept(config *Config) {
	b.Accepted.Update(func(old *Config) *Config {
		if old != nil && old.Head.Version > config.Head.Version {
			return old
		}
		return config
	})
}

// New returns a board with empty sections.
func New() *Board {
	b := new(Board)
	b.Config.Publish(new(Config))
	b.Upstreams.Publish(NewUpstreams(nil))
	b.Members.Publish(new(Members))
	b.Limits.Publish(new(Limits))
	b.Objectives.Publish(new(Objectives))
	return b
}
