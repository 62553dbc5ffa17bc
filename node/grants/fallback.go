package grants

import (
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/core/rollout"
)

// fallbackHome returns a home of the old version for a retry if every upstream of the new version
// has failed the request or accepts no work. It never falls back from the old version to the new
// one: other routers may already have rolled back the new version, and the old version is safe.
func (s *Service) fallbackHome(acq *acquisition) (fleet.Upstream, bool) {
	if len(acq.request.Exclude) == 0 {
		return fleet.Upstream{}, false
	}
	old, found := s.oldVersion(acq.request.Pool, acq.version)
	if !found {
		return fleet.Upstream{}, false
	}
	home, found := acq.table.home(placement.ChatHash(acq.request.Chat), old, acq.request.Exclude)
	if !found {
		return fleet.Upstream{}, false
	}
	s.telemetry.Log.Warn("retry falls back to the old version", "request", acq.request.ID, "pool", acq.request.Pool, "chosen", acq.version,
		"instead", old, "reason", "a retry has no other upstream of the chosen version")
	if acq.owner != "" {
		// The owner may have queued the request with the other version. A new nonce makes it a
		// new request.
		s.outbox.addAbandoned(acq.owner, acq.nonce)
		acq.nonce = s.nonce.Add(1)
	}
	acq.version = old
	return home, true
}

// oldVersion returns the version from which a pool's move started, if the move is to the given
// version.
func (s *Service) oldVersion(pool fleet.PoolID, to fleet.Version) (fleet.Version, bool) {
	item, found := s.config.Current().Item(configuration.Key{Kind: configuration.KindMove, Name: string(pool)})
	if !found || to == "" {
		return "", false
	}
	move, err := rollout.Decode(item.Value)
	if err != nil || move.To != to || move.From == "" {
		return "", false
	}
	return move.From, true
}
