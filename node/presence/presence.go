// Package presence registers a router with the others and tracks which of them are alive, by an
// entry in the store under a lease and by heartbeats between routers.
package presence

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Parameters of registration and heartbeats.
const (
	// heardTimeout is how long a router without an entry in the store counts as a member after its
	// last heartbeat.
	heardTimeout = 2500 * time.Millisecond
	// leaseCheckInterval is the time between two checks whether the lease has to be renewed, or the
	// entry to be written again.
	leaseCheckInterval = 800 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats to a router.
	heartbeatInterval = 500 * time.Millisecond
	// neighbourHeartbeatAge is the age of a neighbour's last heartbeat after which a large fleet's router
	// sends it another one, at its next heartbeatInterval. One that has not answered gets one at each.
	neighbourHeartbeatAge = 1200 * time.Millisecond
	// heartbeatTimeout bounds one exchange of heartbeats.
	heartbeatTimeout = 400 * time.Millisecond
	// unresponsiveTimeout is the time without a heartbeat after which a router is no longer listed
	// as an entry host: three heartbeats, so that one lost packet does not move callers.
	unresponsiveTimeout = 1800 * time.Millisecond
	// maxDirectFleetSize is the size of the largest fleet whose routers all exchange heartbeats. In
	// a larger one each router sends heartbeats to its neighbours, and the entries in the store
	// determine which routers are alive. Those of routers that do not answer their neighbours are
	// removed by them.
	maxDirectFleetSize = 16
	// heartbeatNeighbours is how many routers a router sends heartbeats to in a large fleet. When a
	// third of the routers fail at once, all neighbours of one in a thousand are among them.
	heartbeatNeighbours = 6
)

// RouterKeyPrefix is the prefix of the routers' keys in the store.
const RouterKeyPrefix = "agateswitch/router/"

// methodHeartbeat exchanges heartbeats with another router.
const methodHeartbeat = "presence.heartbeat"

// Presence tracks the routers of the fleet for one of them. It is safe for concurrent use.
type Presence struct {
	self      fleet.Host
	store     port.Store
	transport port.Peers
	log       *log.Logger
	leaving   atomic.Bool

	// leaveStarted is closed when this router begins to leave.
	leaveStarted chan struct{}

	mu sync.Mutex
	// listed holds the routers with an entry in the store, and heartbeats the last heartbeat of each
	// router.
	listed     map[fleet.HostID]fleet.Host
	heartbeats map[fleet.HostID]receivedHeartbeat
	// revisions holds the revisions of the entries in the store, and outliving those that may stay there for long after
	// their router has failed.
	revisions map[fleet.HostID]revision.Revision
	outliving map[fleet.HostID]bool
	// monitored holds since when each neighbour has been sent heartbeats, and suspected those that
	// are being checked because they do not answer.
	monitored map[fleet.HostID]time.Time
	suspected map[fleet.HostID]bool
	// answering holds the routers with an entry that answer roll calls, and roll the state of roll calls.
	answering map[fleet.HostID]bool
	roll      rollCall
	// largeAt is when the fleet was last too large for heartbeats between all.
	largeAt time.Time
	// removedAt holds when this router last removed the entry of each neighbour.
	removedAt map[fleet.HostID]time.Time
	// entryLost is true when the store has lost this router's entry although it lives.
	entryLost bool

	// isolated is true while no neighbour answers, and callingRoll while a roll call is in progress.
	isolated, callingRoll atomic.Bool
	// rollCalled has an element when a roll call has arrived.
	rollCalled chan struct{}

	// lastPlans holds the last plans of a large fleet, and entryChanges counts the changes of entries.
	lastPlans    atomic.Pointer[plans]
	entryChanges atomic.Int64

	// registration is used by Run only.
	registration registration
}

// New returns the presence of a router, which doesn't know any other router yet.
func New(self fleet.Host, store port.Store, logger *log.Logger) *Presence {
	return &Presence{
		self: self, store: store, log: logger, listed: map[fleet.HostID]fleet.Host{}, heartbeats: map[fleet.HostID]receivedHeartbeat{},
		revisions: map[fleet.HostID]revision.Revision{}, outliving: map[fleet.HostID]bool{}, monitored: map[fleet.HostID]time.Time{}, suspected: map[fleet.HostID]bool{},
		removedAt: map[fleet.HostID]time.Time{}, answering: map[fleet.HostID]bool{}, rollCalled: make(chan struct{}, 1),
		leaveStarted: make(chan struct{}),
	}
}

// Join sets the transport to the other routers, and registers the peer method.
func (p *Presence) Join(transport port.Peers) {
	p.transport = transport
	transport.Handle(methodHeartbeat, p.handleHeartbeat)
}

// Observe applies changes of the store.
func (p *Presence) Observe(changes []replica.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.entryChanges.Add(1)
	for _, change := range changes {
		id, isRouter := strings.CutPrefix(change.Entry.Key, RouterKeyPrefix)
		if !isRouter {
			continue
		}
		if change.Entry.Key == rollCallKey {
			p.observeRollCall(change)
			continue
		}
		if change.Deleted {
			p.log.Info("router no longer listed", "peer", id, "revision", change.Entry.Revision)
			p.dropEntry(fleet.HostID(id))
			p.entryLost = p.entryLost || fleet.HostID(id) == p.self.ID
			continue
		}
		entry, err := decodeRouter(id, change.Entry.Value)
		host := entry.Host
		if err != nil {
			p.log.Warn("failed to decode a router entry; ignoring it", "key", change.Entry.Key, "err", err)
			continue
		}
		if p.heartbeats[host.ID].heartbeat.Leaving && p.isNewEntry(host.ID, change.Entry.Revision) {
			// A router removes its entry when it leaves, so that this one is of its next process.
			delete(p.heartbeats, host.ID)
		}
		if _, found := p.listed[host.ID]; !found {
			p.log.Info("router listed", "peer", id, "address", host.HTTPAddress, "revision", change.Entry.Revision)
		}
		p.listed[host.ID], p.revisions[host.ID] = host, change.Entry.Revision
		setMember(p.outliving, host.ID, entry.outlives())
		setMember(p.answering, host.ID, entry.AnswersRollCalls)
		p.entryLost = p.entryLost && host.ID != p.self.ID
	}
}

// dropEntry removes the entry of a router. Callers hold mu.
func (p *Presence) dropEntry(id fleet.HostID) {
	if len(p.listed) > maxDirectFleetSize {
		p.largeAt = time.Now()
	}
	delete(p.listed, id)
	delete(p.revisions, id)
	delete(p.outliving, id)
	delete(p.answering, id)
}

// setMember adds a router to a set or removes it.
func setMember(set map[fleet.HostID]bool, id fleet.HostID, isMember bool) {
	delete(set, id)
	if isMember {
		set[id] = true
	}
}

// isNewEntry reports whether an entry of a router was written after the known one. Callers hold mu.
func (p *Presence) isNewEntry(id fleet.HostID, written revision.Revision) bool {
	known, found := p.revisions[id]
	return !found || written.After(known)
}

// Leave starts this router's departure: its heartbeats report it as leaving, and its entry is
// removed from the store. It must be called only once.
func (p *Presence) Leave() {
	p.leaving.Store(true)
	close(p.leaveStarted)
}

// Leaving reports whether this router is leaving.
func (p *Presence) Leaving() bool { return p.leaving.Load() }

// Run sends heartbeats and keeps the router registered until ctx ends.
func (p *Presence) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { p.runEvery(ctx, heartbeatInterval, nil, p.sendHeartbeats) })
	loops.Go(func() { p.runEvery(ctx, leaseCheckInterval, p.rollCalled, p.renewRegistration) })
	loops.Wait()
}

// runEvery calls do at an interval until ctx ends, and once more as soon as the router leaves or due has an element.
func (p *Presence) runEvery(ctx context.Context, interval time.Duration, due <-chan struct{}, do func(context.Context)) {
	do(ctx)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	leaveStarted := p.leaveStarted
	for {
		select {
		case <-ticker.C:
		case <-due:
		case <-leaveStarted:
			leaveStarted = nil
		case <-ctx.Done():
			return
		}
		do(ctx)
	}
}
