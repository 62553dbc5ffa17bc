package replica

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Model of a host: what its link and its processor can bear.
const (
	// slowLinkBytesPerSecond is a link of 10 Mbit/s.
	slowLinkBytesPerSecond = 10e6 / 8
	// slowCores is the processor share of the slowest host.
	slowCores = 0.192
	// chunkBytes is how much of a transfer occupies a link at a time. Transfers take turns.
	chunkBytes = 8 << 10
	// callWork and bytesPerWorkSecond are the processor time of a call and of the bytes that it
	// carries, on a whole core.
	callWork           = 100 * time.Microsecond
	bytesPerWorkSecond = 50e6
)

// link is one direction of a host's network link.
type link struct {
	busy           chan struct{}
	bytesPerSecond float64

	mu      sync.Mutex
	carried int
}

func newLink(bytesPerSecond float64) *link {
	return &link{busy: make(chan struct{}, 1), bytesPerSecond: bytesPerSecond}
}

// carry returns when the link has carried some bytes, or when ctx ends: the rest is not sent then.
func (l *link) carry(ctx context.Context, bytes int) error {
	for bytes > 0 {
		select {
		case l.busy <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		chunk := min(bytes, chunkBytes)
		time.Sleep(time.Duration(float64(chunk) / l.bytesPerSecond * float64(time.Second)))
		<-l.busy
		bytes -= chunk
		l.mu.Lock()
		l.carried += chunk
		l.mu.Unlock()
	}
	return ctx.Err()
}

func (l *link) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

// host is a host of the fleet.
type host struct {
	id       fleet.HostID
	up, down *link
	cores    float64
	// computing holds an element while the processor is in use.
	computing chan struct{}
	fleet     *fakeFleet
	// handlers holds the handlers by method; a host that has just started has none.
	handlersMu sync.Mutex
	handlers   map[string]port.PeerHandler
	// silent is true while the host answers no calls, like one behind a partition.
	silent atomic.Bool
	// isolated is true while the host does not reach the store, and stalled while the store's responses do not
	// reach the host.
	isolated, stalled atomic.Bool
	// era is the highest era of the store that the host has seen.
	era atomic.Int64
	// watches is the number of watches of the store in progress, startedWatches of those that began, and
	// uselessWatches of those that began after their context had ended.
	watches, startedWatches, uselessWatches atomic.Int32
}

// compute uses the processor for a time that is given for a whole core.
func (h *host) compute(work time.Duration) {
	h.computing <- struct{}{}
	time.Sleep(time.Duration(float64(work) / h.cores))
	<-h.computing
}

// add returns a further host of the fleet.
func (f *fakeFleet) add() *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &host{
		id: fleet.HostID(fmt.Sprintf("router-%02d", len(f.hosts))), up: newLink(f.bytesPerSecond), down: newLink(f.bytesPerSecond),
		cores: f.cores, computing: make(chan struct{}, 1), handlers: map[string]port.PeerHandler{}, fleet: f,
	}
	f.hosts = append(f.hosts, h)
	return h
}

func (h *host) computeCall(bytes int) {
	h.compute(callWork + time.Duration(float64(bytes)/bytesPerWorkSecond*float64(time.Second)))
}

// keepBusy occupies a share of the processor, as callers' requests do.
func (h *host) keepBusy(ctx context.Context, share float64) {
	const request = 2 * time.Millisecond
	for ctx.Err() == nil {
		h.compute(request)
		took := float64(request) / h.cores
		sleep(ctx, time.Duration(took/share-took))
	}
}

// fakeFleet is a fleet in one data centre, whose first routers watch the store.
type fakeFleet struct {
	store    *fakeStore
	watchers []fleet.HostID
	// deadline is the routers' deadline for changes.
	deadline time.Duration
	// bytesPerSecond and wholeCores are what each host can bear.
	bytesPerSecond, cores float64

	mu    sync.Mutex
	hosts []*host
}

// all returns the hosts.
func (f *fakeFleet) all() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}

// memberOf is a router's view of the fleet.
type memberOf struct {
	fleet *fakeFleet
	self  fleet.HostID
}

func (m memberOf) Others() []fleet.HostID {
	var others []fleet.HostID
	for _, h := range m.fleet.all() {
		if h.id != m.self {
			others = append(others, h.id)
		}
	}
	return others
}

// Responsive implements Peers.
func (m memberOf) Responsive() []fleet.HostID { return nil }

// AllWatch implements Peers.
func (m memberOf) AllWatch() bool { return false }

func (m memberOf) Watchers() ([]fleet.HostID, bool) {
	for _, id := range m.fleet.watchers {
		if id == m.self {
			return nil, true
		}
	}
	return m.fleet.watchers, false
}

// Handle implements port.Peers.
func (h *host) Handle(method string, handler port.PeerHandler) {
	h.handlersMu.Lock()
	defer h.handlersMu.Unlock()
	h.handlers[method] = handler
}

func (h *host) handler(method string) (port.PeerHandler, bool) {
	h.handlersMu.Lock()
	defer h.handlersMu.Unlock()
	handler, found := h.handlers[method]
	return handler, found
}

// Call implements port.Peers.
func (h *host) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	for _, other := range h.fleet.all() {
		if other.id == to {
			return h.callHost(ctx, other, method, request, response)
		}
	}
	return errors.Trace(port.ErrPeerUnreachable)
}

func (h *host) callHost(ctx context.Context, other *host, method string, request, response any) error {
	if other.silent.Load() {
		<-ctx.Done()
		return errors.Trace(port.ErrPeerUnreachable)
	}
	handler, found := other.handler(method)
	if !found {
		return errors.Trace(port.ErrPeerUnreachable)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	if err := h.up.carry(ctx, len(body)); err != nil {
		return err
	}
	other.computeCall(len(body))
	answer, err := handler(ctx, h.id, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}
	if err := other.up.carry(ctx, len(body)); err != nil {
		return err
	}
	if err := h.down.carry(ctx, len(body)); err != nil {
		return err
	}
	h.computeCall(len(body))
	return msgpack.Unmarshal(body, response)
}

// fakeStore is the store. Its own link is fast unless up is set; those of the hosts limit its responses.
type fakeStore struct {
	up *link

	mu       sync.Mutex
	revision revision.Revision
	entries  map[string]port.Entry
	history  []port.WatchEvent
	// writtenAt holds the times of the changes in history.
	writtenAt []time.Time
	changed   chan struct{}
	// firstNumber is the number before which the store is not restored.
	firstNumber int64
	// cut ends waiting watches when it is closed.
	cut chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: revision.Revision{Number: 1}, entries: map[string]port.Entry{}, changed: make(chan struct{}), cut: make(chan struct{}),
	}
}

// restore takes the store back to its state at a number, in the next era.
func (s *fakeStore) restore(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = map[string]port.Entry{}
	kept := 0
	for kept < len(s.history) && s.history[kept].Entry.Revision.Number <= number {
		event := s.history[kept]
		s.entries[event.Entry.Key] = event.Entry
		if event.Deleted {
			delete(s.entries, event.Entry.Key)
		}
		kept++
	}
	s.history, s.writtenAt = s.history[:kept:kept], s.writtenAt[:kept:kept]
	s.revision = revision.Revision{Era: s.revision.Era + 1, Number: number}
	// The copy has the same numbers, in its own era.
	for i := range s.history {
		s.history[i].Entry.Revision.Era = s.revision.Era
	}
	for key, entry := range s.entries {
		entry.Revision.Era = s.revision.Era
		s.entries[key] = entry
	}
	close(s.cut)
	s.cut = make(chan struct{})
}

// restoreQuietly is restore without an outage: watches go on waiting.
func (s *fakeStore) restoreQuietly(number int64) {
	waiting := s.cutSignal()
	s.mu.Lock()
	s.cut = make(chan struct{})
	s.mu.Unlock()
	s.restore(number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = waiting
}

// remove removes a key.
func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	delete(s.entries, key)
	s.history = append(s.history, port.WatchEvent{Entry: port.Entry{Key: key, Revision: s.revision}, Deleted: true})
	s.writtenAt = append(s.writtenAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches ends all waiting watches with an error.
func (s *fakeStore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *fakeStore) cutSignal() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// put writes a key and returns the store's revision.
func (s *fakeStore) put(key string, value []byte) revision.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	s.entries[key] = port.Entry{Key: key, Value: value, Revision: s.revision}
	s.history = append(s.history, port.WatchEvent{Entry: s.entries[key]})
	s.writtenAt = append(s.writtenAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// nextWrite returns when a key was first written after a revision.
func (s *fakeStore) nextWrite(key string, after revision.Revision) (at time.Time, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, event := range s.history {
		if event.Entry.Key == key && event.Entry.Revision.After(after) {
			return s.writtenAt[i], true
		}
	}
	return time.Time{}, false
}

// Sizes and intervals of the store's responses.
const (
	pageBytes     = 1 << 20
	messageBytes  = 300
	entryOverhead = 100
	watchWait     = 1500 * time.Millisecond
	watchPause    = 500 * time.Millisecond
	watchMargin   = 500 * time.Millisecond
	callTimeout   = time.Second
)

// wireSize returns the size of an entry in a response, which carries the value in base64.
func wireSize(entry port.Entry) int { return entryOverhead + len(entry.Key) + len(entry.Value)*4/3 }

// page returns the first changes under a prefix after a revision that fit into a response, and the
// revision up to which they are complete.
func (s *fakeStore) page(prefix string, after revision.Revision) ([]port.WatchEvent, revision.Revision, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []port.WatchEvent
	size := messageBytes
	for _, event := range s.history {
		if !event.Entry.Revision.After(after) || !strings.HasPrefix(event.Entry.Key, prefix) {
			continue
		}
		if next := size + wireSize(event.Entry); len(events) > 0 && next > pageBytes {
			return events, events[len(events)-1].Entry.Revision, size, s.changed
		}
		events, size = append(events, event), size+wireSize(event.Entry)
	}
	return events, s.revision, size, s.changed
}

// storeOf is the store as one host reaches it.
type storeOf struct {
	port.Store
	store *fakeStore
	host  *host
}

// Era implements port.Eras.
func (s storeOf) Era() int64 { return s.host.era.Load() }

// LearnEra implements port.Eras.
func (s storeOf) LearnEra(era int64) {
	if era > s.host.era.Load() {
		s.host.era.Store(era)
		s.store.cutWatches()
	}
}

// receive carries a response to the host.
func (s storeOf) receive(ctx context.Context, size int) error {
	if s.host.isolated.Load() {
		return errors.Trace(port.ErrUnavailable)
	}
	if s.host.stalled.Load() {
		sleep(ctx, callTimeout)
		return errors.Trace(port.ErrUnavailable)
	}
	for _, l := range []*link{s.store.up, s.host.down} {
		if l == nil {
			continue
		}
		if err := l.carry(ctx, size); err != nil {
			return errors.WithType(err, port.ErrUnavailable)
		}
	}
	s.host.computeCall(size)
	return nil
}

func (s storeOf) Get(ctx context.Context, key string) (port.Entry, error) {
	s.store.mu.Lock()
	entry := s.store.entries[key]
	s.store.mu.Unlock()
	return entry, s.receive(ctx, messageBytes+wireSize(entry))
}

func (s storeOf) List(ctx context.Context, prefix string, visit func(port.Entry)) (revision.Revision, error) {
	s.store.mu.Lock()
	var entries []port.Entry
	size, listedAt := messageBytes, s.store.revision
	s.host.era.Store(max(listedAt.Era, s.host.era.Load()))
	for key, entry := range s.store.entries {
		if strings.HasPrefix(key, prefix) {
			entries, size = append(entries, entry), size+wireSize(entry)
		}
	}
	s.store.mu.Unlock()
	err := s.receive(ctx, size)
	for _, entry := range entries {
		visit(entry)
	}
	return listedAt, err
}

// Commit supports transactions without writes.
func (s storeOf) Commit(ctx context.Context, transaction port.Transaction) (port.CommitResult, error) {
	s.store.mu.Lock()
	if era := s.store.revision.Era; !s.host.isolated.Load() && era > s.host.era.Load() && len(transaction.Conditions) > 0 {
		s.host.era.Store(era)
		s.store.mu.Unlock()
		return port.CommitResult{}, errors.WithType(errors.New("restored during a transaction"), port.ErrUnavailable)
	}
	result, size := port.CommitResult{Applied: true, Revision: s.store.revision}, messageBytes
	for _, condition := range transaction.Conditions {
		entry := s.store.entries[condition.Key]
		result.Applied = result.Applied && entry.Revision == condition.Revision.Stored()
		result.Found = append(result.Found, entry)
	}
	s.store.mu.Unlock()
	if result.Applied {
		result.Found = nil
	}
	for _, entry := range result.Found {
		size += wireSize(entry)
	}
	return result, s.receive(ctx, size)
}

func (s storeOf) Watch(ctx context.Context, prefix string, after revision.Revision, confirmWithin time.Duration) <-chan port.WatchEvent {
	wait := watchWait
	if confirmWithin > 0 {
		wait = confirmWithin - watchPause
	}
	events := make(chan port.WatchEvent)
	s.host.watches.Add(1)
	s.host.startedWatches.Add(1)
	if ctx.Err() != nil {
		s.host.uselessWatches.Add(1)
	}
	go func() {
		defer close(events)
		defer s.host.watches.Add(-1)
		send := func(event port.WatchEvent) bool {
			select {
			case events <- event:
				return true
			case <-ctx.Done():
				return false
			}
		}
		for ctx.Err() == nil {
			page, asOf, err := s.nextPage(ctx, prefix, after, wait)
			if err != nil {
				send(port.WatchEvent{Err: err})
				return
			}
			for _, event := range page {
				if !send(event) {
					return
				}
			}
			after = revision.Latest(after, asOf)
			if !send(port.WatchEvent{Progress: after}) {
				return
			}
			sleep(ctx, watchPause)
		}
	}()
	return events
}

// nextPage waits for a change, for at most wait.
func (s storeOf) nextPage(ctx context.Context, prefix string, after revision.Revision, wait time.Duration) ([]port.WatchEvent, revision.Revision, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	failAt := time.Now().Add(wait + watchMargin)
	for {
		page, asOf, size, changed := s.store.page(prefix, after)
		if s.host.isolated.Load() {
			return nil, revision.Revision{}, errors.Trace(port.ErrUnavailable)
		}
		if era := max(asOf.Era, s.host.era.Load()); era > after.Era {
			s.host.era.Store(era)
			return nil, revision.Revision{}, errors.Trace(port.ErrRestored)
		}
		if s.host.stalled.Load() {
			sleep(ctx, time.Until(failAt))
			return nil, revision.Revision{}, errors.Trace(port.ErrUnavailable)
		}
		if len(page) > 0 {
			return page, asOf, s.receive(ctx, size)
		}
		select {
		case <-changed:
		case <-s.store.cutSignal():
			return nil, revision.Revision{}, errors.Trace(port.ErrUnavailable)
		case <-timeout.C:
			if s.host.stalled.Load() {
				continue
			}
			return nil, asOf, s.receive(ctx, size)
		case <-ctx.Done():
			return nil, revision.Revision{}, ctx.Err()
		}
	}
}
