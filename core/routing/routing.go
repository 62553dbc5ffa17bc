// Package routing holds the desired state of a fleet that routes by host and path, and finds
// the route and the team of a request in it.
package routing

import (
	"sort"
	"strings"
	"time"

	"agateswitch/core/fleet"
)

// Kind tells what may be repeated on a route.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests may run once at most for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a stream of events. They may run once at most,
	// unless the route is resumable.
	Streaming Kind = "streaming"
)

// WeightedPool is one of the pools that share a route's requests.
type WeightedPool struct {
	Pool   fleet.PoolID
	Weight float64
}

// Route sends the requests of a host and path prefix to pools.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is on time.
	Target time.Duration
	// MaxPause is the longest pause between two events of a stream that is on time.
	MaxPause time.Duration
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Rank orders requests by urgency. Zero is the most urgent.
	Rank int
	// Pools share the route's requests by weight.
	Pools []WeightedPool
	// Public routes need no API key.
	Public bool
	// Resumable streams may go on at another engine.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick returns the pool at a position in [0, 1) of the route's weights.
func (r *Route) Pick(position float64) (fleet.PoolID, bool) {
	total := 0.0
	for _, pool := range r.Pools {
		total += pool.Weight
	}
	rest := position * total
	for _, pool := range r.Pools {
		rest -= pool.Weight
		if rest < 0 {
			return pool.Pool, true
		}
	}
	return "", false
}

// Pool is a model or a plain service, and what its upstreams bear.
type Pool struct {
	ID         fleet.PoolID
	HealthPath string
	// MaxConnections is how many connections one upstream accepts from all routers.
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
	// ColdRate is how many requests a second a cold upstream bears.
	ColdRate float64
	// Model is set for pools of model engines.
	Model *Model
}

// Model describes the engines of a model.
type Model struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the size of an engine's cache of prompts.
	CacheTokens int
}

// Team holds API keys.
type Team struct {
	Name fleet.Team
	Keys []string
	// Rank takes precedence over the route's when HasRank is set.
	Rank    int
	HasRank bool
}

// Limits bound what a caller may send, and for how long it may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// State is one version of the desired state.
type State struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	Teams   []Team
	Limits  Limits
}

// Table finds routes, teams and pools of one desired state. It is immutable.
type Table struct {
	State State
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
	teams map[string]*Team
	pools map[fleet.PoolID]*Pool
}

// Compile makes the table of a desired state.
func Compile(state State) *Table {
	t := &Table{
		State: state, hosts: map[string][]*Route{}, teams: map[string]*Team{}, pools: map[fleet.PoolID]*Pool{},
	}
	for i := range state.Routes {
		route := &state.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range state.Teams {
		for _, key := range state.Teams[i].Keys {
			t.teams[key] = &state.Teams[i]
		}
	}
	for i := range state.Pools {
		t.pools[state.Pools[i].ID] = &state.Pools[i]
	}
	return t
}

// Match returns the route with the longest prefix that begins path. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Team returns the team that holds an API key.
func (t *Table) Team(key string) (*Team, bool) {
	team, found := t.teams[key]
	return team, found && key != ""
}

// NeedsKey tells whether a route asks for an API key.
func (t *Table) NeedsKey(route *Route) bool {
	return len(t.State.Teams) > 0 && !route.Public
}

// Pool returns a pool of the desired state.
func (t *Table) Pool(id fleet.PoolID) (*Pool, bool) {
	pool, found := t.pools[id]
	return pool, found
}
