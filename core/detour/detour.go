// Package detour decides how a router sends a request to an upstream to which it has lost its own path: through which
// other router, and how many such requests a router takes from others. A router learns of the others' paths from what they
// answer. It keeps no list of all paths: a fleet of hundreds has tens of thousands.
package detour

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// MaxAsked is the number of routers that one request is offered to.
const MaxAsked = 4

const (
	// servedTime is how long a router that has reached a pool is preferred.
	servedTime = 5 * time.Second
	// noPathTime is how long a router that has not reached a pool is not asked again, and busyTime one that had no room.
	noPathTime = time.Second
	busyTime   = 200 * time.Millisecond
	// maxHints is how many routers with a path a router names to another.
	maxHints = 3
)

// Outcome is what became of a request that was offered to another router.
type Outcome string

// Outcomes.
const (
	// Reached means that the router has reached an upstream of the pool.
	Reached Outcome = "reached"
	// NoPath means that it has not.
	NoPath Outcome = "no_path"
	// Busy means that it takes no more requests of others now.
	Busy Outcome = "busy"
	// Silent means that the router itself was not reached, or has not answered.
	Silent Outcome = "silent"
)

// peer is what is known of one router's path to one pool.
type peer struct {
	reachedAt time.Time
	// avoidUntil is when the router may be asked again.
	avoidUntil time.Time
	noPathAt   time.Time
}

// Peers remembers which routers have a path to which pool. It is not safe for concurrent use.
type Peers struct {
	pools map[fleet.PoolID]map[fleet.HostID]*peer
}

// NewPeers returns a memory without entries.
func NewPeers() *Peers { return &Peers{pools: map[fleet.PoolID]map[fleet.HostID]*peer{}} }

// Choose returns the router to offer a request for a pool to, of those in the same data centre (near) and the others (far),
// each in random order. It reports false if no router may be asked now. A group in which no router lacked a path lately is
// trusted, near before far; otherwise, and for a further offer, routers that had a path lately come first.
func (p *Peers) Choose(pool fleet.PoolID, near, far, asked []fleet.HostID, now time.Time) (fleet.HostID, bool) {
	if len(asked) >= MaxAsked {
		return "", false
	}
	groups := []group{p.group(pool, near, asked, now), p.group(pool, far, asked, now)}
	if len(asked) == 0 {
		for _, g := range groups {
			if len(g.usable) > 0 && !g.isCut {
				return g.usable[0], true
			}
		}
	}
	for _, g := range groups {
		if len(g.reached) > 0 {
			return g.reached[0], true
		}
	}
	slices.Reverse(groups)
	for _, g := range groups {
		if len(g.usable) > 0 {
			return g.usable[0], true
		}
	}
	return "", false
}

// group is what is known of some routers: those that may be asked, and which of them had a path lately.
type group struct {
	usable, reached []fleet.HostID
	// isCut is true if one of them had no path lately.
	isCut bool
}

func (p *Peers) group(pool fleet.PoolID, routers, asked []fleet.HostID, now time.Time) group {
	var g group
	for _, id := range routers {
		state, found := p.pools[pool][id]
		g.isCut = g.isCut || found && now.Sub(state.noPathAt) < servedTime
		if slices.Contains(asked, id) || found && now.Before(state.avoidUntil) {
			continue
		}
		g.usable = append(g.usable, id)
		if found && now.Sub(state.reachedAt) < servedTime {
			g.reached = append(g.reached, id)
		}
	}
	return g
}

// Observe records the outcome of an offer.
func (p *Peers) Observe(pool fleet.PoolID, id fleet.HostID, outcome Outcome, now time.Time) {
	state := p.peer(pool, id)
	switch outcome {
	case Reached:
		*state = peer{reachedAt: now}
	case NoPath, Silent:
		*state = peer{avoidUntil: now.Add(noPathTime), noPathAt: now}
	case Busy:
		state.avoidUntil = now.Add(busyTime)
	}
}

// Hint records that another router names one that has a path.
func (p *Peers) Hint(pool fleet.PoolID, id fleet.HostID, now time.Time) {
	if state := p.peer(pool, id); now.Sub(state.noPathAt) >= noPathTime {
		state.reachedAt = now
	}
}

// Hints returns routers that have had a path to a pool lately.
func (p *Peers) Hints(pool fleet.PoolID, now time.Time) []fleet.HostID {
	var hints []fleet.HostID
	for id, state := range p.pools[pool] {
		if len(hints) < maxHints && now.Sub(state.reachedAt) < servedTime && !now.Before(state.avoidUntil) {
			hints = append(hints, id)
		}
	}
	return hints
}

// Prune forgets what is too old to matter.
func (p *Peers) Prune(now time.Time) {
	for pool, known := range p.pools {
		for id, state := range known {
			if now.Sub(state.reachedAt) >= servedTime && now.Sub(state.noPathAt) >= servedTime && !now.Before(state.avoidUntil) {
				delete(known, id)
			}
		}
		if len(known) == 0 {
			delete(p.pools, pool)
		}
	}
}

func (p *Peers) peer(pool fleet.PoolID, id fleet.HostID) *peer {
	if p.pools[pool] == nil {
		p.pools[pool] = map[fleet.HostID]*peer{}
	}
	if p.pools[pool][id] == nil {
		p.pools[pool][id] = &peer{}
	}
	return p.pools[pool][id]
}
