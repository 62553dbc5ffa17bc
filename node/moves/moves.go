// Package moves chooses between the versions of a pool and moves traffic from one to another.
package moves

import (
	"context"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Service is a port.Versions.
type Service struct {
	config    port.Configuration
	store     port.Store
	members   port.Members
	peers     port.Peers
	telemetry port.Telemetry
}

// New makes the service.
func New(config port.Configuration, store port.Store, members port.Members, peers port.Peers, telemetry port.Telemetry) *Service {
	return &Service{config: config, store: store, members: members, peers: peers, telemetry: telemetry}
}

// Run moves traffic between versions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	<-ctx.Done()
}

// Choose implements port.Versions.
func (s *Service) Choose(pool fleet.PoolID, _ fleet.ChatID) fleet.Version {
	settings, _ := s.config.Current().Pool(pool)
	return settings.Version
}

// Observe implements port.Versions.
func (s *Service) Observe(fleet.Evidence) {}
