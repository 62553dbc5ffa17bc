package grants

import (
	"strconv"
	"sync"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/core/rendezvous"
	"agateswitch/port"
)

// routesLife is how long a computed table is used.
const routesLife = time.Second

// emptyRoutesLife is how long a pool without upstreams is taken for empty. It is short, as
// upstreams appear while a fleet starts.
const emptyRoutesLife = 20 * time.Millisecond

// shardKey names one shard of one pool.
type shardKey struct {
	pool  fleet.PoolID
	shard placement.ShardID
}

// poolRoutes tells how the requests of one pool are placed.
type poolRoutes struct {
	// listed are all upstreams, usable those that take new work.
	listed map[fleet.UpstreamID]fleet.Upstream
	usable []fleet.Upstream
	shards *placement.ShardMap
	owners []fleet.HostID
}

// routes computes who owns which shard from this router's view of the fleet. It is safe for
// concurrent use.
type routes struct {
	members port.Members
	config  port.Configuration

	mu    sync.Mutex
	made  time.Time
	pools map[fleet.PoolID]*poolRoutes

	// routers are the live routers as of listed; nil after a refresh.
	routers *rendezvous.Nodes
	listed  time.Time
}

// pool returns the routes of a pool, at most routesLife old.
func (r *routes) pool(now time.Time, id fleet.PoolID) *poolRoutes {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.pools[id]
	isEmpty := !found || len(known.usable) == 0
	if r.pools == nil || now.Sub(r.made) > routesLife || (isEmpty && now.Sub(r.made) > emptyRoutesLife) {
		r.compute(now)
		known, found = r.pools[id]
	}
	if !found {
		return &poolRoutes{shards: placement.NewShardMap(nil), owners: []fleet.HostID{r.members.Self().ID}}
	}
	return known
}

// refresh makes the next reading see a changed view at once.
func (r *routes) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools = nil
	r.routers = nil
}

// compute makes the table of all pools: shards of all pools share the limit of shards that
// one router owns.
func (r *routes) compute(now time.Time) {
	r.made = now
	r.pools = map[fleet.PoolID]*poolRoutes{}
	var names []string
	for _, pool := range r.config.Current().Pools() {
		routes := r.list(pool.Name)
		r.pools[pool.Name] = routes
		for shard := range routes.shards.Count() {
			names = append(names, shardName(pool.Name, shard))
		}
	}
	owners := placement.Owners(names, r.routerNames())
	for id, routes := range r.pools {
		for shard := range routes.shards.Count() {
			owner, found := owners[shardName(id, shard)]
			if !found {
				owner = string(r.members.Self().ID)
			}
			routes.owners = append(routes.owners, fleet.HostID(owner))
		}
	}
}

func shardName(pool fleet.PoolID, shard int) string {
	return string(pool) + "/" + strconv.Itoa(shard)
}

func (r *routes) list(id fleet.PoolID) *poolRoutes {
	listed := r.members.Upstreams(id)
	p := &poolRoutes{
		listed: make(map[fleet.UpstreamID]fleet.Upstream, len(listed)),
		usable: r.members.Usable(id), shards: placement.NewShardMap(listed),
	}
	for _, upstream := range listed {
		p.listed[upstream.ID] = upstream
	}
	return p
}

func (r *routes) routerNames() []string {
	routers := r.members.Routers()
	names := make([]string, len(routers))
	for i, router := range routers {
		names[i] = string(router.ID)
	}
	return names
}

// budgetOwner returns the router that keeps a team's budget. The list of live routers that
// it goes by is at most routesLife old.
func (r *routes) budgetOwner(now time.Time, team fleet.Team) fleet.HostID {
	owner, found := r.liveRouters(now).First("team/" + string(team))
	if !found {
		return r.members.Self().ID
	}
	return fleet.HostID(owner)
}

func (r *routes) liveRouters(now time.Time) *rendezvous.Nodes {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routers == nil || now.Sub(r.listed) > routesLife {
		r.routers, r.listed = rendezvous.NewNodes(r.routerNames()), now
	}
	return r.routers
}

// owner returns the router that grants on an upstream.
func (p *poolRoutes) owner(upstream fleet.UpstreamID) fleet.HostID {
	return p.owners[p.shards.Shard(upstream)]
}

// home returns the first upstream in a chat's order that the request may run on.
func (p *poolRoutes) home(chat uint64, version fleet.Version, exclude []fleet.UpstreamID) (fleet.Upstream, bool) {
	candidates := p.usable
	if version != "" || len(exclude) > 0 {
		candidates = nil
		for _, upstream := range p.usable {
			if isAllowed(upstream, version, exclude) {
				candidates = append(candidates, upstream)
			}
		}
	}
	return placement.Home(chat, candidates)
}

func isAllowed(upstream fleet.Upstream, version fleet.Version, exclude []fleet.UpstreamID) bool {
	for _, id := range exclude {
		if id == upstream.ID {
			return false
		}
	}
	return version == "" || version == upstream.Version
}

// inShard returns the usable upstreams of a shard.
func (p *poolRoutes) inShard(shard placement.ShardID) []fleet.Upstream {
	var list []fleet.Upstream
	for _, upstream := range p.usable {
		if p.shards.Shard(upstream.ID) == shard {
			list = append(list, upstream)
		}
	}
	return list
}

func ownerSettings(pool configuration.Pool) placement.Settings {
	return placement.Settings{
		BoundFactor: pool.BoundFactor, ColdConcurrency: pool.ColdConcurrency,
		MaxConcurrency: pool.MaxConcurrency, GrantTTL: grantLife,
		Reports: pool.Type == configuration.PoolEngine,
	}
}
