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

// routesTTL is how long a computed table is used.
const routesTTL = time.Second

// emptyRoutesTTL is how long the table of a pool without usable upstreams is used. It is short
// because upstreams register while a fleet starts.
const emptyRoutesTTL = 20 * time.Millisecond

// shardKey identifies one shard of one pool.
type shardKey struct {
	pool  fleet.PoolID
	shard placement.ShardID
}

// poolRoutes maps the requests of one pool to home upstreams, shards and owners.
type poolRoutes struct {
	// listed contains all upstreams. usable contains those that accept new work.
	listed map[fleet.UpstreamID]fleet.Upstream
	usable []fleet.Upstream
	shards *placement.ShardMap
	owners []fleet.HostID
}

// routes computes the owner of each shard from this router's view of the fleet. It is safe for
// concurrent use.
type routes struct {
	members port.Members
	config  port.Configuration

	mu         sync.Mutex
	computedAt time.Time
	pools      map[fleet.PoolID]*poolRoutes

	// routers are the live routers as of routersListedAt; nil after invalidate.
	routers         *rendezvous.Nodes
	routersListedAt time.Time
}

// pool returns the routes of a pool, which are at most routesTTL old.
func (r *routes) pool(now time.Time, id fleet.PoolID) *poolRoutes {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached, found := r.pools[id]
	isEmpty := !found || len(cached.usable) == 0
	if r.pools == nil || now.Sub(r.computedAt) > routesTTL || (isEmpty && now.Sub(r.computedAt) > emptyRoutesTTL) {
		r.compute(now)
		cached, found = r.pools[id]
	}
	if !found {
		return &poolRoutes{shards: placement.NewShardMap(nil), owners: []fleet.HostID{r.members.Self().ID}}
	}
	return cached
}

// invalidate discards the cached tables after a change of the view.
func (r *routes) invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools = nil
	r.routers = nil
}

// compute computes the routes of all pools at once, because the limit of shards per router
// applies to the shards of all pools together.
func (r *routes) compute(now time.Time) {
	r.computedAt = now
	r.pools = map[fleet.PoolID]*poolRoutes{}
	var names []string
	for _, pool := range r.config.Current().Pools() {
		routes := r.newPoolRoutes(pool.Name)
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

// newPoolRoutes returns the routes of a pool without the owners of its shards.
func (r *routes) newPoolRoutes(id fleet.PoolID) *poolRoutes {
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

// budgetOwner returns the owner of a team's budget, from a list of live routers that is at most
// routesTTL old.
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
	if r.routers == nil || now.Sub(r.routersListedAt) > routesTTL {
		r.routers, r.routersListedAt = rendezvous.NewNodes(r.routerNames()), now
	}
	return r.routers
}

// owner returns the owner of an upstream's shard.
func (p *poolRoutes) owner(upstream fleet.UpstreamID) fleet.HostID {
	return p.owners[p.shards.Shard(upstream)]
}

// home returns the first upstream in a chat's rendezvous order that the request may run on.
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

// isAllowed reports whether a request with a version and excluded upstreams may run on an upstream.
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

// ownerSettings derives the settings of a shard's owner from its pool.
func ownerSettings(pool configuration.Pool) placement.Settings {
	return placement.Settings{
		BoundFactor: pool.BoundFactor, ColdConcurrency: pool.ColdConcurrency,
		MaxConcurrency: pool.MaxConcurrency, GrantTTL: grantTTL,
		Reports: pool.Type == configuration.PoolEngine,
	}
}
