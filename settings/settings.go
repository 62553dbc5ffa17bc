// Package settings reads a router's settings file, which is JSON with comments. The whole file is
// validated before the router starts.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"agateswitch/core/claim"
	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// Settings is the content of a settings file.
type Settings struct {
	Host     Host     `json:"host"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// OperatorToken authenticates operators. At least 16 characters.
	OperatorToken string `json:"operator_token"`
	// ResumeKeys are the keys of resume tokens: the first one signs, all of them verify. One or two
	// keys of at least 32 characters each, the same on every router.
	ResumeKeys []string `json:"resume_keys"`
	// PeerKey authenticates the routers of the fleet to each other. At least 32 characters, the
	// same on every router.
	PeerKey string `json:"peer_key"`
	Log     Log    `json:"log"`
	// Drain is how long a draining router continues to serve after it was removed from the list of
	// entry hosts. Default: 35s, slightly longer than callers cache that list.
	Drain Duration `json:"drain"`
}

// Host identifies the router and its location.
type Host struct {
	ID         fleet.HostID     `json:"id"`
	DataCentre fleet.DataCentre `json:"datacentre"`
	Region     fleet.Region     `json:"region"`
}

// Listen holds the ip:port addresses that the router listens on.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Platform holds the ip:port addresses of the platform's services.
type Platform struct {
	// Store is the key-value service (etcd v3 JSON API).
	Store string `json:"store"`
	// Hosts is the host list (HTTP service discovery).
	Hosts string `json:"hosts"`
	// ClaimWritesPerSecond is the whole fleet's share of the key-value service's writes for
	// non-idempotent calls. Default: 100. Range: 1 to 1000. The same on every router.
	ClaimWritesPerSecond float64 `json:"claim_writes_per_second"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Default: info.
	Level string `json:"level"`
	// Format is text or json. Default: text.
	Format string `json:"format"`
}

// Duration is a duration written with its unit, such as "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time with its unit, such as \"30s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Defaults and ranges.
const (
	DefaultDrain = 35 * time.Second
	MaxDrain     = time.Hour
	// MaxClaimWritesPerSecond is above the total write capacity of the key-value service.
	MaxClaimWritesPerSecond = 1000
	MinTokenLength          = 16
	MinResumeKeyBytes       = 32
	MinPeerKeyBytes         = 32
	MaxResumeKeys           = 2
)

// Problem is one error in a settings file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
	// IsUnknown is true if the field is not known, as one of a later version.
	IsUnknown bool
}

// String returns "file:line: field: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Invalid returns the problems other than unknown fields. While a fleet is updated, routers of different versions may read the same
// settings file.
func Invalid(problems []Problem) []Problem {
	var invalid []Problem
	for _, problem := range problems {
		if !problem.IsUnknown {
			invalid = append(invalid, problem)
		}
	}
	return invalid
}

// Load reads and validates a settings file. It returns either usable settings or all problems found.
func Load(path string) (Settings, []Problem, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, errors.Annotate(err, "reading the settings")
	}
	parsed, problems := Parse(path, content)
	return parsed, problems, nil
}

// Parse parses and validates the content of a settings file. name is the file name in problems.
func Parse(name string, content []byte) (Settings, []Problem) {
	parsed := Settings{
		Log:      Log{Level: "info", Format: "text"},
		Drain:    Duration(DefaultDrain),
		Platform: Platform{ClaimWritesPerSecond: claim.DefaultWritesPerSecond},
	}
	d := decode(name, content, &parsed)
	if d.syntaxInvalid {
		return Settings{}, d.problems
	}
	d.check(parsed)
	return parsed, d.problems
}

func (d *decoder) check(s Settings) {
	d.require(s.Host.ID != "", "host.id", "is missing")
	d.require(s.Host.DataCentre != "", "host.datacentre", "is missing")
	d.address("listen.callers", s.Listen.Callers)
	d.address("listen.operators", s.Listen.Operators)
	d.address("listen.peers", s.Listen.Peers)
	d.distinct(map[string]string{
		"listen.callers": s.Listen.Callers, "listen.operators": s.Listen.Operators, "listen.peers": s.Listen.Peers,
	})
	d.address("platform.store", s.Platform.Store)
	d.address("platform.hosts", s.Platform.Hosts)
	rate := s.Platform.ClaimWritesPerSecond
	d.require(rate >= 1 && rate <= MaxClaimWritesPerSecond, "platform.claim_writes_per_second",
		"must be 1 to %d", MaxClaimWritesPerSecond)
	d.require(len(s.OperatorToken) >= MinTokenLength, "operator_token", "needs at least %d characters", MinTokenLength)
	d.require(len(s.ResumeKeys) >= 1 && len(s.ResumeKeys) <= MaxResumeKeys, "resume_keys", "needs 1 to %d keys", MaxResumeKeys)
	for i, key := range s.ResumeKeys {
		d.require(len(key) >= MinResumeKeyBytes, fmt.Sprintf("resume_keys[%d]", i), "needs at least %d characters", MinResumeKeyBytes)
	}
	d.require(len(s.PeerKey) >= MinPeerKeyBytes, "peer_key", "needs at least %d characters", MinPeerKeyBytes)
	d.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	d.oneOf("log.format", s.Log.Format, "text", "json")
	drain := time.Duration(s.Drain)
	d.require(drain >= 0 && drain <= MaxDrain, "drain", "must be 0s to %s", MaxDrain)
}

// address requires an ip:port.
func (d *decoder) address(field, value string) {
	if value == "" {
		d.require(false, field, "is missing")
		return
	}
	_, err := netip.ParseAddrPort(value)
	d.require(err == nil, field, "%q is not ip:port", value)
}

// distinct requires that no two fields have the same address.
func (d *decoder) distinct(addresses map[string]string) {
	for field, value := range addresses {
		for other, otherValue := range addresses {
			if field > other && value != "" && value == otherValue {
				d.require(false, field, "is the same address as %s", other)
			}
		}
	}
}

// oneOf requires one of the allowed values.
func (d *decoder) oneOf(field, value string, allowed ...string) {
	for _, option := range allowed {
		if value == option {
			return
		}
	}
	d.require(false, field, "%q is not one of %v", value, allowed)
}
