// Package capacity works out what the fleet costs at its target size: a slope, measured on
// the product's own code by this package's tests and others', times a size.
package capacity

// Target is the size that the fleet has to carry.
type Target struct {
	Routers, Engines, Teams, Models int
	// Shards of all pools together, with eight engines each on average.
	Shards int
	// RequestsPerSecond and TokensPerSecond are at the peak.
	RequestsPerSecond, TokensPerSecond float64
	// Chats may return.
	Chats int
	// ConfigurationChanges, FailedHosts and ReplacedHosts are for one day.
	ConfigurationChanges, FailedHosts, ReplacedHosts int
}

// Limits bound what the control of the fleet may spend.
type Limits struct {
	// Core is the part of one core of a router.
	Core float64
	// Memory of a router, in bytes.
	Memory float64
	// Traffic of a router, in bytes a second.
	Traffic float64
	// StoreWrites and StoreReads of the whole fleet, a second.
	StoreWrites, StoreReads float64
}

// SecondsPerDay converts figures of a day.
const SecondsPerDay = 86_400

// Stated is the target of CONTRIBUTING.md.
func Stated() Target {
	return Target{
		Routers: 380, Engines: 600, Teams: 1100, Models: 15, Shards: 75,
		RequestsPerSecond: 2600, TokensPerSecond: 1_200_000, Chats: 2_700_000,
		ConfigurationChanges: 1700, FailedHosts: 10, ReplacedHosts: 200,
	}
}

// StatedLimits are the limits of CONTRIBUTING.md. "Several hundred" writes a second of the
// key-value service is taken as 300.
func StatedLimits() Limits {
	return Limits{Core: 0.021, Memory: 64 << 20, Traffic: 28_000, StoreWrites: 300, StoreReads: 2000}
}
