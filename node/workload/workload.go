// Package workload shares between routers the load that each of them puts on each upstream, and
// which engines have which parts of prompts cached. A router publishes absolute values instead of
// changes, so that the next message makes up for a lost one. The load of an unresponsive router is
// removed after a timeout.
//
// In a small fleet every router publishes to all others directly. In a large one some routers are
// relays (core/dissemination): each aggregates the load of the routers near it, publishes the sum
// to the other relays, and returns the sum of the whole fleet to its routers. Only the freshness
// of that sum depends on the relays, so the routers need not agree on which of them are relays.
package workload

import (
	"context"
	"slices"
	"sync"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/departure"
	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
	"agateswitch/core/warmth"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Intervals and timeouts of publication.
const (
	// directBatchDelay is the time over which changes are batched into one message.
	directBatchDelay = 3 * time.Millisecond
	// fullPublishInterval is the time after which a message has the load of all upstreams again.
	fullPublishInterval = 500 * time.Millisecond
	// staleTimeout is how long the load of an unresponsive router counts.
	staleTimeout = 1600 * time.Millisecond
	// completionTime is how long a router that becomes a relay takes to get the load of all others.
	completionTime = fullPublishInterval + 200*time.Millisecond
	// messageTimeout bounds one message to a router.
	messageTimeout = 300 * time.Millisecond
	// bootstrapTimeout bounds one bootstrap request, whose response has some 100 kB.
	bootstrapTimeout = 1500 * time.Millisecond
)

// Methods of the peer protocol.
const (
	methodPublish       = "workload.tell"
	methodBootstrap     = "workload.warm"
	methodRelayExchange = "workload.gather"
)

// Load is the load that one or more routers put on an upstream.
type Load struct {
	//lint:ignore U1000 The msgpack library reads this tag.
	_msgpack struct{} `msgpack:",as_array"`
	Running  int
	// PendingPrefill is the number of prompt tokens that the upstream still has to read.
	PendingPrefill int
}

func (l Load) plus(other Load) Load {
	return Load{Running: l.Running + other.Running, PendingPrefill: l.PendingPrefill + other.PendingPrefill}
}

func (l Load) minus(other Load) Load {
	return Load{Running: l.Running - other.Running, PendingPrefill: l.PendingPrefill - other.PendingPrefill}
}

// message is what a router publishes to other routers, or sends to its relay.
type message struct {
	Load map[fleet.UpstreamID]Load `msgpack:"l,omitempty"`
	// Full is true when Load contains all upstreams on which the router runs requests.
	Full bool `msgpack:"f,omitempty"`
	// CachedParts lists the parts of prompts that upstreams have read since the last message.
	CachedParts []warmth.CachedPart `msgpack:"w,omitempty"`
	// Leaving lists the upstreams that have said lately that they leave.
	Leaving []departure.Mark `msgpack:"d,omitempty"`
	// Displaced lists the upstreams at whose addresses others have answered lately. Earlier versions neither send nor read it.
	Displaced []departure.Displacement `msgpack:"y,omitempty"`
	// RateLimits lists the rate limits of upstreams that have changed.
	RateLimits []ratelimit.Mark `msgpack:"r,omitempty"`
	// Brittle lists the upstreams that have become brittle, or sound again.
	Brittle []ratelimit.Mark `msgpack:"b,omitempty"`
	// WorkTimes lists how long work takes at upstreams that state it. Earlier versions neither send nor read it.
	WorkTimes []balance.WorkTimeMark `msgpack:"v,omitempty"`
}

// Peers provides the other routers.
type Peers interface {
	Others() []fleet.HostID
	// Nearest returns them in the order in which to request large data from them.
	Nearest() []fleet.HostID
	// Relays returns this router's relay plan.
	Relays() dissemination.RelayPlan
}

// Workload is one router's view of the load and the cached parts. It is safe for concurrent use.
type Workload struct {
	self      fleet.HostID
	transport port.Peers
	peers     Peers
	log       *log.Logger
	// dirty is notified when the load has changed.
	dirty chan struct{}
	// relayExchangeDue is notified when an exchange with the relay is due.
	relayExchangeDue chan struct{}
	// fullPublishDue is notified when a full message is due.
	fullPublishDue chan struct{}

	mu sync.Mutex
	// own is the load that this router puts on each upstream.
	own map[fleet.UpstreamID]Load
	// peerLoads holds the load received from each router, and total its sum; on a router that is
	// no relay, total comes from the relay. relayedTotal is the sum over the routers that this
	// router is a relay for.
	peerLoads    map[fleet.HostID]*peerLoad
	total        map[fleet.UpstreamID]Load
	relayedTotal map[fleet.UpstreamID]Load
	// formerTotal is the total from before this router became a relay, which counts until completeAt: by then the other
	// relays have published everything to it.
	formerTotal map[fleet.UpstreamID]Load
	completeAt  time.Time
	warm        *warmth.Map
	// bootstrapped is true once warm contains what the fleet knew before this router started.
	bootstrapped bool
	// leaving holds the upstreams that leave according to their answers to any router, and onLeaving
	// receives those that another router has told.
	leaving   departure.Marks
	displaced departure.Displacements
	onLeaving func(departure.Mark)
	// limits holds the rate limits that upstreams have stated to any router.
	limits ratelimit.Marks
	// brittle holds how many requests per second brittle upstreams turn away without falling over.
	brittle ratelimit.Marks
	// workTimes holds how long work takes at upstreams that state it.
	workTimes balance.WorkTimes
	// updatedAt is when the load of others last arrived; zero if it never did.
	updatedAt time.Time
	// changed and pendingParts hold what the next message is to contain.
	changed      map[fleet.UpstreamID]bool
	pendingParts []warmth.CachedPart
	// recentParts holds the parts that a relay forwards to its routers.
	recentParts journal
	// relay is the relay in use, and cursor this router's position in the relay's journal.
	// relayRetryAt is the time until which a relay that did not answer is not tried again.
	relay        fleet.HostID
	cursor       uint64
	relayRetryAt map[fleet.HostID]time.Time
	// countedBy is the relay that counts this router's load, and formerRelay one that still does although another one has
	// taken over. They are empty if there is none.
	countedBy, formerRelay fleet.HostID
	// unheardByRelay is the number of relays that this router's relay does not hear.
	unheardByRelay int
	// publishedTo are the relays to which this router has published last, and formerPeers those that still count what it
	// published as a relay although it no longer is one.
	publishedTo, formerPeers []fleet.HostID
	// isRelay and isDirect are this router's role in the last relay plan.
	isRelay, isDirect bool
}

// New returns the workload of a router and registers its peer methods.
func New(self fleet.HostID, transport port.Peers, peers Peers, logger *log.Logger) *Workload {
	w := &Workload{
		self: self, transport: transport, peers: peers, log: logger, dirty: make(chan struct{}, 1), relayExchangeDue: make(chan struct{}, 1), fullPublishDue: make(chan struct{}, 1),
		own: map[fleet.UpstreamID]Load{}, peerLoads: map[fleet.HostID]*peerLoad{}, total: map[fleet.UpstreamID]Load{},
		relayedTotal: map[fleet.UpstreamID]Load{}, relayRetryAt: map[fleet.HostID]time.Time{},
		onLeaving: func(departure.Mark) {}, warm: warmth.NewMap(), changed: map[fleet.UpstreamID]bool{}, isRelay: true, isDirect: true,
		completeAt: time.Now().Add(completionTime),
	}
	transport.Handle(methodPublish, w.handlePublish)
	transport.Handle(methodBootstrap, w.handleBootstrap)
	transport.Handle(methodRelayExchange, w.handleRelayExchange)
	return w
}

// Ticket is a running request.
type Ticket struct {
	workload *Workload
	upstream fleet.UpstreamID
	pending  int
}

// Start counts a request that is sent to an upstream, which has to read pending tokens of
// its prompt. From then on the parts are assumed to be cached on the upstream.
func (w *Workload) Start(upstream fleet.UpstreamID, pending int, parts []warmth.Part) *Ticket {
	w.mu.Lock()
	now := time.Now()
	for _, part := range parts {
		w.recordUse(part.ID, upstream, now)
	}
	w.mu.Unlock()
	w.add(upstream, Load{Running: 1, PendingPrefill: pending})
	return &Ticket{workload: w, upstream: upstream, pending: pending}
}

// recordUse records the use of a part on an upstream, and queues it for publication unless that
// was done recently. A small fleet publishes every use, which soon makes up for lost messages; in
// a large one that takes too much bandwidth. Callers hold mu.
func (w *Workload) recordUse(part string, upstream fleet.UpstreamID, now time.Time) {
	republishAfter := warmth.RepublishAfter
	if w.isDirect {
		republishAfter = 0
	}
	if w.warm.RecordUse(part, upstream, now, republishAfter) {
		w.enqueueParts(warmth.CachedPart{Part: part, Engine: upstream})
	}
}

// enqueueParts queues cached parts for the next messages. Callers hold mu.
func (w *Workload) enqueueParts(parts ...warmth.CachedPart) {
	w.pendingParts = append(w.pendingParts, parts...)
	if excess := len(w.pendingParts) - maxPendingParts; excess > 0 {
		w.pendingParts = slices.Clone(w.pendingParts[excess:])
	}
}

// EndPrefill records that the upstream has read the prompt.
func (t *Ticket) EndPrefill() {
	if t.pending > 0 {
		t.workload.add(t.upstream, Load{PendingPrefill: -t.pending})
		t.pending = 0
	}
}

// End records that the request has ended.
func (t *Ticket) End() {
	t.workload.add(t.upstream, Load{Running: -1, PendingPrefill: -t.pending})
	t.pending = 0
}

func (w *Workload) add(upstream fleet.UpstreamID, change Load) {
	w.mu.Lock()
	addLoad(w.own, upstream, change)
	w.changed[upstream] = true
	w.mu.Unlock()
	w.notifyChange()
}

// notifyChange makes Run publish what has changed.
func (w *Workload) notifyChange() { notify(w.dirty) }

// Load returns the load that all routers together put on an upstream.
func (w *Workload) Load(upstream fleet.UpstreamID) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	others := w.total[upstream]
	if former := w.formerTotal[upstream]; former.Running > others.Running && w.isCompleting(time.Now()) {
		others = former
	}
	return w.own[upstream].plus(others)
}

// Age returns the time since the load of others last arrived. It was some tenths of a second old then in a large fleet. It reports
// false if none has arrived yet.
func (w *Workload) Age() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	isUnknown := w.updatedAt.IsZero() || w.isCompleting(now) && len(w.formerTotal) == 0
	return now.Sub(w.updatedAt), !isUnknown
}

// isCompleting reports whether this router is a relay that has not got the load of all others yet. Callers hold mu.
func (w *Workload) isCompleting(now time.Time) bool {
	return w.isRelay && !w.isDirect && now.Before(w.completeAt)
}

// IsDirect reports whether routers publish to each other directly. Load values are then only
// milliseconds old.
func (w *Workload) IsDirect() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isDirect
}

// CachedTokens returns how many tokens of a prompt each upstream has cached.
func (w *Workload) CachedTokens(prompt []warmth.Part) map[fleet.UpstreamID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm.CachedTokens(prompt, time.Now())
}

// IsCached reports whether any upstream is assumed to have a part cached.
func (w *Workload) IsCached(part string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm.HasPart(part, time.Now())
}

// RemoveCached removes the cached parts of an upstream that has restarted or departed.
func (w *Workload) RemoveCached(upstream fleet.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.warm.RemoveEngine(upstream)
}

// Run publishes to the other routers, or exchanges with a relay, until ctx ends.
func (w *Workload) Run(ctx context.Context) {
	fullTimer := time.AfterFunc(fullPublishInterval, func() { notify(w.fullPublishDue) })
	defer fullTimer.Stop()
	var lastFull time.Time
	for {
		plan := w.updatePlan()
		w.withdraw(ctx)
		// A relay publishes changes; the other routers exchange with their relay at intervals.
		dirty := w.dirty
		var relayTimer *time.Timer
		if !plan.IsRelay() {
			dirty = nil
			relayTimer = time.AfterFunc(relayExchangeInterval, func() { notify(w.relayExchangeDue) })
		}
		select {
		case <-ctx.Done():
			return
		case <-w.fullPublishDue:
			fullTimer.Reset(fullPublishInterval)
			w.removeStalePeers()
			if plan.IsRelay() && time.Since(lastFull) >= fullPublishInterval {
				w.publish(ctx, plan.Others, true)
				lastFull = time.Now()
			}
		case <-w.relayExchangeDue:
			if !plan.IsRelay() {
				w.exchangeWithRelay(ctx, plan.Near)
			}
		case <-dirty:
			time.Sleep(w.batchDelay(plan))
			// A relay that publishes often makes one of its messages a full one instead of adding one.
			full := !plan.Direct && time.Since(lastFull) >= fullPublishInterval
			w.publish(ctx, plan.Others, full)
			if full {
				lastFull = time.Now()
			}
		}
		if relayTimer != nil {
			relayTimer.Stop()
		}
	}
}

// notify sends to a channel of capacity one, unless a notification is already pending.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// batchDelay returns the time over which changes are batched into one message.
func (w *Workload) batchDelay(plan dissemination.RelayPlan) time.Duration {
	if plan.Direct {
		return directBatchDelay
	}
	return relayBatchDelay * time.Duration(len(plan.Others))
}

// updatePlan updates this router's role. While hosts are replaced, routers differ in which of them are relays: a router that others
// use as a relay is one, and a relay publishes to all that publish to it.
func (w *Workload) updatePlan() dissemination.RelayPlan {
	plan := w.peers.Relays()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDirect = plan.Direct
	now := time.Now()
	w.setRelay(plan.IsRelay() || w.hasMembers(now), now)
	if !w.isRelay || plan.Direct {
		return plan
	}
	return dissemination.RelayPlan{Others: w.withPublishers(plan.Others, now)}
}

// hasMembers reports whether other routers use this one as their relay. Callers hold mu.
func (w *Workload) hasMembers(now time.Time) bool {
	for _, peer := range w.peerLoads {
		if peer.isRelayed && now.Sub(peer.receivedAt) <= staleTimeout {
			return true
		}
	}
	return false
}

// withPublishers returns the relays of a plan and the routers that publish to this one like relays. Callers hold mu.
func (w *Workload) withPublishers(planned []fleet.HostID, now time.Time) []fleet.HostID {
	relays := slices.Clone(planned)
	for id, peer := range w.peerLoads {
		if !peer.isRelayed && now.Sub(peer.receivedAt) <= staleTimeout && !slices.Contains(planned, id) {
			relays = append(relays, id)
		}
	}
	return relays
}

// setRelay changes this router's role, which discards the load received in the former one. Callers hold mu.
func (w *Workload) setRelay(isRelay bool, now time.Time) {
	if w.isRelay == isRelay {
		return
	}
	w.isRelay = isRelay
	w.setCountedBy("")
	w.formerPeers, w.publishedTo = w.publishedTo, nil
	w.formerTotal, w.completeAt = w.total, now.Add(completionTime)
	w.peerLoads, w.relay = map[fleet.HostID]*peerLoad{}, ""
	w.total, w.relayedTotal = map[fleet.UpstreamID]Load{}, map[fleet.UpstreamID]Load{}
	w.log.Info("workload relay role changed", "relay", isRelay)
}
