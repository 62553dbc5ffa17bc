package configsync

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// storeLatency is the duration of a call. It lets calls of several routers interleave.
const storeLatency = time.Millisecond

// fakeStore is an in-memory port.Store. Each router accesses it through a storeLink.
type fakeStore struct {
	port.Store
	mu       sync.Mutex
	revision int64
	keys     map[string]port.Entry
	history  []port.WatchEvent
	changed  chan struct{}
	down     bool
	// lostAnswers is how many of the next transactions take effect without an answer, commitDelay
	// after the call.
	lostAnswers int
	commitDelay time.Duration
	// beforeCommit is called once, before the next transaction.
	beforeCommit                    func()
	reads, writes, watches, waiting int
}

func newFakeStore() *fakeStore {
	return &fakeStore{keys: map[string]port.Entry{}, changed: make(chan struct{})}
}

// storeLink is one router's connection to the store.
type storeLink struct {
	*fakeStore
	partitioned func() bool
	// stalled makes watches deliver no events, while other calls work.
	stalled bool
}

// reach waits for the latency of a call, or fails if the store is down or partitioned.
func (l *storeLink) reach(ctx context.Context) error {
	<-time.After(storeLatency)
	if !l.isDown() && !l.partitioned() {
		return nil
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return port.ErrUnavailable
}

func (l *storeLink) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := l.reach(ctx); err != nil {
		return port.Entry{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	entry := l.keys[key]
	entry.Key = key
	return entry, nil
}

func (l *storeLink) List(ctx context.Context, prefix string, visit func(port.Entry)) (revision.Revision, error) {
	if err := l.reach(ctx); err != nil {
		return revision.Revision{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	for key, entry := range l.keys {
		if strings.HasPrefix(key, prefix) {
			visit(entry)
		}
	}
	return revision.Revision{Number: l.revision}, nil
}

func (l *storeLink) Commit(ctx context.Context, transaction port.Transaction) (port.CommitResult, error) {
	if err := l.reach(ctx); err != nil {
		return port.CommitResult{}, err
	}
	l.mu.Lock()
	beforeCommit := l.beforeCommit
	l.beforeCommit = nil
	l.mu.Unlock()
	if beforeCommit != nil {
		beforeCommit()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostAnswers > 0 {
		l.lostAnswers--
		time.AfterFunc(l.commitDelay, func() { l.write(transaction) })
		return port.CommitResult{}, port.ErrUnavailable
	}
	return port.CommitResult{Applied: l.writeLocked(transaction), Revision: revision.Revision{Number: l.revision}}, nil
}

func (s *fakeStore) write(transaction port.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(transaction)
}

func (s *fakeStore) writeLocked(transaction port.Transaction) bool {
	s.writes++
	for _, condition := range transaction.Conditions {
		if s.keys[condition.Key].Revision != condition.Revision {
			return false
		}
	}
	s.revision++
	for _, write := range transaction.Writes {
		entry := port.Entry{Key: write.Key, Value: write.Value, Revision: revision.Revision{Number: s.revision}}
		s.keys[write.Key] = entry
		if write.Delete {
			delete(s.keys, write.Key)
		}
		s.history = append(s.history, port.WatchEvent{Entry: entry, Deleted: write.Delete})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (l *storeLink) Watch(ctx context.Context, prefix string, after revision.Revision, confirmWithin time.Duration) <-chan port.WatchEvent {
	events := make(chan port.WatchEvent)
	go l.stream(ctx, events, prefix, after)
	return events
}

// stream sends the events of a watch.
func (l *storeLink) stream(ctx context.Context, events chan<- port.WatchEvent, prefix string, after revision.Revision) {
	defer close(events)
	l.countWatch(1)
	defer l.countWatch(-1)
	position := 0
	for ctx.Err() == nil {
		l.mu.Lock()
		unsent, changed, stalled := l.history[position:], l.changed, l.stalled
		position = len(l.history)
		l.mu.Unlock()
		for _, event := range unsent {
			if !event.Entry.Revision.After(after) || !strings.HasPrefix(event.Entry.Key, prefix) || stalled {
				continue
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			if l.isDown() || l.partitioned() {
				select {
				case events <- port.WatchEvent{Err: port.ErrUnavailable}:
				case <-ctx.Done():
				}
				return
			}
		case <-ctx.Done():
		}
	}
}

// countWatch adds waiting, which is 1 or -1, to the number of waiting watches.
func (s *fakeStore) countWatch(waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += waiting
	s.watches += max(waiting, 0)
}

// stats returns the number of reads so far and of watches that are waiting now.
func (s *fakeStore) stats() (reads, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.waiting
}

func (s *fakeStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func dataCentreChange(name string, out bool) Change {
	value := mustMarshal(configuration.DataCentre{Name: fleet.DataCentre(name), Out: out})
	return Change{Key: configuration.Key{Kind: configuration.KindDataCentre, Name: name}, Value: value, Expected: AnyRevision}
}

// soloNode returns a service that uses a store and has no peers.
func soloNode(store *fakeStore) *Service {
	link := &storeLink{fakeStore: store, partitioned: func() bool { return false }}
	return New(link, port.Telemetry{Log: log.New(io.Discard)})
}

// sleep lets virtual time pass in a synctest bubble.
func sleep(t *testing.T, duration time.Duration) {
	t.Helper()
	<-time.After(duration)
}
