// Package configuration holds the fleet's configuration as revisioned items, and the
// rules by which it is validated, merged and compared. Each item carries the fleet
// revision at which it last changed, so that a delta is "every item above a revision".
package configuration

import (
	"encoding/json"

	"agateswitch/core/fleet"
)

// Revision counts accepted changes of the whole fleet's configuration. It only grows.
type Revision int64

// Kind names a kind of item.
type Kind string

// Kinds of items.
const (
	KindContract   Kind = "contract"
	KindPool       Kind = "pool"
	KindDataCentre Kind = "datacentre"
	KindMove       Kind = "move"
)

// Key names one item.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Item is one accepted piece of configuration. A deleted item stays as a tombstone.
type Item struct {
	Key      Key             `json:"key"`
	Revision Revision        `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// Contract states everything that one team may do. Limits, priorities and shares
// follow from it and from nothing else.
type Contract struct {
	Team fleet.Team `json:"team"`
	// KeyDigests holds hex SHA-256 digests of the team's bearer keys; several allow rotation.
	KeyDigests []string `json:"key_digests"`
	// Pools lists the pools that the team may use.
	Pools []fleet.PoolID `json:"pools"`
	// RequestsPerSecond is the team's rate, fleet-wide.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is how many requests may come at once above the rate. Default: 2 s of the rate.
	Burst int `json:"burst,omitempty"`
	// Concurrency is the most requests of the team running at once, fleet-wide. Default: no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// Share is the team's weight in fair queueing. Default: 1.
	Share float64 `json:"share,omitempty"`
	// Priority orders waiting requests; higher goes first. Default: 0. Range: 0 to 9.
	Priority fleet.Priority `json:"priority,omitempty"`
	// FirstTokenMillis is the deadline of the first token, in milliseconds. Default: 1300.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// SilenceMillis is how long a stream may be silent before a fresh connection is tried,
	// in milliseconds. Default: 2000.
	SilenceMillis int `json:"silence_ms,omitempty"`
}

// PoolType tells what kind of upstream a pool has.
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
	// BoundFactor is the most load of one engine as a multiple of the pool's mean. Default: 1.25.
	BoundFactor float64 `json:"bound_factor,omitempty"`
	// ColdConcurrency is how many requests an upstream bears in a cold start. Default: 1.
	ColdConcurrency int `json:"cold_concurrency,omitempty"`
	// MaxConcurrency is how many requests an upstream bears when warm. Default: 64.
	MaxConcurrency int `json:"max_concurrency,omitempty"`
	// PathPrefix is the first path segment under which a plain service is reached. Services only.
	PathPrefix string `json:"path_prefix,omitempty"`
	// NonIdempotent lists methods and path prefixes of calls that may not be repeated,
	// for example "POST /bookings". Services only.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
	// Version is the version in use when no move runs. Empty means any.
	Version fleet.Version `json:"version,omitempty"`
	// FencesOrders is true when the pool's upstreams refuse orders with an old fencing number.
	FencesOrders bool `json:"fences_orders,omitempty"`
}

// DataCentre states whether a data centre takes new work.
type DataCentre struct {
	Name fleet.DataCentre `json:"name"`
	// Out is true while the data centre is taken out.
	Out bool `json:"out"`
	// ChangedMillis is when Out last changed, in milliseconds of Unix time; the accepting
	// router sets it. After a return, the weight ramps from this time on. Zero: never out.
	ChangedMillis int64 `json:"changed_ms,omitempty"`
	// RampSeconds is how long the return takes, in seconds. Default: 120. Range: 1 to 3600.
	RampSeconds int `json:"ramp_seconds,omitempty"`
}
