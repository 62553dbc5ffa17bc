package configsync

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/port"

	"github.com/juju/errors"
)

// retryInterval is the time between attempts to reach the key-value service.
const retryInterval = time.Second

// Service is a port.Configuration and accepts changes. It is safe for concurrent use.
type Service struct {
	store     port.Store
	telemetry port.Telemetry
	current   atomic.Pointer[configuration.Snapshot]
	loaded    chan struct{}

	peers   port.Peers
	members port.Members
}

// New makes the service with an empty configuration.
func New(store port.Store, telemetry port.Telemetry) *Service {
	s := &Service{store: store, telemetry: telemetry, loaded: make(chan struct{})}
	s.current.Store(configuration.Empty())
	return s
}

// Join lets the service exchange configuration with other routers.
func (s *Service) Join(peers port.Peers, members port.Members) {
	s.peers, s.members = peers, members
}

// Current implements port.Configuration.
func (s *Service) Current() *configuration.Snapshot { return s.current.Load() }

// Loaded is closed once a configuration has been read.
func (s *Service) Loaded() <-chan struct{} { return s.loaded }

// Run follows the key-value service until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil && ctx.Err() == nil {
			s.telemetry.Log.Warn("configuration watch ended, reading again", "err", err, "after", retryInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

func (s *Service) follow(ctx context.Context) error {
	revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	select {
	case <-s.loaded:
	default:
		close(s.loaded)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var pending []configuration.Item
	for event := range s.store.Watch(ctx, prefix, revision) {
		if event.Err != nil {
			return event.Err
		}
		pending, err = s.take(pending, event)
		if err != nil {
			return err
		}
	}
	return nil
}

// take collects the items of one transaction; the head, whose key sorts first but whose
// event may come in any order, applies what has been collected.
func (s *Service) take(pending []configuration.Item, event port.WatchEvent) ([]configuration.Item, error) {
	if strings.HasPrefix(event.Entry.Key, itemPrefix) {
		item, err := decodeItem(event.Entry.Value)
		if err != nil {
			return pending, err
		}
		pending = append(pending, item)
		if item.Revision > s.Current().Revision() {
			s.apply(configuration.Delta{From: s.Current().Revision(), To: item.Revision, Items: pending})
			pending = nil
		}
	}
	return pending, nil
}

// read applies the whole configuration and returns the store's revision.
func (s *Service) read(ctx context.Context) (int64, error) {
	entries, revision, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	delta := configuration.Delta{}
	for _, entry := range entries {
		if entry.Key == headKey {
			h, err := decodeHead(entry.Value)
			if err != nil {
				return 0, err
			}
			delta.To = h.Revision
			continue
		}
		item, err := decodeItem(entry.Value)
		if err != nil {
			return 0, err
		}
		delta.Items = append(delta.Items, item)
	}
	s.apply(delta)
	return revision, nil
}

func (s *Service) apply(delta configuration.Delta) {
	next, changed, err := s.Current().Apply(delta)
	if err != nil {
		s.telemetry.Log.Error("configuration not applied", "err", errors.ErrorStack(err))
		return
	}
	if changed {
		s.current.Store(next)
		s.telemetry.Log.Info("configuration in force", "revision", next.Revision(), "items", len(delta.Items))
	}
}
