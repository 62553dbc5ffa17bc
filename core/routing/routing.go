// Package routing defines the desired state of a fleet that routes by host and path, and looks
// up the route and the team of a request in it.
package routing

import (
	"sort"
	"strings"
	"time"

	"agateswitch/core/fleet"
)

// Kind states whether the requests of a route may be repeated.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests may run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a stream of events. They may run at most once
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
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Target is the target latency of an answer, or of a stream's first event.
	Target time.Duration
	// MaxPause is the target for the longest pause between two events of a stream.
	MaxPause time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Rank orders requests by urgency. Zero is the most urgent.
	Rank int
	// Pools share the route's requests by weight.
	Pools []WeightedPool
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued by another engine.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick returns the pool at a position in [0, 1) along the cumulative weights of the route's
// pools. It returns false when the route has no pool with a weight.
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

// Pool is a model or a plain service, and the capacity of its upstreams.
type Pool struct {
	ID         fleet.PoolID
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all routers.
	MaxConnections int
	// ColdStart is how long an upstream is cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold upstream can handle.
	ColdRate float64
	// Model is set for pools of model engines.
	Model *Model
	// Scaling is set for pools whose number of engines is ordered.
	Scaling *Scaling
}

// Scaling bounds the number of a pool's engines in each data centre.
type Scaling struct {
	Min, Max int
	// Boot is the time from an order to the first request of a new engine.
	Boot time.Duration
}

// Model describes the engines of a model.
type Model struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of an engine's prompt cache, in tokens.
	CacheTokens int
}

// Team is a customer with its API keys.
type Team struct {
	Name fleet.Team
	Keys []string
	// Rank takes precedence over the route's when HasRank is set.
	Rank    int
	HasRank bool
}

// Limits bounds the size of callers' requests and the time that their connections may be idle.
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

// Table indexes the routes, teams and pools of one desired state. It is immutable.
type Table struct {
	State State
	// routesByHost holds the routes of each host, longest prefix first.
	routesByHost map[string][]*Route
	teamsByKey   map[string]*Team
	poolsByID    map[fleet.PoolID]*Pool
}

// Compile returns the table of a desired state.
func Compile(state State) *Table {
	t := &Table{
		State: state, routesByHost: map[string][]*Route{}, teamsByKey: map[string]*Team{}, poolsByID: map[fleet.PoolID]*Pool{},
	}
	for i := range state.Routes {
		route := &state.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range state.Teams {
		for _, key := range state.Teams[i].Keys {
			t.teamsByKey[key] = &state.Teams[i]
		}
	}
	for i := range state.Pools {
		t.poolsByID[state.Pools[i].ID] = &state.Pools[i]
	}
	return t
}

// Match returns the host's route with the longest prefix of path. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Team returns the team that holds an API key.
func (t *Table) Team(key string) (*Team, bool) {
	team, found := t.teamsByKey[key]
	return team, found && key != ""
}

// NeedsKey reports whether a route requires an API key.
func (t *Table) NeedsKey(route *Route) bool {
	return len(t.State.Teams) > 0 && !route.Public
}

// Pool returns a pool of the desired state.
func (t *Table) Pool(id fleet.PoolID) (*Pool, bool) {
	pool, found := t.poolsByID[id]
	return pool, found
}
