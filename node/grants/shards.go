package grants

import (
	"sync"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/port"
)

const (
	// ownerIdleTimeout is how long this router keeps the state of a shard that it no longer owns.
	ownerIdleTimeout = time.Minute
	// epochStep separates the epochs of the owners that one process creates, because an owner
	// increments its epoch each time it detects that its process was paused.
	epochStep = 1000
)

// ownedShard is the state of one shard in which this router issues grants.
type ownedShard struct {
	key      shardKey
	owner    *placement.Owner
	lastUsed time.Time
	waiters  map[admission.Ticket]chan placement.Decision
	// fresh is true until the first poll of the upstreams' load.
	fresh bool
}

// shards holds the shards in which this router issues grants. It is safe for concurrent use: all
// operations on owners run under one lock and do no I/O.
type shards struct {
	self   fleet.HostID
	epoch  int64
	config port.Configuration
	routes *routes

	mu            sync.Mutex
	ownersCreated int64
	owned         map[shardKey]*ownedShard
	// reportRequests requests an immediate poll of the load of fresh shards.
	reportRequests chan struct{}
}

func newShards(self fleet.HostID, epoch int64, config port.Configuration, routes *routes) *shards {
	return &shards{
		self: self, epoch: epoch, config: config, routes: routes,
		owned: map[shardKey]*ownedShard{}, reportRequests: make(chan struct{}, 1),
	}
}

// withShard runs step on the shard of an upstream, creating the shard's state if necessary, and
// delivers decisions on waiting requests. It returns false for an unknown pool.
func (s *shards) withShard(now time.Time, pool fleet.PoolID, home fleet.UpstreamID, step func(*ownedShard)) bool {
	settings, found := s.config.Current().Pool(pool)
	if !found {
		return false
	}
	table := s.routes.pool(now, pool)
	key := shardKey{pool: pool, shard: table.shards.Shard(home)}
	s.mu.Lock()
	defer s.mu.Unlock()
	shard, found := s.owned[key]
	if !found {
		s.ownersCreated++
		shard = &ownedShard{
			key: key, owner: placement.NewOwner(s.self, s.epoch+s.ownersCreated*epochStep, ownerSettings(settings)),
			waiters: map[admission.Ticket]chan placement.Decision{}, fresh: true,
		}
		shard.owner.SetUpstreams(now, table.inShard(key.shard))
		s.owned[key] = shard
		s.requestReports()
	}
	shard.lastUsed = now
	step(shard)
	shard.deliver()
	return true
}

// requestReports signals reportRequests without blocking.
func (s *shards) requestReports() {
	select {
	case s.reportRequests <- struct{}{}:
	default:
	}
}

// each runs step on every owned shard and delivers decisions on waiting requests.
func (s *shards) each(step func(*ownedShard)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range s.owned {
		step(shard)
		shard.deliver()
	}
}

// deliver sends decisions to the handlers that wait for them. Each channel buffers one decision and
// each ticket gets one, so that no send blocks while the lock is held.
func (o *ownedShard) deliver() {
	for _, decision := range o.owner.Resolved() {
		if waiter, found := o.waiters[decision.Ticket]; found {
			delete(o.waiters, decision.Ticket)
			waiter <- decision
		}
	}
}

// tick runs the time-dependent work of every owned shard and removes idle shards that this router
// no longer owns.
func (s *shards) tick(now time.Time) {
	snapshot := s.config.Current()
	s.mu.Lock()
	keys := make([]shardKey, 0, len(s.owned))
	for key := range s.owned {
		keys = append(keys, key)
	}
	s.mu.Unlock()
	for _, key := range keys {
		settings, found := snapshot.Pool(key.pool)
		table := s.routes.pool(now, key.pool)
		s.mu.Lock()
		shard, owned := s.owned[key]
		if owned {
			s.tickShard(now, shard, table, ownerSettings(settings), found)
		}
		s.mu.Unlock()
	}
}

// tickShard removes a shard that is idle and no longer owned, and otherwise applies the current
// settings and upstreams and runs the owner's tick. The lock is held.
func (s *shards) tickShard(now time.Time, shard *ownedShard, table *poolRoutes, settings placement.Settings, poolExists bool) {
	isOwner := poolExists && int(shard.key.shard) < len(table.owners) && table.owners[shard.key.shard] == s.self
	if !isOwner && now.Sub(shard.lastUsed) > ownerIdleTimeout {
		delete(s.owned, shard.key)
		return
	}
	if poolExists {
		shard.owner.SetSettings(settings)
	}
	shard.owner.SetUpstreams(now, table.inShard(shard.key.shard))
	shard.owner.Tick(now)
	shard.deliver()
}
