package grants

import (
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/core/rollout"
)

// fallBack finds a home of the old version for a retry whose every upstream of the new one
// has failed it or takes no work. It never goes from the old version to the new one: a rollback
// on that may be known to other routers only, and the old version is safe.
func (s *Service) fallBack(q *question) (fleet.Upstream, bool) {
	if len(q.request.Exclude) == 0 {
		return fleet.Upstream{}, false
	}
	old, found := s.oldVersion(q.request.Pool, q.version)
	if !found {
		return fleet.Upstream{}, false
	}
	home, found := q.table.home(placement.ChatHash(q.request.Chat), old, q.request.Exclude)
	if !found {
		return fleet.Upstream{}, false
	}
	s.telemetry.Log.Warn("version fallback", "request", q.request.ID, "pool", q.request.Pool, "chosen", q.version,
		"instead", old, "reason", "a retry has no other upstream of the chosen version")
	if q.owner != "" {
		// The owner may have the question with the other version: it is asked anew.
		s.outbox.abandon(q.owner, q.nonce)
		q.nonce = s.nonce.Add(1)
	}
	q.version = old
	return home, true
}

// oldVersion returns the version that a pool's move came from, if the move is to a version.
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
