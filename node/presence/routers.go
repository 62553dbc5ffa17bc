package presence

import (
	"math/rand/v2"
	"sort"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// Router implements peer.Directory. It returns a router by its id, also one that is leaving.
func (p *Presence) Router(id fleet.HostID) (fleet.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host, found := p.listed[id]; found {
		return host, true
	}
	last, found := p.heartbeats[id]
	return last.heartbeat.Host, found && time.Since(last.receivedAt) < heardTimeout
}

// Routers returns the routers that accept callers in id order, including this one unless it is
// leaving.
func (p *Presence) Routers() []fleet.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	known := map[fleet.HostID]fleet.Host{}
	alive := map[fleet.HostID]fleet.Host{}
	for id, host := range p.listed {
		known[id] = host
	}
	for id, last := range p.heartbeats {
		if last.heartbeat.Leaving {
			delete(known, id)
			continue
		}
		if now.Sub(last.receivedAt) < unresponsiveTimeout {
			known[id], alive[id] = last.heartbeat.Host, last.heartbeat.Host
		}
	}
	delete(known, p.self.ID)
	delete(alive, p.self.ID)
	// A router that receives heartbeats of less than half of the others may be the one that is
	// partitioned from the fleet. In a fleet that has just shrunk most have not sent any to it yet.
	isDirect := len(p.listed) <= maxDirectFleetSize && now.Sub(p.largeAt) > unresponsiveTimeout
	if isDirect && 2*len(alive) >= len(known) {
		known = alive
	}
	if !p.leaving.Load() {
		known[p.self.ID] = p.self
	}
	routers := make([]fleet.Host, 0, len(known))
	for _, host := range known {
		if host.State != fleet.Leaving {
			routers = append(routers, host)
		}
	}
	sort.Slice(routers, func(i, j int) bool { return routers[i].ID < routers[j].ID })
	return routers
}

// Others returns the routers that accept callers, without this one.
func (p *Presence) Others() []fleet.HostID {
	var others []fleet.HostID
	for _, host := range p.Routers() {
		if host.ID != p.self.ID {
			others = append(others, host.ID)
		}
	}
	return others
}

// Responsive returns the other routers with an entry whose heartbeat this one has received lately.
func (p *Presence) Responsive() []fleet.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var responsive []fleet.HostID
	for id := range p.listed {
		if id != p.self.ID && time.Since(p.heartbeats[id].receivedAt) < unresponsiveTimeout {
			responsive = append(responsive, id)
		}
	}
	return responsive
}

// Nearest returns the other routers in random order, those of this one's data centre first.
func (p *Presence) Nearest() []fleet.HostID {
	near, far := p.Neighbours()
	return append(near, far...)
}

// Neighbours returns the other routers of this one's data centre, and those of others, in random order.
func (p *Presence) Neighbours() (near, far []fleet.HostID) {
	for _, host := range p.Routers() {
		switch {
		case host.ID == p.self.ID:
		case host.DataCentre == p.self.DataCentre:
			near = append(near, host.ID)
		default:
			far = append(far, host.ID)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return near, far
}

// Watchers returns the routers from which this one pulls the changes of the store, or reports that it
// watches the store itself (dissemination.PlanWatch). One whose neighbours don't answer can't rely on any other.
func (p *Presence) Watchers() (watchers []fleet.HostID, self bool) {
	if p.isolated.Load() {
		return nil, true
	}
	watchers = p.plans().watchers
	return watchers, len(watchers) == 0
}

// AllWatch reports whether every router of the fleet watches the store.
func (p *Presence) AllWatch() bool { return p.plans().relays.Direct }

// Relays returns this router's relay plan.
func (p *Presence) Relays() dissemination.RelayPlan { return p.plans().relays }

// plans holds what follows from the list of routers for this one. It is immutable.
type plans struct {
	madeAt time.Time
	// entries is the value of Presence.entryChanges from before they were made.
	entries  int64
	watchers []fleet.HostID
	relays   dissemination.RelayPlan
}

// maxPlanAge is the age up to which plans are used again while the store has the same entries. Only routers
// that are not listed yet, or are about to leave, change them otherwise.
const maxPlanAge = 2 * time.Second

// plans returns the current plans. In a fleet of hundreds, making them takes a tenth of a millisecond or
// more, and they are needed some twenty times a second.
func (p *Presence) plans() *plans {
	entries := p.entryChanges.Load()
	if made := p.lastPlans.Load(); made != nil && made.entries == entries && time.Since(made.madeAt) < maxPlanAge {
		return made
	}
	routers := p.Routers()
	made := &plans{madeAt: time.Now(), entries: entries, watchers: dissemination.PlanWatch(routers, p.self), relays: dissemination.PlanRelays(routers, p.self)}
	if len(routers) > maxDirectFleetSize {
		p.lastPlans.Store(made)
	}
	return made
}

// Count returns how many routers may send to upstreams: those listed and those with a recent
// heartbeat. It includes leaving ones, so that a share of a limit is never too large.
func (p *Presence) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := len(p.listed)
	if _, listed := p.listed[p.self.ID]; !listed {
		count++
	}
	for id, last := range p.heartbeats {
		if _, listed := p.listed[id]; !listed && id != p.self.ID && time.Since(last.receivedAt) < heardTimeout {
			count++
		}
	}
	return count
}

// Rank returns this router's index, from 0, in the rendezvous order of the listed routers for a key.
func (p *Presence) Rank(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ownScore, rank := rendezvous.Score(key, string(p.self.ID)), 0
	for id := range p.listed {
		if id != p.self.ID && rendezvous.Score(key, string(id)) > ownScore {
			rank++
		}
	}
	return rank
}

// First returns the first routers, at most count, in the rendezvous order of a key: the listed ones and this one.
func (p *Presence) First(key string, count int) []fleet.HostID {
	p.mu.Lock()
	names := make([]string, 0, len(p.listed)+1)
	for id := range p.listed {
		names = append(names, string(id))
	}
	if _, listed := p.listed[p.self.ID]; !listed {
		names = append(names, string(p.self.ID))
	}
	p.mu.Unlock()
	ordered := rendezvous.Order(key, names)
	first := make([]fleet.HostID, 0, count)
	for _, name := range ordered[:min(count, len(ordered))] {
		first = append(first, fleet.HostID(name))
	}
	return first
}
