package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Limits for tombstones. Once there are more than maxTombstones, each accepted change compacts
// up to compactionBatch of the oldest ones.
const (
	maxTombstones   = 200
	compactionBatch = 50
)

// Service accepts changes of the configuration and provides the configuration in force. It
// implements port.Configuration and port.ConfigurationWriter, and is safe for concurrent use.
type Service struct {
	store     port.Store
	telemetry port.Telemetry
	metrics   instruments
	current   atomic.Pointer[configuration.Snapshot]

	loaded     chan struct{}
	loadedOnce sync.Once

	peers         port.Peers
	members       port.Members
	runningCounts func() map[fleet.DataCentre]int

	// applyMu serialises changes of current. Readers of current need no lock.
	applyMu sync.Mutex
	// fetchLock holds a token while this router fetches, which prevents it from fetching the
	// same state from several peers at once. A channel lets waiters stop when their context ends.
	fetchLock chan struct{}
	// pushPending holds a token while a new revision has not been pushed to the neighbours.
	pushPending chan struct{}
	// lastPushed is the revision last pushed to the neighbours. Only the push loop uses it.
	lastPushed configuration.Revision

	mu          sync.Mutex
	confirmedAt time.Time
	storeBehind bool
	watching    bool
}

// New returns a service with an empty configuration.
func New(store port.Store, telemetry port.Telemetry) *Service {
	s := &Service{
		store: store, telemetry: telemetry, metrics: newInstruments(telemetry.Meter),
		loaded: make(chan struct{}), pushPending: make(chan struct{}, 1),
		fetchLock:     make(chan struct{}, 1),
		runningCounts: func() map[fleet.DataCentre]int { return nil },
	}
	s.current.Store(configuration.Empty())
	return s
}

// Join lets the service exchange its configuration with other routers. It must be called before
// Run.
func (s *Service) Join(peers port.Peers, members port.Members) {
	s.peers, s.members = peers, members
	peers.Handle(methodExchange, s.handleExchange)
	peers.Handle(methodFetch, s.handleFetch)
	peers.Handle(methodReport, s.handleReport)
}

// SetRunningCounts sets the function that returns the number of running requests for each data
// centre of the upstreams. It must be called before Run.
func (s *Service) SetRunningCounts(runningCounts func() map[fleet.DataCentre]int) {
	s.runningCounts = runningCounts
}

// Current implements port.Configuration.
func (s *Service) Current() *configuration.Snapshot { return s.current.Load() }

// Loaded returns a channel that is closed once a configuration has been read from the key-value
// service or from a peer.
func (s *Service) Loaded() <-chan struct{} { return s.loaded }

func (s *Service) isLoaded() bool {
	select {
	case <-s.loaded:
		return true
	default:
		return false
	}
}

func (s *Service) markLoaded() {
	s.loadedOnce.Do(func() { close(s.loaded) })
}

// Run keeps the configuration up to date until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if s.members == nil {
		s.runWatch(ctx)
		return
	}
	s.awaitMembers(ctx)
	s.bootstrap(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { s.runWatch(ctx) })
	loops.Go(func() { s.runExchange(ctx) })
	loops.Go(func() { s.runPush(ctx) })
	loops.Wait()
}

// awaitMembers waits until the host list has been read for the first time, because a starting
// router must query its peers before it relies on the key-value service alone.
func (s *Service) awaitMembers(ctx context.Context) {
	members, ok := s.members.(interface{ Refreshed() <-chan struct{} })
	if !ok {
		return
	}
	select {
	case <-members.Refreshed():
	case <-ctx.Done():
	}
}

// apply applies a delta to the configuration in force. The revision never decreases, since
// Snapshot.Apply ignores lower revisions.
func (s *Service) apply(delta configuration.Delta, source string) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	next, changed, err := s.Current().Apply(delta)
	if err != nil {
		s.telemetry.Log.Error("failed to apply a configuration delta; keeping the revision in force", "err", errors.ErrorStack(err))
		return
	}
	if !changed {
		return
	}
	previous := s.Current()
	s.current.Store(next)
	s.metrics.revision.Record(context.Background(), int64(next.Revision()))
	s.telemetry.Log.Info("configuration in force", "revision", next.Revision(), "before", previous.Revision(),
		"items", len(delta.Items), "source", source)
	s.logDataCentres(delta.Items)
	select {
	case s.pushPending <- struct{}{}:
	default:
	}
}

func (s *Service) logDataCentres(items []configuration.Item) {
	for _, item := range items {
		if item.Key.Kind == configuration.KindDataCentre {
			name := fleet.DataCentre(item.Key.Name)
			s.telemetry.Log.Info("data centre changed", "datacentre", name, "out", s.Current().IsOut(name), "revision", item.Revision)
			s.metrics.dataCentreChanges.Add(context.Background(), 1)
		}
	}
}

// compactable returns the tombstones, without that of the excluded item, that the next change
// deletes from the key-value service.
func (s *Service) compactable(excluded configuration.Key) []configuration.Item {
	tombstones := s.Current().Tombstones()
	if len(tombstones) <= maxTombstones {
		return nil
	}
	var chosen []configuration.Item
	for _, tombstone := range tombstones[:compactionBatch] {
		if tombstone.Key != excluded {
			chosen = append(chosen, tombstone)
		}
	}
	return chosen
}

// confirm records that the key-value service confirmed the head at a time.
func (s *Service) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// staleness returns how long ago the key-value service last confirmed the head, to this router
// or to any router whose confirmations it has received.
func (s *Service) staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return neverConfirmedStaleness
	}
	return time.Since(s.confirmedAt)
}

// neverConfirmedStaleness is the staleness of a router that knows of no confirmation yet.
const neverConfirmedStaleness = time.Hour
