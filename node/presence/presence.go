// Package presence makes a router known to the others and tells which of them are alive: by an
// entry in the store under a lease, and by heartbeats that routers exchange.
package presence

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
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
	// heartbeatInterval is the time between two heartbeats to a router.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout bounds one exchange of heartbeats.
	heartbeatTimeout = 400 * time.Millisecond
	// silentAfter is how long a router may be silent before it leaves the entry answers: three
	// heartbeats, so that one lost packet does not move callers.
	silentAfter = 1800 * time.Millisecond
	// directFleet is the largest fleet whose routers all exchange heartbeats. In a larger one each
	// sends heartbeats to its next neighbours by id, and the store tells who is alive.
	directFleet = 16
	// neighbours is how many routers get heartbeats in a large fleet.
	neighbours = 4
)

// prefix of the routers' entries in the store.
const prefix = "agateswitch/router/"

const methodHeartbeat = "presence.heartbeat"

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
	transport.Handle(methodHeartbeat, p.answerHeartbeat)
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

// Leave tells the others that this router stops. It is called once.
func (p *Presence) Leave() {
	p.leaving.Store(true)
	close(p.left)
}

// Leaving tells whether this router stops.
func (p *Presence) Leaving() bool { return p.leaving.Load() }

// Run keeps the router known until ctx ends.
func (p *Presence) Run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { p.every(ctx, heartbeatInterval, p.sendHeartbeats) })
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
