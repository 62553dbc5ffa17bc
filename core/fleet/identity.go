// Package fleet defines the types that all other packages share: identities, hosts,
// upstreams, requests, decisions and refusals. It has no behaviour beyond small helpers
// on its own types.
package fleet

// HostID identifies one router process.
type HostID string

// DataCentre identifies a data centre.
type DataCentre string

// Region identifies a group of data centres.
type Region string

// Team identifies a customer. Each team has one contract.
type Team string

// PoolID identifies a pool: one model, or one plain service, with all its upstreams.
type PoolID string

// UpstreamID identifies one back end process.
type UpstreamID string

// Version identifies a version of the software or model that an upstream runs.
type Version string

// ChatID identifies a chat, which may send further requests.
type ChatID string

// RequestID identifies one request of a caller, in answers and logs.
type RequestID string

// LifeState is the state of a host or upstream in the platform's host list.
type LifeState string

// Life states of hosts and upstreams.
const (
	// Live hosts accept new work.
	Live LifeState = "live"
	// Leaving hosts finish running work and accept no new work.
	Leaving LifeState = "leaving"
)

// Host is one router as listed in the host list.
type Host struct {
	ID         HostID
	DataCentre DataCentre
	Region     Region
	// HTTPAddress is the ip:port for callers and operators.
	HTTPAddress string
	// PeerAddress is the ip:port for other routers.
	PeerAddress string
	State       LifeState
	Capacity    Capacity
}

// Capacity is what a host can bear. A zero value means that it is not known.
type Capacity struct {
	// Cores is the host's share of processor time, in cores.
	Cores float64
	// LinkMbps is the bandwidth of the host's network link, in Mbit/s.
	LinkMbps float64
}

// Upstream is one back end as listed in the host list.
type Upstream struct {
	ID         UpstreamID
	Pool       PoolID
	DataCentre DataCentre
	Version    Version
	// Address is the ip:port of the upstream's HTTP server.
	Address string
	State   LifeState
	// Weight scales the upstream's share of chats and load. It is in (0, 1], and below 1 while
	// its data centre ramps up after a return. Zero counts as 1.
	Weight float64
}
