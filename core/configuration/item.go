// Package configuration represents the fleet's configuration as revisioned items, and defines
// the rules by which it is validated, merged and compared. Each item has the revision of the
// fleet's configuration at which it last changed, so a delta is the set of items above a revision.
package configuration

import (
	"encoding/json"

	"agateswitch/core/fleet"
)

// Revision counts the accepted changes of the fleet's configuration. It never decreases.
type Revision int64

// Kind is the kind of an item.
type Kind string

// Kinds of items.
const (
	KindContract   Kind = "contract"
	KindPool       Kind = "pool"
	KindDataCentre Kind = "datacentre"
	KindMove       Kind = "move"
)

// Key identifies one item.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Item is one accepted piece of configuration. A deleted item is kept as a tombstone.
type Item struct {
	Key      Key             `json:"key"`
	Revision Revision        `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Contract states everything that one team may do. It is the only source of the team's
// limits, priority and share.
type Contract struct {
	Team fleet.Team `json:"team"`
	// KeyDigests holds hex SHA-256 digests of the team's bearer keys; several allow rotation.
	KeyDigests []string `json:"key_digests"`
	// Pools lists the pools that the team may use.
	Pools []fleet.PoolID `json:"pools"`
	// RequestsPerSecond is the team's rate, fleet-wide.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is how many requests may arrive at once above the rate. Default: 2 s of the rate.
	Burst int `json:"burst,omitempty"`
	// Concurrency limits the team's requests that run at once, fleet-wide. Default: no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// Share is the team's weight in fair queueing. Default: 1.
	Share float64 `json:"share,omitempty"`
	// Priority orders waiting requests; higher values are served first. Default: 0. Range: 0 to 9.
	Priority fleet.Priority `json:"priority,omitempty"`
	// FirstTokenMillis is the time within which the first token is due, in milliseconds.
	// Default: 1300.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// SilenceTimeoutMillis is how long an upstream connection may deliver no byte before a new
	// connection is tried, in milliseconds. Default: 2000.
	SilenceTimeoutMillis int `json:"silence_ms,omitempty"`
}

// PoolType is the kind of upstreams that a pool has.
type PoolType string

// Types of pools.
const (
	PoolEngine  PoolType = "engine"
	PoolService PoolType = "service"
)

// Pool describes one model or one plain service.
type Pool struct {
	Name fleet.PoolID `json:"name"`
	Type PoolType     `json:"type"`
	// BoundFactor limits the load of one engine to a multiple of the pool's mean. Default: 1.25.
	BoundFactor float64 `json:"bound_factor,omitempty"`
	// ColdConcurrency limits the requests running on an upstream in a cold start. Default: 1.
	ColdConcurrency int `json:"cold_concurrency,omitempty"`
	// MaxConcurrency limits the requests running on an upstream after its cold start. Default: 64.
	MaxConcurrency int `json:"max_concurrency,omitempty"`
	// PathPrefix is the first path segment of calls to a plain service. Services only.
	PathPrefix string `json:"path_prefix,omitempty"`
	// NonIdempotent lists methods and path prefixes of calls that may not be repeated,
	// for example "POST /bookings". Services only.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
	// Version is the version in use while no move is running. Empty means any.
	Version fleet.Version `json:"version,omitempty"`
	// FencesOrders is true when the pool's upstreams refuse orders with a stale fencing number.
	FencesOrders bool `json:"fences_orders,omitempty"`
}

// DataCentre states whether a data centre accepts new work.
type DataCentre struct {
	Name fleet.DataCentre `json:"name"`
	// Out is true while the data centre is taken out of service.
	Out bool `json:"out"`
	// ChangedMillis is when Out last changed, in milliseconds of Unix time. The router that
	// accepts the change sets it. After a return the weight ramps up from this time on. Zero
	// means that the data centre was never out.
	ChangedMillis int64 `json:"changed_ms,omitempty"`
	// RampSeconds is how long the ramp after a return takes, in seconds. Default: 120.
	// Range: 1 to 3600.
	RampSeconds int `json:"ramp_seconds,omitempty"`
}
