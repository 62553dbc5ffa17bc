// Package moves chooses between the versions of a pool and moves traffic from one to another.
package moves

import (
	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Service is a port.Versions.
type Service struct {
	config port.Configuration
}

// New makes the service.
func New(config port.Configuration) *Service {
	return &Service{config: config}
}

// Choose implements port.Versions.
func (s *Service) Choose(pool fleet.PoolID, _ fleet.ChatID) fleet.Version {
	settings, _ := s.config.Current().Pool(pool)
	return settings.Version
}

// Observe implements port.Versions.
func (s *Service) Observe(fleet.Evidence) {}
