// Package capacity estimates the resources that the fleet's control needs at the target size. Each
// estimate is a size times a slope, which tests of this and other packages measure on production code.
package capacity

// Target is the fleet size and load that the system must support.
type Target struct {
	Routers, Engines, Teams, Models int
	// Shards is the total of all pools, with eight engines in a shard on average.
	Shards int
	// RequestsPerSecond and TokensPerSecond are peak rates.
	RequestsPerSecond, TokensPerSecond float64
	// Chats is the number of chats that may send a further request.
	Chats int
	// ConfigurationChanges, FailedHosts and ReplacedHosts are counts per day.
	ConfigurationChanges, FailedHosts, ReplacedHosts int
}

// Limits bound the resources that control of the fleet may use.
type Limits struct {
	// Cores is the CPU share of a router, in cores.
	Cores float64
	// MemoryBytes is the memory of a router.
	MemoryBytes float64
	// TrafficBytesPerSecond is the control traffic of a router.
	TrafficBytesPerSecond float64
	// StoreWritesPerSecond and StoreReadsPerSecond are totals of the fleet.
	StoreWritesPerSecond, StoreReadsPerSecond float64
}

// SecondsPerDay converts counts per day to rates.
const SecondsPerDay = 86_400

// FleetTarget returns the target that CONTRIBUTING.md states.
func FleetTarget() Target {
	return Target{
		Routers: 380, Engines: 600, Teams: 1100, Models: 15, Shards: 75,
		RequestsPerSecond: 2600, TokensPerSecond: 1_200_000, Chats: 2_700_000,
		ConfigurationChanges: 1700, FailedHosts: 10, ReplacedHosts: 200,
	}
}

// ControlLimits returns the limits that CONTRIBUTING.md states. Its "several hundred" writes a
// second of the key-value service are read as 300.
func ControlLimits() Limits {
	return Limits{Cores: 0.021, MemoryBytes: 64 << 20, TrafficBytesPerSecond: 28_000, StoreWritesPerSecond: 300, StoreReadsPerSecond: 2000}
}
