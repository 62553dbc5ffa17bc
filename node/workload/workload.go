// Package workload shares between routers what each of them runs on each upstream, and where
// prompts have been read. A router sends its figures as they stand, not their changes, so that a
// lost message is made good by the next; a router that falls silent stops counting.
//
// In a small fleet every router tells all others at once. In a large one that would cost a number
// of messages that grows with the square of the fleet: there each router exchanges its figures
// for the sum of all with one collector, the first router by rendezvous. Nothing depends on the
// collector but how fresh the sum is, so that no agreement is needed on who it is.
package workload

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/warmth"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Times of the exchange.
const (
	// flushPause gathers what changes within it into one message.
	flushPause = 3 * time.Millisecond
	// directFleet is the largest fleet whose routers tell each other directly.
	directFleet = 16
	// collectInterval is the time between two exchanges with the collector.
	collectInterval = 250 * time.Millisecond
	// fullInterval is the time between two messages with all figures.
	fullInterval = 500 * time.Millisecond
	// silentAfter is how long the figures of a silent router count.
	silentAfter = 1600 * time.Millisecond
	// tellTimeout bounds one message.
	tellTimeout = 300 * time.Millisecond
)

// Methods between routers.
const (
	methodTell    = "workload.tell"
	methodWarm    = "workload.warm"
	methodCollect = "workload.collect"
)

// Load is what one or more routers run on an upstream.
type Load struct {
	Running int `msgpack:"r"`
	// PendingPrefill is the number of prompt tokens that the upstream has still to read.
	PendingPrefill int `msgpack:"u,omitempty"`
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
	Warm []warmth.Placement `msgpack:"w,omitempty"`
}

// Peers are the routers that are told.
type Peers interface {
	Others() []fleet.HostID
}

// Workload is one router's part. It is safe for concurrent use.
type Workload struct {
	self      fleet.HostID
	transport port.Peers
	peers     Peers
	log       *log.Logger
	dirty     chan struct{}

	mu sync.Mutex
	// own is what this router runs.
	own map[fleet.UpstreamID]Load
	// others holds the figures of each other router, and total their sum.
	others map[fleet.HostID]*figures
	total  map[fleet.UpstreamID]Load
	warm   *warmth.Map
	// learned is true once the map holds what the fleet knew before this router started.
	learned bool
	// changed and placed wait for the next message.
	changed map[fleet.UpstreamID]bool
	placed  []warmth.Placement
	// collected is the placements that other routers have told this one as their collector.
	collected journal
	// cursor is how far this router has read the journal of its collector.
	cursor    uint64
	collector fleet.HostID
}

// figures is what one router has told.
type figures struct {
	load map[fleet.UpstreamID]Load
	at   time.Time
}

// New makes a router's part.
func New(self fleet.HostID, transport port.Peers, peers Peers, logger *log.Logger) *Workload {
	w := &Workload{
		self: self, transport: transport, peers: peers, log: logger, dirty: make(chan struct{}, 1),
		own: map[fleet.UpstreamID]Load{}, others: map[fleet.HostID]*figures{}, total: map[fleet.UpstreamID]Load{},
		warm: warmth.NewMap(), changed: map[fleet.UpstreamID]bool{},
	}
	transport.Handle(methodTell, w.heard)
	transport.Handle(methodWarm, w.tellWarm)
	transport.Handle(methodCollect, w.collect)
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
		w.warm.Note(part.ID, upstream, now)
		w.placed = append(w.placed, warmth.Placement{Part: part.ID, Engine: upstream})
	}
	w.mu.Unlock()
	w.add(upstream, Load{Running: 1, PendingPrefill: pending})
	return &Ticket{workload: w, upstream: upstream, pending: pending}
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
	sum := w.own[upstream].plus(change)
	if sum == (Load{}) {
		delete(w.own, upstream)
	} else {
		w.own[upstream] = sum
	}
	w.changed[upstream] = true
	w.mu.Unlock()
	select {
	case w.dirty <- struct{}{}:
	default:
	}
}

// Load returns what all routers run on an upstream.
func (w *Workload) Load(upstream fleet.UpstreamID) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own[upstream].plus(w.total[upstream])
}

// Direct tells whether routers tell each other directly, so that figures are milliseconds old.
func (w *Workload) Direct() bool { return len(w.peers.Others()) <= directFleet }

// Cached returns how many tokens of a prompt each upstream need not read.
func (w *Workload) Cached(prompt []warmth.Part) map[fleet.UpstreamID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm.Cached(prompt, time.Now())
}

// Known tells whether any upstream is believed to have a part.
func (w *Workload) Known(part string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warm.Known(part, time.Now())
}

// Forget drops what is believed of the cache of an upstream that has restarted or is gone.
func (w *Workload) Forget(upstream fleet.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.warm.Forget(upstream)
}

// Run tells the other routers until ctx ends.
func (w *Workload) Run(ctx context.Context) {
	full := time.NewTicker(fullInterval)
	defer full.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-full.C:
			w.expire()
			if !w.Direct() {
				w.exchange(ctx)
				continue
			}
			w.tell(ctx, true)
		case <-w.dirty:
			if !w.Direct() {
				time.Sleep(collectInterval)
				w.exchange(ctx)
				continue
			}
			time.Sleep(flushPause)
			w.tell(ctx, false)
		}
	}
}

// take makes the next message.
func (w *Workload) take(full bool) message {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := message{Load: map[fleet.UpstreamID]Load{}, Full: full, Warm: w.placed}
	if full {
		for upstream, load := range w.own {
			m.Load[upstream] = load
		}
	} else {
		for upstream := range w.changed {
			m.Load[upstream] = w.own[upstream]
		}
	}
	w.placed, w.changed = nil, map[fleet.UpstreamID]bool{}
	return m
}

func (w *Workload) tell(ctx context.Context, full bool) {
	m := w.take(full)
	for _, other := range w.peers.Others() {
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

// heard takes the figures of another router.
func (w *Workload) heard(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var m message
	if err := decode(&m); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeFrom(from, m)
	return struct{}{}, nil
}

// takeFrom takes the figures of another router. Callers hold mu.
func (w *Workload) takeFrom(from fleet.HostID, m message) {
	now := time.Now()
	known, found := w.others[from]
	if !found {
		known = &figures{load: map[fleet.UpstreamID]Load{}}
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
	w.warm.Add(m.Warm, now)
}

// replace sets one figure of a router, and the total. Callers hold mu.
func (w *Workload) replace(known *figures, upstream fleet.UpstreamID, load Load) {
	sum := w.total[upstream].plus(load).minus(known.load[upstream])
	if load == (Load{}) {
		delete(known.load, upstream)
	} else {
		known.load[upstream] = load
	}
	if sum == (Load{}) {
		delete(w.total, upstream)
	} else {
		w.total[upstream] = sum
	}
}

// expire drops the figures of silent routers.
func (w *Workload) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for from, known := range w.others {
		if time.Since(known.at) <= silentAfter {
			continue
		}
		for upstream := range known.load {
			w.replace(known, upstream, Load{})
		}
		delete(w.others, from)
	}
}
