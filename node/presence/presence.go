// Package presence makes a router known to the others and tells which of them are alive: by an
// entry in the store under a lease, and by beats that routers exchange.
package presence

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Times of a router's presence.
const (
	// leaseTime is how long a router that has died stays in the store.
	leaseTime = 2500 * time.Millisecond
	// renewInterval leaves room for two renewals that fail.
	renewInterval = 800 * time.Millisecond
	// beatInterval is the time between two beats to a router.
	beatInterval = 500 * time.Millisecond
	// beatTimeout bounds one exchange of beats.
	beatTimeout = 400 * time.Millisecond
	// silentAfter is how long a router may be silent before it leaves the entry answers: three
	// beats, so that one lost packet does not move callers.
	silentAfter = 1800 * time.Millisecond
	// directFleet is the largest fleet whose routers all exchange beats. In a larger one each
	// sends beats to its next neighbours by id, and the store tells who is alive.
	directFleet = 16
	// neighbours is how many routers get beats in a large fleet.
	neighbours = 4
)

// prefix of the routers' entries in the store.
const prefix = "agateswitch/router/"

const methodBeat = "presence.beat"

// Beat is what routers tell each other.
type Beat struct {
	Host    fleet.Host `msgpack:"host"`
	Leaving bool       `msgpack:"leaving,omitempty"`
}

// Presence is one router's part. It is safe for concurrent use.
type Presence struct {
	self      fleet.Host
	store     port.Store
	transport port.Peers
	log       *log.Logger
	leaving   atomic.Bool

	// left is closed when this router begins to leave.
	left chan struct{}

	mu     sync.Mutex
	listed map[fleet.HostID]fleet.Host
	heard  map[fleet.HostID]heard

	// lease is used by Run only.
	lease port.LeaseID
}

// heard is the last beat of a router.
type heard struct {
	beat Beat
	at   time.Time
}

// New makes a router's presence.
func New(self fleet.Host, store port.Store, logger *log.Logger) *Presence {
	return &Presence{
		self: self, store: store, log: logger, listed: map[fleet.HostID]fleet.Host{}, heard: map[fleet.HostID]heard{},
		left: make(chan struct{}),
	}
}

// Join connects the presence to other routers.
func (p *Presence) Join(transport port.Peers) {
	p.transport = transport
	transport.Handle(methodBeat, p.answerBeat)
}

// Observe takes changes of the store.
func (p *Presence) Observe(changes []replica.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, change := range changes {
		id, ours := strings.CutPrefix(change.Entry.Key, prefix)
		if !ours {
			continue
		}
		if change.Deleted {
			p.log.Info("router no longer listed", "peer", id, "revision", change.Entry.Revision)
			delete(p.listed, fleet.HostID(id))
			continue
		}
		var host fleet.Host
		if err := json.Unmarshal(change.Entry.Value, &host); err != nil {
			p.log.Warn("unreadable router entry", "key", change.Entry.Key, "err", err)
			continue
		}
		if _, found := p.listed[host.ID]; !found {
			p.log.Info("router listed", "peer", id, "address", host.HTTPAddress, "revision", change.Entry.Revision)
		}
		p.listed[host.ID] = host
	}
}

// Router implements peer.Directory.
func (p *Presence) Router(id fleet.HostID) (fleet.Host, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if host, found := p.listed[id]; found {
		return host, true
	}
	last, found := p.heard[id]
	return last.beat.Host, found && time.Since(last.at) < leaseTime
}

// Leave tells the others that this router stops. It is called once.
func (p *Presence) Leave() {
	p.leaving.Store(true)
	close(p.left)
}

// Leaving tells whether this router stops.
func (p *Presence) Leaving() bool { return p.leaving.Load() }

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
		if last.beat.Leaving {
			delete(known, id)
			continue
		}
		if now.Sub(last.at) < silentAfter {
			known[id], alive[id] = last.beat.Host, last.beat.Host
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

// watchersKey names the duty of watching the store in the routers' rendezvous order.
const watchersKey = "store watcher"

// Watchers returns the routers of this one's data centre that watch the store for it, and whether
// it is one of them. In a small fleet all watch. In a large one the square root of a data
// centre's routers do, so that both the store's calls and what a watcher passes on stay few.
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
	for _, id := range order[:int(math.Ceil(math.Sqrt(float64(len(order)))))] {
		if fleet.HostID(id) == p.self.ID {
			return nil, true
		}
		watchers = append(watchers, fleet.HostID(id))
	}
	return watchers, false
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

// Run keeps the router known until ctx ends.
func (p *Presence) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { p.every(ctx, beatInterval, p.sendBeats) })
	parts.Go(func() { p.every(ctx, renewInterval, p.renew) })
	parts.Wait()
}

// every repeats do until ctx ends, and once more as soon as the router leaves.
func (p *Presence) every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	do(ctx)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	left := p.left
	for {
		select {
		case <-ticker.C:
		case <-left:
			left = nil
		case <-ctx.Done():
			return
		}
		do(ctx)
	}
}

// renew keeps the entry in the store, or removes it once the router leaves.
func (p *Presence) renew(ctx context.Context) {
	if p.leaving.Load() {
		p.withdraw(ctx)
		return
	}
	if p.lease != 0 {
		left, err := p.store.KeepAlive(ctx, p.lease)
		if err != nil {
			p.log.Warn("lease not renewed", "lease", p.lease, "err", err)
			return
		}
		if left > 0 {
			return
		}
		p.log.Info("lease lapsed", "lease", p.lease)
	}
	p.register(ctx)
}

func (p *Presence) register(ctx context.Context) {
	lease, err := p.store.GrantLease(ctx, leaseTime)
	if err != nil {
		p.log.Warn("no lease", "err", err)
		return
	}
	value, err := json.Marshal(p.self)
	if err != nil {
		panic("a host that can't be encoded: " + err.Error())
	}
	write := port.Write{Key: prefix + string(p.self.ID), Value: value, Lease: lease}
	if _, err := p.store.Commit(ctx, port.Transaction{Writes: []port.Write{write}}); err != nil {
		p.log.Warn("router not registered", "lease", lease, "err", err)
		return
	}
	p.lease = lease
	p.log.Info("router registered", "lease", lease)
}

func (p *Presence) withdraw(ctx context.Context) {
	if p.lease == 0 {
		return
	}
	if err := p.store.RevokeLease(ctx, p.lease); err != nil {
		p.log.Warn("router not withdrawn", "lease", p.lease, "err", err)
		return
	}
	p.log.Info("router withdrawn", "lease", p.lease)
	p.lease = 0
}

// beat makes this router's beat.
func (p *Presence) beat() Beat {
	return Beat{Host: p.self, Leaving: p.leaving.Load()}
}

// sendBeats exchanges beats with the routers whose id comes after this one's: the others begin
// the exchange themselves. A leaving router tells all.
func (p *Presence) sendBeats(ctx context.Context) {
	beat := p.beat()
	for _, id := range p.beatTargets(beat.Leaving) {
		go p.exchange(ctx, id, beat)
	}
}

func (p *Presence) beatTargets(all bool) []fleet.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []fleet.HostID
	for id := range p.listed {
		if id > p.self.ID || (all || len(p.listed) > directFleet) && id != p.self.ID {
			targets = append(targets, id)
		}
	}
	for id, last := range p.heard {
		if _, listed := p.listed[id]; !listed && id > p.self.ID && time.Since(last.at) < leaseTime {
			targets = append(targets, id)
		}
		if time.Since(last.at) > time.Minute {
			delete(p.heard, id)
		}
	}
	if all || len(p.listed) <= directFleet {
		return targets
	}
	return nextOf(targets, p.self.ID, neighbours)
}

// nextOf returns the ids that follow one in a ring.
func nextOf(ids []fleet.HostID, self fleet.HostID, count int) []fleet.HostID {
	slices.Sort(ids)
	first, _ := slices.BinarySearch(ids, self)
	next := make([]fleet.HostID, 0, count)
	for i := range min(count, len(ids)) {
		next = append(next, ids[(first+i)%len(ids)])
	}
	return next
}

func (p *Presence) exchange(ctx context.Context, id fleet.HostID, beat Beat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var answer Beat
	if err := p.transport.Call(ctx, id, methodBeat, beat, &answer); err != nil {
		p.log.Debug("no beat", "peer", id, "err", err)
		return
	}
	p.hear(answer)
}

func (p *Presence) hear(beat Beat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[beat.Host.ID] = heard{beat: beat, at: time.Now()}
}

func (p *Presence) answerBeat(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var beat Beat
	if err := decode(&beat); err != nil {
		return nil, err
	}
	p.hear(beat)
	return p.beat(), nil
}
