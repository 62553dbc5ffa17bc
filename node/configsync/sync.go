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

// Tombstones are removed for good once there are more than maxTombstones, compactionBatch
// at a time.
const (
	maxTombstones   = 200
	compactionBatch = 50
)

// Service is a port.Configuration and accepts changes. It is safe for concurrent use.
type Service struct {
	store     port.Store
	telemetry port.Telemetry
	metrics   instruments
	current   atomic.Pointer[configuration.Snapshot]

	loaded     chan struct{}
	loadedOnce sync.Once

	peers   port.Peers
	members port.Members
	running func() map[fleet.DataCentre]int

	// applying serialises changes of current; readers of current need no lock.
	applying sync.Mutex
	// fetching holds a token while this router fetches, so that it does not fetch the same
	// state from several peers at once. Waiting for it ends with the waiter's context.
	fetching chan struct{}
	// pushes holds a token when neighbours are to be told of a new revision.
	pushes chan struct{}
	// pushed is the revision that neighbours were last told of. Only the push loop uses it.
	pushed configuration.Revision

	mu          sync.Mutex
	confirmedAt time.Time
	storeBehind bool
	watching    bool
}

// New makes the service with an empty configuration.
func New(store port.Store, telemetry port.Telemetry) *Service {
	s := &Service{
		store: store, telemetry: telemetry, metrics: newInstruments(telemetry.Meter),
		loaded: make(chan struct{}), pushes: make(chan struct{}, 1),
		fetching: make(chan struct{}, 1),
		running:  func() map[fleet.DataCentre]int { return nil },
	}
	s.current.Store(configuration.Empty())
	return s
}

// Join lets the service exchange configuration with other routers. It is called before Run.
func (s *Service) Join(peers port.Peers, members port.Members) {
	s.peers, s.members = peers, members
	peers.Handle(methodExchange, s.handleExchange)
	peers.Handle(methodFetch, s.handleFetch)
	peers.Handle(methodReport, s.handleReport)
}

// CountRunning sets where the numbers of running requests a data centre come from. It is
// called before Run.
func (s *Service) CountRunning(running func() map[fleet.DataCentre]int) {
	s.running = running
}

// Current implements port.Configuration.
func (s *Service) Current() *configuration.Snapshot { return s.current.Load() }

// Loaded is closed once a configuration has been read from the key-value service or from
// a peer.
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
	s.askAtStart(ctx)
	var running sync.WaitGroup
	running.Go(func() { s.runWatch(ctx) })
	running.Go(func() { s.runExchange(ctx) })
	running.Go(func() { s.runPush(ctx) })
	running.Wait()
}

// awaitMembers waits for the first reading of the host list, so that a router that starts
// asks its peers before it trusts the key-value service alone.
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

// apply puts a delta in force. It never goes back: Apply refuses lower revisions.
func (s *Service) apply(delta configuration.Delta, source string) {
	s.applying.Lock()
	defer s.applying.Unlock()
	next, changed, err := s.Current().Apply(delta)
	if err != nil {
		s.telemetry.Log.Error("configuration not applied", "err", errors.ErrorStack(err))
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
	case s.pushes <- struct{}{}:
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

// compactable returns the tombstones to remove for good with the next change.
func (s *Service) compactable(except configuration.Key) []configuration.Item {
	tombstones := s.Current().Tombstones()
	if len(tombstones) <= maxTombstones {
		return nil
	}
	var chosen []configuration.Item
	for _, tombstone := range tombstones[:compactionBatch] {
		if tombstone.Key != except {
			chosen = append(chosen, tombstone)
		}
	}
	return chosen
}

// confirm notes that the key-value service confirmed the head at a time.
func (s *Service) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// staleness returns how long ago the key-value service last confirmed the head to any
// router that this one heard of.
func (s *Service) staleness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return neverConfirmed
	}
	return time.Since(s.confirmedAt)
}

// neverConfirmed is the staleness of a router that has heard nothing yet.
const neverConfirmed = time.Hour
