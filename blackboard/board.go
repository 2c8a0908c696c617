package blackboard

// Board is the state that the controllers of one gateway or agent share. A
// section is written by one component, which its comment names, and may be read
// by any goroutine.
type Board struct {
	// Config is the configuration in force on this process. controller/configsync
	// writes it.
	Config Section[*Config]
	// NewestKnownVersion is the highest configuration version that is known to exist,
	// whether or not this process has it. controller/membership writes it on gateways,
	// and package gateway after a change of its own; package daemon writes it on agents.
	NewestKnownVersion Section[uint64]
	// Accepted is the last configuration that the store accepted from this
	// process, or nil before the first one. Package gateway writes it.
	Accepted Section[*Config]
	// StoreContact holds the time of the last read of the store.
	// controller/configsync writes it.
	StoreContact Section[StoreContact]
	// Freshness holds the time until which the configuration may be used without
	// new evidence that it is current. controller/freshness writes it.
	Freshness Section[Freshness]
	// ConfigCurrent reports whether the configuration may be used now. Unlike
	// Freshness, it is published only when its value changes, so that a reader can
	// wait for the change. controller/freshness writes it.
	ConfigCurrent Section[bool]
	// Phase is the life-cycle phase of the process. Package daemon writes it.
	Phase Section[Phase]
	// Upstreams holds the upstreams and what the process knows of each.
	// controller/upstreams writes it on gateways, controller/engines on agents.
	Upstreams Section[*Upstreams]
	// VMs is the last read of the platform's VM list. controller/vmlist writes it.
	VMs Section[VMs]
	// Members holds what a gateway knows of the other gateways.
	// controller/membership writes it.
	Members Section[*Members]
	// Limits holds the rate limiter of each workspace. controller/limits writes it.
	Limits Section[*Limits]
	// Objectives holds the service-level objectives and their event counters.
	// controller/objectives writes it.
	Objectives Section[*Objectives]
}

// ObserveVersion records that the given version of the configuration exists. It may be
// called from several goroutines.
func (b *Board) ObserveVersion(version uint64) {
	if version > b.NewestKnownVersion.Value() {
		b.NewestKnownVersion.Update(func(old uint64) uint64 { return max(old, version) })
	}
}

// PublishAccepted publishes a configuration that the store accepted from this process,
// unless a newer one is already published. It may be called from several goroutines.
func (b *Board) PublishAccepted(config *Config) {
	b.Accepted.Update(func(old *Config) *Config {
		if old != nil && old.Head.Version > config.Head.Version {
			return old
		}
		return config
	})
}

// New returns a board whose pointer sections hold empty values instead of nil,
// except for Accepted.
func New() *Board {
	b := new(Board)
	b.Config.Publish(new(Config))
	b.Upstreams.Publish(NewUpstreams(nil))
	b.Members.Publish(new(Members))
	b.Limits.Publish(new(Limits))
	b.Objectives.Publish(new(Objectives))
	return b
}
