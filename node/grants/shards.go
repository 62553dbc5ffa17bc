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
	// ownerIdle is how long the state of a shard is kept that fell to another router.
	ownerIdle = time.Minute
	// epochStep separates the epochs of the owners that one process makes. Each freeze of an
	// owner takes one.
	epochStep = 1000
)

// ownedShard is the state of one shard that this router grants for.
type ownedShard struct {
	key    shardKey
	owner  *placement.Owner
	used   time.Time
	waiter map[admission.Ticket]chan placement.Decision
	// fresh is true until the shard's upstreams were first asked for their load.
	fresh bool
}

// shards holds what this router grants for. It is safe for concurrent use: every step on an
// owner runs under the one lock, and steps do no I/O.
type shards struct {
	self   fleet.HostID
	epoch  int64
	config port.Configuration
	routes *routes

	mu    sync.Mutex
	made  int64
	owned map[shardKey]*ownedShard
	// wake asks for load reports of new shards at once.
	wake chan struct{}
}

func newShards(self fleet.HostID, epoch int64, config port.Configuration, routes *routes) *shards {
	return &shards{
		self: self, epoch: epoch, config: config, routes: routes,
		owned: map[shardKey]*ownedShard{}, wake: make(chan struct{}, 1),
	}
}

// step runs a step on the shard of an upstream, and gives decisions on waiting requests to
// those that wait. It returns false for an unknown pool.
func (s *shards) step(now time.Time, pool fleet.PoolID, home fleet.UpstreamID, step func(*ownedShard)) bool {
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
		s.made++
		shard = &ownedShard{
			key: key, owner: placement.NewOwner(s.self, s.epoch+s.made*epochStep, ownerSettings(settings)),
			waiter: map[admission.Ticket]chan placement.Decision{}, fresh: true,
		}
		shard.owner.SetUpstreams(now, table.inShard(key.shard))
		s.owned[key] = shard
		s.askForReports()
	}
	shard.used = now
	step(shard)
	shard.deliver()
	return true
}

func (s *shards) askForReports() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// each runs a step on every owned shard.
func (s *shards) each(step func(*ownedShard)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, shard := range s.owned {
		step(shard)
		shard.deliver()
	}
}

// deliver gives decisions to the handlers that wait for them. The channels have room for
// one decision, and a ticket gets one, so that no send blocks under the lock.
func (o *ownedShard) deliver() {
	for _, decision := range o.owner.Resolved() {
		if waiter, found := o.waiter[decision.Ticket]; found {
			delete(o.waiter, decision.Ticket)
			waiter <- decision
		}
	}
}

// tick passes time on every owned shard and forgets those that fell to others.
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

func (s *shards) tickShard(now time.Time, shard *ownedShard, table *poolRoutes, settings placement.Settings, poolExists bool) {
	isOwner := poolExists && int(shard.key.shard) < len(table.owners) && table.owners[shard.key.shard] == s.self
	if !isOwner && now.Sub(shard.used) > ownerIdle {
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
