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
)

// PollInterval is the time between two readings of the host list.
const PollInterval = time.Second

// Service is a port.Members. It is safe for concurrent use.
type Service struct {
	hosts     port.HostList
	config    port.Configuration
	telemetry port.Telemetry
	self      fleet.Host

	refreshed     chan struct{}
	refreshedOnce sync.Once

	mu   sync.Mutex
	view *membership.View
}

// New makes the service of one router.
func New(self fleet.Host, hosts port.HostList, config port.Configuration, telemetry port.Telemetry) *Service {
	return &Service{
		hosts: hosts, config: config, telemetry: telemetry, self: self, view: membership.NewView(self),
		refreshed: make(chan struct{}),
	}
}

// Run reads the host list until ctx ends. While the list is down the last view stays.
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

// Refreshed is closed after the first attempt to read the host list.
func (s *Service) Refreshed() <-chan struct{} { return s.refreshed }

// Refresh reads the host list once.
func (s *Service) Refresh(ctx context.Context) {
	defer s.refreshedOnce.Do(func() { close(s.refreshed) })
	hosts, err := s.hosts.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			s.telemetry.Log.Warn("host list unreadable, keeping the last one", "err", err)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.SetHosts(hosts.Routers, hosts.Upstreams)
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
		if upstream.State == fleet.Live && upstream.Weight > 0 {
			usable = append(usable, upstream)
		}
	}
	return usable
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
