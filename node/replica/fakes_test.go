package replica

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
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
	handlers  map[string]port.PeerHandler
	fleet     *fakeFleet
	// silent is true while the host answers no calls, like one behind a partition.
	silent atomic.Bool
	// watches is the number of watches of the store in progress.
	watches atomic.Int32
}

// compute uses the processor for a time that is given for a whole core.
func (h *host) compute(work time.Duration) {
	h.computing <- struct{}{}
	time.Sleep(time.Duration(float64(work) / h.cores))
	<-h.computing
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
	hosts    []*host
	watchers []fleet.HostID
}

// memberOf is a router's view of the fleet.
type memberOf struct {
	fleet *fakeFleet
	self  fleet.HostID
}

func (m memberOf) Others() []fleet.HostID {
	var others []fleet.HostID
	for _, h := range m.fleet.hosts {
		if h.id != m.self {
			others = append(others, h.id)
		}
	}
	return others
}

func (m memberOf) Watchers() ([]fleet.HostID, bool) {
	for _, id := range m.fleet.watchers {
		if id == m.self {
			return nil, true
		}
	}
	return m.fleet.watchers, false
}

// Handle implements port.Peers.
func (h *host) Handle(method string, handler port.PeerHandler) { h.handlers[method] = handler }

// Call implements port.Peers.
func (h *host) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	for _, other := range h.fleet.hosts {
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
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	if err := h.up.carry(ctx, len(body)); err != nil {
		return err
	}
	other.computeCall(len(body))
	answer, err := other.handlers[method](ctx, h.id, func(into any) error { return msgpack.Unmarshal(body, into) })
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

// fakeStore is the store. Its own link is fast; those of the hosts limit its responses.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]port.Entry
	history  []port.WatchEvent
	// writtenAt holds the times of the changes in history.
	writtenAt []time.Time
	changed   chan struct{}
	// cut ends waiting watches when it is closed.
	cut chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1, entries: map[string]port.Entry{}, changed: make(chan struct{}), cut: make(chan struct{}),
	}
}

// remove removes a key.
func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
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
func (s *fakeStore) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[key] = port.Entry{Key: key, Value: value, Revision: s.revision}
	s.history = append(s.history, port.WatchEvent{Entry: s.entries[key]})
	s.writtenAt = append(s.writtenAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// nextWrite returns when a key was first written after a revision.
func (s *fakeStore) nextWrite(key string, after int64) (at time.Time, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, event := range s.history {
		if event.Entry.Key == key && event.Entry.Revision > after {
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
)

// wireSize returns the size of an entry in a response, which carries the value in base64.
func wireSize(entry port.Entry) int { return entryOverhead + len(entry.Key) + len(entry.Value)*4/3 }

// page returns the first changes under a prefix after a revision that fit into a response, and the
// revision up to which they are complete.
func (s *fakeStore) page(prefix string, after int64) ([]port.WatchEvent, int64, int, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []port.WatchEvent
	size := messageBytes
	for _, event := range s.history {
		if event.Entry.Revision <= after || !strings.HasPrefix(event.Entry.Key, prefix) {
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

// receive carries a response to the host.
func (s storeOf) receive(ctx context.Context, size int) error {
	if err := s.host.down.carry(ctx, size); err != nil {
		return errors.WithType(err, port.ErrUnavailable)
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

func (s storeOf) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	s.store.mu.Lock()
	var entries []port.Entry
	size, revision := messageBytes, s.store.revision
	for key, entry := range s.store.entries {
		if strings.HasPrefix(key, prefix) {
			entries, size = append(entries, entry), size+wireSize(entry)
		}
	}
	s.store.mu.Unlock()
	return entries, revision, s.receive(ctx, size)
}

// Commit supports transactions without writes.
func (s storeOf) Commit(ctx context.Context, transaction port.Transaction) (port.CommitResult, error) {
	s.store.mu.Lock()
	result, size := port.CommitResult{Applied: true, Revision: s.store.revision}, messageBytes
	for _, condition := range transaction.Conditions {
		entry := s.store.entries[condition.Key]
		result.Applied = result.Applied && entry.Revision == condition.Revision
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

func (s storeOf) Watch(ctx context.Context, prefix string, after int64) <-chan port.WatchEvent {
	events := make(chan port.WatchEvent)
	s.host.watches.Add(1)
	go func() {
		defer close(events)
		defer s.host.watches.Add(-1)
		send := func(event port.WatchEvent) {
			select {
			case events <- event:
			case <-ctx.Done():
			}
		}
		for ctx.Err() == nil {
			page, revision, err := s.nextPage(ctx, prefix, after)
			if err != nil {
				send(port.WatchEvent{Err: err})
				return
			}
			for _, event := range page {
				send(event)
			}
			after = max(after, revision)
			send(port.WatchEvent{Progress: after})
			sleep(ctx, watchPause)
		}
	}()
	return events
}

// nextPage waits for a change, for at most watchWait.
func (s storeOf) nextPage(ctx context.Context, prefix string, after int64) ([]port.WatchEvent, int64, error) {
	timeout := time.NewTimer(watchWait)
	defer timeout.Stop()
	for {
		page, revision, size, changed := s.store.page(prefix, after)
		if len(page) > 0 {
			return page, revision, s.receive(ctx, size)
		}
		select {
		case <-changed:
		case <-s.store.cutSignal():
			return nil, 0, errors.Trace(port.ErrUnavailable)
		case <-timeout.C:
			return nil, revision, s.receive(ctx, size)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}
