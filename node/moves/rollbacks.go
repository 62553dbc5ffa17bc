package moves

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// Limits of the initial sync.
const (
	// syncTimeout is how long a request waits for the initial sync.
	syncTimeout = time.Second
	// minUnsyncedWait is the minimum time before the initial sync ends without a synced peer, also if
	// no other router is live.
	minUnsyncedWait = 2 * time.Second
	// syncPeersPerRound is how many routers are queried, one after another, in a round.
	syncPeersPerRound = 3
	// minUnsyncedAnswers is how many routers must have answered that they are unsynced themselves
	// before the initial sync ends without a synced peer. In a smaller fleet it is all others.
	minUnsyncedAnswers = 8
)

// rollbackRetention is how long after its creation a rollback is sent to other routers, even if it
// is stored already.
const rollbackRetention = 10 * time.Minute

// rollBack rolls a move back on this router at once and publishes the rollback to the others.
func (s *Service) rollBack(move rollout.Move, reason string) rollout.Rollback {
	rollback := rollout.Rollback{Move: move.ID, Pool: move.Pool, At: time.Now(), Host: s.members.Self().ID, Reason: reason}
	s.addRollbacks([]rollout.Rollback{rollback})
	return rollback
}

// addRollbacks applies rollbacks and queues the new ones for publication to other routers.
func (s *Service) addRollbacks(rollbacks []rollout.Rollback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rollback := range rollbacks {
		if !s.rollbacks.Add(rollback) {
			continue
		}
		s.pendingRollbacks = append(s.pendingRollbacks, rollback)
		s.telemetry.Log.Warn("version rolled back", "pool", rollback.Pool, "move", rollback.Move, "by", rollback.Host, "reason", rollback.Reason)
		s.metrics.transition(rollback.Pool, "rollback")
		s.wakeUp()
	}
}

// publishPending publishes new rollbacks to other routers by gossip. The first round starts at once;
// further rounds reach routers that were unreachable or that no other router chose as a target.
func (s *Service) publishPending(ctx context.Context) {
	s.mu.Lock()
	pending := s.pendingRollbacks
	s.pendingRollbacks = nil
	s.mu.Unlock()
	for _, rollback := range pending {
		s.calls.Go(func() {
			for round := range rollout.GossipRounds {
				for _, to := range rollout.GossipTargets(rollback.Move, s.members.Self().ID, round, s.members.Routers()) {
					s.calls.Go(func() { s.exchange(ctx, to, []rollout.Rollback{rollback}) })
				}
				select {
				case <-time.After(gossipInterval):
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

// exchange sends rollbacks to a router and applies those that it answers with.
func (s *Service) exchange(ctx context.Context, to fleet.HostID, rollbacks []rollout.Rollback) (rollbacksMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer rollbacksMessage
	err := s.peers.Call(ctx, to, methodRollbacks, rollbacksMessage{Rollbacks: rollbacks, Synced: s.isSynced()}, &answer)
	if err != nil {
		if ctx.Err() != context.Canceled {
			s.members.Suspect(to)
		}
		return answer, err
	}
	s.members.Confirm(to)
	s.addRollbacks(answer.Rollbacks)
	return answer, nil
}

func (s *Service) handleRollbacks(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var message rollbacksMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.addRollbacks(message.Rollbacks)
	return rollbacksMessage{Rollbacks: s.relevantRollbacks(), Synced: s.isSynced()}, nil
}

// relevantRollbacks returns the rollbacks that other routers may need: recent ones, and those of
// moves that are still running according to the configuration in force.
func (s *Service) relevantRollbacks() []rollout.Rollback {
	s.mu.Lock()
	defer s.mu.Unlock()
	var relevant []rollout.Rollback
	for _, rollback := range s.rollbacks.All() {
		state := s.pools[rollback.Pool]
		notStored := state != nil && state.move.ID == rollback.Move && state.move.Status == rollout.StatusRunning
		if notStored || time.Since(rollback.At) < rollbackRetention {
			relevant = append(relevant, rollback)
		}
	}
	return relevant
}

// exchangeWithNext exchanges rollbacks with one router, chosen anew each time, while a move is
// running or rollbacks are relevant. It reaches routers that the gossip rounds have missed.
func (s *Service) exchangeWithNext(ctx context.Context, now time.Time) {
	rollbacks := s.relevantRollbacks()
	if len(rollbacks) == 0 && !s.anyMoveRunning() {
		return
	}
	others := s.otherRouters()
	if len(others) == 0 {
		return
	}
	key := "exchange/" + string(s.members.Self().ID) + "/" + now.UTC().Format(time.RFC3339)
	to, _ := rendezvous.First(key, others)
	// After a failure the router is suspect, and the next exchange uses another one.
	_, _ = s.exchange(ctx, fleet.HostID(to), rollbacks)
}

func (s *Service) anyMoveRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.pools {
		if state.move.Status == rollout.StatusRunning {
			return true
		}
	}
	return false
}

// otherRouters returns the ids of all live routers except this one.
func (s *Service) otherRouters() []string {
	var others []string
	for _, router := range s.members.Routers() {
		if router.ID != s.members.Self().ID {
			others = append(others, string(router.ID))
		}
	}
	return others
}

// initialSync fetches the rollbacks of other routers after the start. The store may have a move as
// running that was rolled back while the store was down.
func (s *Service) initialSync(ctx context.Context) {
	defer close(s.synced)
	started := time.Now()
	// unsynced holds the routers that answered before their own initial sync had ended.
	unsynced := map[string]bool{}
	for ctx.Err() == nil {
		others := s.otherRouters()
		order := rendezvous.Order("sync/"+string(s.members.Self().ID)+time.Now().String(), others)
		for _, to := range order[:min(syncPeersPerRound, len(order))] {
			answer, err := s.exchange(ctx, fleet.HostID(to), nil)
			if err == nil && answer.Synced {
				return
			}
			if err == nil {
				unsynced[to] = true
			}
		}
		// Routers that start together reach only each other, and none of them is synced.
		if len(unsynced) >= min(len(others), minUnsyncedAnswers) && time.Since(started) >= minUnsyncedWait {
			return
		}
		select {
		case <-time.After(tickInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Service) isSynced() bool {
	select {
	case <-s.synced:
		return true
	default:
		return false
	}
}

// waitSynced waits up to syncTimeout for the initial sync and reports whether it has ended.
func (s *Service) waitSynced() bool {
	if s.isSynced() {
		return true
	}
	select {
	case <-s.synced:
		return true
	case <-time.After(syncTimeout):
		return false
	}
}
