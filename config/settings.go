package config

import (
	"cmp"
	"fmt"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

// Settings holds the settings of one daemon. They are its only source for its own addresses
// and data centre.
type Settings struct {
	// Name is the name of the gateway in the inventory or, for an agent, of its VM.
	Name string `yaml:"name"`
	// DataCentre is the data centre in which the daemon runs.
	DataCentre string `yaml:"data_centre"`
	// ListenAddress is the IP address and port on which the daemon serves callers and
	// operators. Gateways only.
	ListenAddress string `yaml:"listen"`
	// PeerAddress is the IP address and port on which the daemon serves the system's other
	// daemons.
	PeerAddress string `yaml:"peer"`
	// MetricsAddress is the IP address and port on which the daemon serves /metrics and the
	// health checks.
	MetricsAddress string `yaml:"metrics"`
	// SeedAddresses lists peer addresses of gateways. The daemon asks them for the
	// configuration if the store is unavailable when it starts. Gateways only.
	SeedAddresses []string `yaml:"seeds"`
	// Platform locates the services of the platform.
	Platform PlatformSettings `yaml:"platform"`
	// AdminKeyDigest is the SHA-256 digest of the operators' key as 64 hex digits.
	// Gateways only.
	AdminKeyDigest string `yaml:"admin_key_digest"`
	// BatchLease is how long the lease on a chunk of a batch job lasts after its worker
	// was lost. The default is 30s. Agents only.
	BatchLease time.Duration `yaml:"batch_lease"`
	// DrainTimeout bounds the time of a planned shutdown. The default is 2m30s.
	DrainTimeout time.Duration `yaml:"drain"`
	// ReadTimeout bounds the time to read the header of a request. The default is
	// 10s.
	ReadTimeout time.Duration `yaml:"read_timeout"`
	// BodyTimeout bounds the time to read the body of a request. The default is 1m.
	BodyTimeout time.Duration `yaml:"body_timeout"`
	// MemoryBytes is the memory of the process. What it holds for callers and for other
	// processes is bounded by it. The default is 2 GiB.
	MemoryBytes int64 `yaml:"memory"`
	// MaxDescriptors is the number of files that the process may open. The default is the
	// limit of the operating system.
	MaxDescriptors int `yaml:"max_descriptors"`
	// UnreadTimeout is how long a caller may take to receive anything of what was written to
	// it. The default is 10s.
	UnreadTimeout time.Duration `yaml:"unread_timeout"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `yaml:"log_level"`
}

// PlatformSettings locates the platform's services.
type PlatformSettings struct {
	// TableURL is the base URL of the table service.
	TableURL string `yaml:"table"`
	// ObjectsURL is the base URL of the object store.
	ObjectsURL string `yaml:"objects"`
	// VMsURL is the base URL of the list of VMs.
	VMsURL string `yaml:"vms"`
	// Timeout bounds each call to a service of the platform. The default is 2s.
	Timeout time.Duration `yaml:"timeout"`
}

// Default values of Settings.
const (
	defaultBatchLease      = 30 * time.Second
	defaultDrainTimeout    = 150 * time.Second
	defaultReadTimeout     = 10 * time.Second
	defaultBodyTimeout     = time.Minute
	defaultMemoryBytes     = 2 << 30
	defaultUnreadTimeout   = 10 * time.Second
	defaultPlatformTimeout = 2 * time.Second
	defaultLogLevel        = "info"
)

// minMemoryBytes is the least memory in which a gateway or an agent runs; without callers it
// takes about 22 MB.
const minMemoryBytes = 48 << 20

// Role is the kind of daemon that settings are for.
type Role string

const (
	// RoleGateway is baobab-gateway.
	RoleGateway Role = "gateway"
	// RoleAgent is baobab-agent.
	RoleAgent Role = "agent"
)

// ReadSettings reads the settings file of a daemon of the role, sets the defaults and checks
// it. If the file can be read but is invalid, the error joins one Problem for each error that
// was found.
func ReadSettings(path string, role Role) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseSettings(path, data, role)
}

// ParseSettings parses the YAML text of the settings of a daemon of the role, sets the
// defaults and checks them. Unknown fields are errors. The error joins one Problem for each
// error that was found. The file is only named in the problems.
func ParseSettings(file string, data []byte, role Role) (Settings, error) {
	var s Settings
	doc, err := decode(file, data, &s)
	if err != nil {
		return s, err
	}
	s.setDefaults()
	c := &checker{file: file, doc: doc}
	c.settings(&s, role)
	return s, c.err()
}

// setDefaults sets each optional field that is zero to its default.
func (s *Settings) setDefaults() {
	s.BatchLease = cmp.Or(s.BatchLease, defaultBatchLease)
	s.DrainTimeout = cmp.Or(s.DrainTimeout, defaultDrainTimeout)
	s.ReadTimeout = cmp.Or(s.ReadTimeout, defaultReadTimeout)
	s.BodyTimeout = cmp.Or(s.BodyTimeout, defaultBodyTimeout)
	s.MemoryBytes = cmp.Or(s.MemoryBytes, defaultMemoryBytes)
	s.UnreadTimeout = cmp.Or(s.UnreadTimeout, defaultUnreadTimeout)
	s.Platform.Timeout = cmp.Or(s.Platform.Timeout, defaultPlatformTimeout)
	s.LogLevel = cmp.Or(s.LogLevel, defaultLogLevel)
}

// FormatSettings returns the YAML text of the settings.
func FormatSettings(s *Settings) ([]byte, error) { return yaml.Marshal(s) }

// settings checks the settings of a daemon of the role, after their defaults are set.
func (c *checker) settings(s *Settings, role Role) {
	if s.Name == "" {
		c.fail("name is required", "name")
	}
	if s.DataCentre == "" {
		c.fail("data_centre is required", "data_centre")
	}
	c.address(s.PeerAddress, "peer")
	c.address(s.MetricsAddress, "metrics")
	c.url(s.Platform.TableURL, "platform", "table")
	c.url(s.Platform.ObjectsURL, "platform", "objects")
	c.url(s.Platform.VMsURL, "platform", "vms")
	for i, seed := range s.SeedAddresses {
		c.address(seed, "seeds", i)
	}
	if role == RoleGateway {
		c.address(s.ListenAddress, "listen")
		if len(s.AdminKeyDigest) != 64 {
			c.fail("admin_key_digest must be 64 hex digits", "admin_key_digest")
		}
	}
	for _, f := range []struct {
		name  string
		value time.Duration
	}{
		{"batch_lease", s.BatchLease},
		{"drain", s.DrainTimeout},
		{"read_timeout", s.ReadTimeout},
		{"body_timeout", s.BodyTimeout},
		{"unread_timeout", s.UnreadTimeout},
	} {
		if f.value < 0 {
			c.failf([]any{f.name}, "%s must not be negative", f.name)
		}
	}
	if s.MemoryBytes < minMemoryBytes {
		c.failf([]any{"memory"}, "memory must be at least %d bytes", minMemoryBytes)
	}
	if s.MaxDescriptors < 0 {
		c.fail("max_descriptors must not be negative", "max_descriptors")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.failf([]any{"log_level"}, "log_level %q must be debug, info, warn or error", s.LogLevel)
	}
}
