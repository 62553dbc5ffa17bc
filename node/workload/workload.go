// Package workload shares between routers what each of them runs on each upstream, and where
// prompts have been read. A router sends its figures as they stand, not their changes, so that a
// lost message is made good by the next; a router that falls silent stops counting.
//
// In a small fleet every router tells all others at once. In a large one some routers are relays
// (core/dissemination): each gathers the figures of routers near it, tells the other relays their
// sum, and gives its routers the sum of all. Nothing depends on a relay but how fresh that sum is,
// so that no agreement is needed on who is one.
package workload

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/warmth"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Times of the exchange.
const (
	// flushPause gathers what changes within it into one message.
	flushPause = 3 * time.Millisecond
	// fullInterval is the time between two messages with all figures.
	fullInterval = 500 * time.Millisecond
	// silentAfter is how long the figures of a silent router count.
	silentAfter = 1600 * time.Millisecond
	// tellTimeout bounds one message.
	tellTimeout = 300 * time.Millisecond
)

// Methods between routers.
const (
	methodTell   = "workload.tell"
	methodWarm   = "workload.warm"
	methodGather = "workload.gather"
)

// Load is what one or more routers run on an upstream.
type Load struct {
	//lint:ignore U1000 The msgpack library reads this tag.
	_msgpack struct{} `msgpack:",as_array"`
	Running  int
	// PendingPrefill is the number of prompt tokens that the upstream has still to read.
	PendingPrefill int
}

func (l Load) plus(other Load) Load {
	return Load{Running: l.Running + other.Running, PendingPrefill: l.PendingPrefill + other.PendingPrefill}
}

func (l Load) minus(other Load) Load {
	return Load{Running: l.Running - other.Running, PendingPrefill: l.PendingPrefill - other.PendingPrefill}
}

// message is what a router tells.
type message struct {
	Load map[fleet.UpstreamID]Load `msgpack:"l,omitempty"`
	// Full is true when Load holds all upstreams on which the router runs requests.
	Full bool `msgpack:"f,omitempty"`
	// Warm holds the parts of prompts that upstreams read since the last message.
	Warm []warmth.CachedPart `msgpack:"w,omitempty"`
}

// Peers are the other routers.
type Peers interface {
	Others() []fleet.HostID
	// Nearest returns them in the order in which to ask them for something large.
	Nearest() []fleet.HostID
	// Relays is this router's place among the relays.
	Relays() dissemination.RelayPlan
}

// Workload is one router's part. It is safe for concurrent use.
type Workload struct {
	self      fleet.HostID
	transport port.Peers
	peers     Peers
	log       *log.Logger
	dirty     chan struct{}
	// due tells that the relay is to be asked.
	due chan struct{}
	// fullDue tells that all figures are to be told.
	fullDue chan struct{}

	mu sync.Mutex
	// own is what this router runs.
	own map[fleet.UpstreamID]Load
	// others holds the figures that other routers have told, and total their sum, or what the
	// relay has told in its place. gatheredSum is the sum of those that this router is a relay of.
	others      map[fleet.HostID]*figures
	total       map[fleet.UpstreamID]Load
	gatheredSum map[fleet.UpstreamID]Load
	warm        *warmth.Map
	// learned is true once the map holds what the fleet knew before this router started.
	learned bool
	// changed and placed wait for the next message.
	changed map[fleet.UpstreamID]bool
	placed  []warmth.CachedPart
	// heard holds what a relay passes on to its routers.
	heard journal
	// relay is the one that this router turns to, cursor how far it has read its journal, and
	// avoided until when those are left alone that did not answer.
	relay   fleet.HostID
	cursor  uint64
	avoided map[fleet.HostID]time.Time
	// isRelay and isDirect are this router's place when it last looked.
	isRelay, isDirect bool
}

// figures is what one router has told.
type figures struct {
	load map[fleet.UpstreamID]Load
	at   time.Time
	// gathered is true when this router is the other one's relay.
	gathered bool
}

// New makes a router's part.
func New(self fleet.HostID, transport port.Peers, peers Peers, logger *log.Logger) *Workload {
	w := &Workload{
		self: self, transport: transport, peers: peers, log: logger, dirty: make(chan struct{}, 1), due: make(chan struct{}, 1), fullDue: make(chan struct{}, 1),
		own: map[fleet.UpstreamID]Load{}, others: map[fleet.HostID]*figures{}, total: map[fleet.UpstreamID]Load{},
		gatheredSum: map[fleet.UpstreamID]Load{}, avoided: map[fleet.HostID]time.Time{},
		warm: warmth.NewMap(), changed: map[fleet.UpstreamID]bool{}, isRelay: true, isDirect: true,
	}
	transport.Handle(methodTell, w.told)
	transport.Handle(methodWarm, w.tellWarm)
	transport.Handle(methodGather, w.gathered)
	return w
}

// Ticket is a running request.
type Ticket struct {
	workload *Workload
	upstream fleet.UpstreamID
	pending  int
}

// Start counts a request that is sent to an upstream, which has to read pending tokens of
// its prompt. From then on the upstream is taken to have the parts.
func (w *Workload) Start(upstream fleet.UpstreamID, pending int, parts []warmth.Part) *Ticket {
	w.mu.Lock()
	now := time.Now()
	for _, part := range parts {
		w.use(part.ID, upstream, now)
	}
	w.mu.Unlock()
	w.add(upstream, Load{Running: 1, PendingPrefill: pending})
	return &Ticket{workload: w, upstream: upstream, pending: pending}
}

// use notes a part, and tells other routers. A small fleet tells each use, which makes good for
// lost messages soon; a large one has not the bytes. Callers hold mu.
func (w *Workload) use(part string, upstream fleet.UpstreamID, now time.Time) {
	renewAfter := warmth.RepublishAfter
	if w.isDirect {
		renewAfter = 0
	}
	if w.warm.RecordUse(part, upstream, now, renewAfter) {
		w.place(warmth.CachedPart{Part: part, Engine: upstream})
	}
}

// place keeps placements for the next messages. Callers hold mu.
func (w *Workload) place(placements ...warmth.CachedPart) {
	w.placed = append(w.placed, placements...)
	if excess := len(w.placed) - maxUntold; excess > 0 {
		w.placed = slices.Clone(w.placed[excess:])
	}
}

// Read notes that the upstream has read the prompt.
func (t *Ticket) Read() {
	if t.pending > 0 {
		t.workload.add(t.upstream, Load{PendingPrefill: -t.pending})
		t.pending = 0
	}
}

// End notes that the request has ended.
func (t *Ticket) End() {
	t.workload.add(t.upstream, Load{Running: -1, PendingPrefill: -t.pending})
	t.pending = 0
}

func (w *Workload) add(upstream fleet.UpstreamID, change Load) {
	w.mu.Lock()
	addTo(w.own, upstream, change)
	w.changed[upstream] = true
	w.mu.Unlock()
	w.wake()
}

// wake makes Run tell what has changed.
func (w *Workload) wake() { signal(w.dirty) }

// Load returns what all routers run on an upstream.
func (w *Workload) Load(upstream fleet.UpstreamID) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own[upstream].plus(w.total[upstream])
}

// Direct tells whether routers tell each other directly, so that figures are milliseconds old.
func (w *Workload) Direct() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isDirect
}

// Cached returns how many tokens of a prompt each upstream need not read.
func (w *Workload) Cached(prompt []warmth.Part) map[fleet.UpstreamID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm.CachedTokens(prompt, time.Now())
}

// Known tells whether any upstream is believed to have a part.
func (w *Workload) Known(part string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm.HasPart(part, time.Now())
}

// Forget drops what is believed of the cache of an upstream that has restarted or is gone.
func (w *Workload) Forget(upstream fleet.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.warm.RemoveEngine(upstream)
}

// Run tells the other routers until ctx ends.
func (w *Workload) Run(ctx context.Context) {
	full := time.AfterFunc(fullInterval, func() { signal(w.fullDue) })
	defer full.Stop()
	for {
		plan := w.plan()
		// A relay tells what has changed, the others ask at intervals.
		dirty := w.dirty
		var gather *time.Timer
		if !plan.IsRelay() {
			dirty = nil
			gather = time.AfterFunc(gatherInterval, func() { signal(w.due) })
		}
		select {
		case <-ctx.Done():
			return
		case <-w.fullDue:
			full.Reset(fullInterval)
			w.expire()
			if plan.IsRelay() {
				w.tell(ctx, plan.Others, true)
			}
		case <-w.due:
			if !plan.IsRelay() {
				w.gather(ctx, plan.Near)
			}
		case <-dirty:
			time.Sleep(w.pause(plan))
			w.tell(ctx, plan.Others, false)
		}
		if gather != nil {
			gather.Stop()
		}
	}
}

// signal wakes whoever waits on a channel with room for one.
func signal(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// pause gathers what changes within it into one message.
func (w *Workload) pause(plan dissemination.RelayPlan) time.Duration {
	if plan.Direct {
		return flushPause
	}
	return relayPause * time.Duration(len(plan.Others))
}

// plan finds this router's place. What it was told in another one does not count any more.
func (w *Workload) plan() dissemination.RelayPlan {
	plan := w.peers.Relays()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isDirect = plan.Direct
	if isRelay := plan.IsRelay(); w.isRelay != isRelay {
		w.isRelay = isRelay
		w.others, w.relay = map[fleet.HostID]*figures{}, ""
		w.total, w.gatheredSum = map[fleet.UpstreamID]Load{}, map[fleet.UpstreamID]Load{}
		w.log.Info("place among the relays of the workload", "relay", isRelay, "others", len(plan.Others), "near", plan.Near)
	}
	return plan
}

// takeOwn makes a router's message to its relay.
func (w *Workload) takeOwn() message {
	w.mu.Lock()
	defer w.mu.Unlock()
	return message{Load: maps.Clone(w.own), Full: true, Warm: w.takePlaced()}
}

// take makes the next message of a relay, for itself and those that it gathers for.
func (w *Workload) take(full bool) message {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := message{Load: map[fleet.UpstreamID]Load{}, Full: full, Warm: w.takePlaced()}
	if full {
		for upstream := range w.own {
			w.changed[upstream] = true
		}
		for upstream := range w.gatheredSum {
			w.changed[upstream] = true
		}
	}
	for upstream := range w.changed {
		m.Load[upstream] = w.own[upstream].plus(w.gatheredSum[upstream])
	}
	w.changed = map[fleet.UpstreamID]bool{}
	if !w.isDirect {
		w.heard.add(m.Warm)
	}
	return m
}

// takePlaced returns the placements for the next message. Callers hold mu.
func (w *Workload) takePlaced() []warmth.CachedPart {
	count := min(len(w.placed), maxPlacements)
	placed := w.placed[:count:count]
	w.placed = w.placed[count:]
	return placed
}

func (w *Workload) tell(ctx context.Context, others []fleet.HostID, full bool) {
	m := w.take(full)
	for _, other := range others {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			var none struct{}
			if err := w.transport.Call(ctx, other, methodTell, m, &none); err != nil {
				w.log.Debug("router not told of the workload", "peer", other, "err", err)
			}
		}()
	}
}

// told takes the figures of another router.
func (w *Workload) told(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var m message
	if err := decode(&m); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeFrom(from, m, false)
	if !w.isDirect {
		w.heard.add(m.Warm)
	}
	return struct{}{}, nil
}

// takeFrom takes the figures of another router. Callers hold mu.
func (w *Workload) takeFrom(from fleet.HostID, m message, gathered bool) {
	now := time.Now()
	known, found := w.others[from]
	if found && known.gathered != gathered {
		w.drop(from, known)
		found = false
	}
	if !found {
		known = &figures{load: map[fleet.UpstreamID]Load{}, gathered: gathered}
		w.others[from] = known
	}
	known.at = now
	if m.Full {
		for upstream := range known.load {
			if _, still := m.Load[upstream]; !still {
				w.replace(known, upstream, Load{})
			}
		}
	}
	for upstream, load := range m.Load {
		w.replace(known, upstream, load)
	}
	w.warm.Merge(m.Warm, now)
}

// replace sets one figure of a router, and the sums. Callers hold mu.
func (w *Workload) replace(known *figures, upstream fleet.UpstreamID, load Load) {
	change := load.minus(known.load[upstream])
	if change == (Load{}) {
		return
	}
	addTo(known.load, upstream, change)
	addTo(w.total, upstream, change)
	if known.gathered {
		addTo(w.gatheredSum, upstream, change)
		w.changed[upstream] = true
	}
}

func addTo(sums map[fleet.UpstreamID]Load, upstream fleet.UpstreamID, change Load) {
	if sum := sums[upstream].plus(change); sum != (Load{}) {
		sums[upstream] = sum
		return
	}
	delete(sums, upstream)
}

// expire drops the figures of silent routers.
func (w *Workload) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for from, known := range w.others {
		if time.Since(known.at) > silentAfter {
			w.drop(from, known)
		}
	}
}

// drop forgets what a router has told. Callers hold mu.
func (w *Workload) drop(from fleet.HostID, known *figures) {
	for upstream := range known.load {
		w.replace(known, upstream, Load{})
	}
	delete(w.others, from)
}
