package presence

import (
	"math/rand/v2"
	"sort"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// Router implements peer.Directory.
func (p *Presence) Router(id fleet.HostID) (fleet.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host, found := p.listed[id]; found {
		return host, true
	}
	last, found := p.heard[id]
	return last.heartbeat.Host, found && time.Since(last.at) < leaseTime
}

// Routers returns the routers that take callers, this one included unless it leaves, by id.
func (p *Presence) Routers() []fleet.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	known := map[fleet.HostID]fleet.Host{}
	alive := map[fleet.HostID]fleet.Host{}
	for id, host := range p.listed {
		known[id] = host
	}
	for id, last := range p.heard {
		if last.heartbeat.Leaving {
			delete(known, id)
			continue
		}
		if now.Sub(last.at) < silentAfter {
			known[id], alive[id] = last.heartbeat.Host, last.heartbeat.Host
		}
	}
	delete(known, p.self.ID)
	delete(alive, p.self.ID)
	// A router that hears less than half of the others may be the one that is cut off.
	if len(p.listed) <= directFleet && 2*len(alive) >= len(known) {
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

// Others returns the routers that may be asked, without this one.
func (p *Presence) Others() []fleet.HostID {
	var others []fleet.HostID
	for _, host := range p.Routers() {
		if host.ID != p.self.ID {
			others = append(others, host.ID)
		}
	}
	return others
}

// Nearest returns the other routers in random order, those of this one's data centre first.
func (p *Presence) Nearest() []fleet.HostID {
	var near, far []fleet.HostID
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
	return append(near, far...)
}

const (
	// watchersKey names the duty of watching the store in the routers' rendezvous order.
	watchersKey = "store watcher"
	// watchGroup is how many routers share one watcher. A watcher makes two calls to the store and
	// answers some 60 of routers in a second, about a hundredth of a core.
	watchGroup = 15
)

// Watchers returns the routers of this one's data centre that watch the store for it, and whether
// it is one of them. In a small fleet all watch. In a large one a few of each data centre do, so
// that both the store's calls and what a watcher passes on stay few.
func (p *Presence) Watchers() (watchers []fleet.HostID, self bool) {
	routers := p.Routers()
	if len(routers) <= directFleet {
		return nil, true
	}
	var near []string
	for _, router := range routers {
		if router.DataCentre == p.self.DataCentre {
			near = append(near, string(router.ID))
		}
	}
	order := rendezvous.Order(watchersKey, near)
	for _, id := range order[:(len(order)+watchGroup-1)/watchGroup] {
		if fleet.HostID(id) == p.self.ID {
			return nil, true
		}
		watchers = append(watchers, fleet.HostID(id))
	}
	return watchers, false
}

// Relays returns this router's place among those that pass figures on.
func (p *Presence) Relays() dissemination.RelayPlan {
	return dissemination.PlanRelays(p.Routers(), p.self)
}

// Count returns how many routers may send to upstreams: those listed and those heard, leaving
// ones included, so that a share of a limit is never too large.
func (p *Presence) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[fleet.HostID]bool{p.self.ID: true}
	for id := range p.listed {
		known[id] = true
	}
	for id, last := range p.heard {
		if time.Since(last.at) < leaseTime {
			known[id] = true
		}
	}
	return len(known)
}

// Rank returns this router's place, from 0, in the order of all routers for a key.
func (p *Presence) Rank(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	own, rank := rendezvous.Score(key, string(p.self.ID)), 0
	for id := range p.listed {
		if id != p.self.ID && rendezvous.Score(key, string(id)) > own {
			rank++
		}
	}
	return rank
}
