// Package members keeps a router's view of the fleet up to date from the host list.
package members

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/drain"
	"agateswitch/core/fleet"
	"agateswitch/core/membership"
	"agateswitch/port"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// PollInterval is the time between two readings of the host list.
const PollInterval = time.Second

// Service is a port.Members. It is safe for concurrent use.
type Service struct {
	hosts     port.HostList
	config    port.Configuration
	telemetry port.Telemetry
	self      fleet.Host

	// heldDown counts how often an upstream was held down.
	heldDown metric.Int64Counter

	refreshed     chan struct{}
	refreshedOnce sync.Once

	mu   sync.Mutex
	view *membership.View
}

// New returns the service of one router, whose view contains only the router itself.
func New(self fleet.Host, hosts port.HostList, config port.Configuration, telemetry port.Telemetry) *Service {
	meter := telemetry.Meter
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	// Creating an instrument fails only for a malformed name, and the name is a constant.
	heldDown, _ := meter.Int64Counter("agateswitch.upstream.held_off",
		metric.WithDescription("Times that a flapping upstream was held off"))
	return &Service{
		heldDown: heldDown,
		hosts:    hosts, config: config, telemetry: telemetry, self: self, view: membership.NewView(self),
		refreshed: make(chan struct{}),
	}
}

// Run reads the host list until ctx ends. While the list is unavailable the last view remains.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		s.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refreshed returns a channel that is closed after the first attempt to read the host list.
func (s *Service) Refreshed() <-chan struct{} { return s.refreshed }

// Refresh reads the host list once.
func (s *Service) Refresh(ctx context.Context) {
	defer s.refreshedOnce.Do(func() { close(s.refreshed) })
	hosts, err := s.hosts.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			s.telemetry.Log.Warn("failed to read the host list; keeping the last view", "err", err)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	update := s.view.ApplyList(time.Now(), hosts.Routers, hosts.Upstreams)
	if update.Kept > 0 {
		s.telemetry.Log.Warn("host list lacks more than half of the members; keeping them for a while", "kept", update.Kept)
	}
	for _, id := range update.HeldDown {
		s.telemetry.Log.Warn("flapping upstream held down; it gets no new work for a while", "upstream", id)
		s.heldDown.Add(ctx, 1)
	}
}

// Self implements port.Members.
func (s *Service) Self() fleet.Host { return s.self }

// Routers implements port.Members.
func (s *Service) Routers() []fleet.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Routers(time.Now())
}

// Router implements port.Members.
func (s *Service) Router(id fleet.HostID) (fleet.Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Router(id)
}

// Upstreams implements port.Members.
func (s *Service) Upstreams(pool fleet.PoolID) []fleet.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Upstreams(pool)
}

// Usable implements port.Members.
func (s *Service) Usable(pool fleet.PoolID) []fleet.Upstream {
	snapshot, now := s.config.Current(), time.Now()
	var usable []fleet.Upstream
	for _, upstream := range s.Upstreams(pool) {
		upstream.Weight = drain.Weight(snapshot.DataCentre(upstream.DataCentre), now)
		if upstream.State == fleet.Live && upstream.Weight > 0 && !s.isHeldDown(now, upstream.ID) {
			usable = append(usable, upstream)
		}
	}
	return usable
}

// isHeldDown reports whether an upstream gets no new work because it flaps.
func (s *Service) isHeldDown(now time.Time, id fleet.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.IsHeldDown(now, id)
}

// Suspect implements port.Members.
func (s *Service) Suspect(id fleet.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Suspect(time.Now(), id)
}

// Confirm implements port.Members.
func (s *Service) Confirm(id fleet.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Confirm(id)
}

// Leave marks this router as leaving in its own view.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetSelfState(fleet.Leaving)
}
