package moves

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// Start of a router.
const (
	// syncWait is how long a request waits for the rollbacks of others after the start.
	syncWait = time.Second
	// aloneAfter is when a router that sees no other believes to be alone.
	aloneAfter = 2 * time.Second
	// syncPeers is how many routers are asked at once.
	syncPeers = 3
	// syncSample is how many routers must have answered that they know no more.
	syncSample = 8
)

// rollbackMemory is how long a rollback is told to others after it is in the store.
const rollbackMemory = 10 * time.Minute

// rollback takes a move back, here at once and everywhere soon.
func (s *Service) rollback(move rollout.Move, reason string) rollout.Rollback {
	rollback := rollout.Rollback{Move: move.ID, Pool: move.Pool, At: time.Now(), Host: s.members.Self().ID, Reason: reason}
	s.learn([]rollout.Rollback{rollback})
	return rollback
}

// learn takes up rollbacks; those not known yet are told to other routers.
func (s *Service) learn(rollbacks []rollout.Rollback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rollback := range rollbacks {
		if !s.rollbacks.Add(rollback) {
			continue
		}
		s.news = append(s.news, rollback)
		s.telemetry.Log.Warn("version rolled back", "pool", rollback.Pool, "move", rollback.Move, "by", rollback.Host, "reason", rollback.Reason)
		s.metrics.transition(rollback.Pool, "rollback")
		s.wakeUp()
	}
}

// spread tells news to other routers: at once, and in further rounds for those that could
// not be reached or were told by nobody.
func (s *Service) spread(ctx context.Context) {
	s.mu.Lock()
	news := s.news
	s.news = nil
	s.mu.Unlock()
	for _, rollback := range news {
		s.calls.Go(func() {
			for round := range rollout.GossipRounds {
				for _, to := range rollout.GossipTargets(rollback.Move, s.members.Self().ID, round, s.members.Routers()) {
					s.calls.Go(func() { s.exchange(ctx, to, []rollout.Rollback{rollback}) })
				}
				select {
				case <-time.After(roundInterval):
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

// exchange tells a router rollbacks and takes up those that it knows.
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
	s.learn(answer.Rollbacks)
	return answer, nil
}

func (s *Service) handleRollbacks(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var message rollbacksMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.learn(message.Rollbacks)
	return rollbacksMessage{Rollbacks: s.relevant(), Synced: s.isSynced()}, nil
}

// relevant returns the rollbacks that others may need: young ones, and those of moves that
// the configuration in force still gives as running.
func (s *Service) relevant() []rollout.Rollback {
	s.mu.Lock()
	defer s.mu.Unlock()
	var relevant []rollout.Rollback
	for _, rollback := range s.rollbacks.All() {
		state := s.pools[rollback.Pool]
		unwritten := state != nil && state.move.ID == rollback.Move && state.move.Status == rollout.StatusRunning
		if unwritten || time.Since(rollback.At) < rollbackMemory {
			relevant = append(relevant, rollback)
		}
	}
	return relevant
}

// exchangeInTurn exchanges rollbacks with one router, another each time, while a move runs or
// rollbacks are young. It reaches routers that the rounds have missed.
func (s *Service) exchangeInTurn(ctx context.Context, now time.Time) {
	rollbacks := s.relevant()
	if len(rollbacks) == 0 && !s.isMoving() {
		return
	}
	others := s.others()
	if len(others) == 0 {
		return
	}
	key := "exchange/" + string(s.members.Self().ID) + "/" + now.UTC().Format(time.RFC3339)
	to, _ := rendezvous.First(key, others)
	// A failure leaves the router suspect; the next exchange goes to another one.
	_, _ = s.exchange(ctx, fleet.HostID(to), rollbacks)
}

func (s *Service) isMoving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.pools {
		if state.move.Status == rollout.StatusRunning {
			return true
		}
	}
	return false
}

func (s *Service) others() []string {
	var others []string
	for _, router := range s.members.Routers() {
		if router.ID != s.members.Self().ID {
			others = append(others, string(router.ID))
		}
	}
	return others
}

// sync hears the rollbacks of other routers after the start. The store may hold a move as
// running that was rolled back while the store was down.
func (s *Service) sync(ctx context.Context) {
	defer close(s.synced)
	started := time.Now()
	// unsynced holds routers that answered without knowing the rollbacks of others themselves.
	unsynced := map[string]bool{}
	for ctx.Err() == nil {
		others := s.others()
		order := rendezvous.Order("sync/"+string(s.members.Self().ID)+time.Now().String(), others)
		for _, to := range order[:min(syncPeers, len(order))] {
			answer, err := s.exchange(ctx, fleet.HostID(to), nil)
			if err == nil && answer.Synced {
				return
			}
			if err == nil {
				unsynced[to] = true
			}
		}
		// Routers that start together hear only each other, and none knows anything.
		if len(unsynced) >= min(len(others), syncSample) && time.Since(started) >= aloneAfter {
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

// waitSynced waits a little for the rollbacks of others and tells whether they are known.
func (s *Service) waitSynced() bool {
	if s.isSynced() {
		return true
	}
	select {
	case <-s.synced:
		return true
	case <-time.After(syncWait):
		return false
	}
}
