// Package fleet holds the vocabulary that every other package shares: identities,
// hosts, upstreams, requests, decisions and refusals. It has no behaviour beyond
// small helpers on its own types.
package fleet

// HostID names one router process.
type HostID string

// DataCentre names a data centre.
type DataCentre string

// Region names a group of data centres.
type Region string

// Team names a customer. One contract belongs to each team.
type Team string

// PoolID names a pool: one model, or one plain service, with all its upstreams.
type PoolID string

// UpstreamID names one back end process.
type UpstreamID string

// Version names a version of the software or model that an upstream runs.
type Version string

// ChatID names a chat that may return.
type ChatID string

// RequestID names one request of a caller, for answers and logs.
type RequestID string

// LifeState is the state that the platform's host list gives a host.
type LifeState string

// Life states of hosts and upstreams.
const (
	// Live hosts take new work.
	Live LifeState = "live"
	// Leaving hosts finish running work and take no new work.
	Leaving LifeState = "leaving"
)

// Host is one router as the host list shows it.
type Host struct {
	ID         HostID
	DataCentre DataCentre
	Region     Region
	// HTTPAddress is the ip:port for callers and operators.
	HTTPAddress string
	// PeerAddress is the ip:port for other routers.
	PeerAddress string
	State       LifeState
}

// Upstream is one back end as the host list shows it.
type Upstream struct {
	ID         UpstreamID
	Pool       PoolID
	DataCentre DataCentre
	Version    Version
	// Address is the ip:port of the upstream's HTTP server.
	Address string
	State   LifeState
	// Weight scales the upstream's share of chats and load. It is in (0, 1]; below 1 while
	// its data centre comes back by a ramp. Zero counts as 1.
	Weight float64
}
