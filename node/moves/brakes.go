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
	// syncWait is how long a request waits for the brakes of others after the start.
	syncWait = time.Second
	// aloneAfter is when a router that sees no other believes to be alone.
	aloneAfter = 2 * time.Second
	// syncPeers is how many routers are asked at once.
	syncPeers = 3
	// syncSample is how many routers must have answered that they know no more.
	syncSample = 8
)

// brakeMemory is how long a brake is told to others after it is in the store.
const brakeMemory = 10 * time.Minute

// brake takes a move back, here at once and everywhere soon.
func (s *Service) brake(move rollout.Move, reason string) rollout.Brake {
	brake := rollout.Brake{Move: move.ID, Pool: move.Pool, At: time.Now(), Host: s.members.Self().ID, Reason: reason}
	s.learn([]rollout.Brake{brake})
	return brake
}

// learn takes up brakes; those not known yet are told to other routers.
func (s *Service) learn(brakes []rollout.Brake) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, brake := range brakes {
		if !s.brakes.Add(brake) {
			continue
		}
		s.news = append(s.news, brake)
		s.telemetry.Log.Warn("version taken back", "pool", brake.Pool, "move", brake.Move, "by", brake.Host, "reason", brake.Reason)
		s.metrics.transition(brake.Pool, "brake")
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
	for _, brake := range news {
		s.calls.Go(func() {
			for round := range rollout.GossipRounds {
				for _, to := range rollout.Listeners(brake.Move, s.members.Self().ID, round, s.members.Routers()) {
					s.calls.Go(func() { s.exchange(ctx, to, []rollout.Brake{brake}) })
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

// exchange tells a router brakes and takes up those that it knows.
func (s *Service) exchange(ctx context.Context, to fleet.HostID, brakes []rollout.Brake) (brakesMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer brakesMessage
	err := s.peers.Call(ctx, to, methodBrakes, brakesMessage{Brakes: brakes, Synced: s.isSynced()}, &answer)
	if err != nil {
		if ctx.Err() != context.Canceled {
			s.members.Suspect(to)
		}
		return answer, err
	}
	s.members.Confirm(to)
	s.learn(answer.Brakes)
	return answer, nil
}

func (s *Service) handleBrakes(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var message brakesMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.learn(message.Brakes)
	return brakesMessage{Brakes: s.relevant(), Synced: s.isSynced()}, nil
}

// relevant returns the brakes that others may need: young ones, and those of moves that
// the configuration in force still gives as running.
func (s *Service) relevant() []rollout.Brake {
	s.mu.Lock()
	defer s.mu.Unlock()
	var relevant []rollout.Brake
	for _, brake := range s.brakes.All() {
		state := s.pools[brake.Pool]
		unwritten := state != nil && state.move.ID == brake.Move && state.move.Status == rollout.StatusRunning
		if unwritten || time.Since(brake.At) < brakeMemory {
			relevant = append(relevant, brake)
		}
	}
	return relevant
}

// exchangeInTurn exchanges brakes with one router, another each time, while a move runs or
// brakes are young. It reaches routers that the rounds have missed.
func (s *Service) exchangeInTurn(ctx context.Context, now time.Time) {
	brakes := s.relevant()
	if len(brakes) == 0 && !s.isMoving() {
		return
	}
	others := s.others()
	if len(others) == 0 {
		return
	}
	key := "exchange/" + string(s.members.Self().ID) + "/" + now.UTC().Format(time.RFC3339)
	to, _ := rendezvous.First(key, others)
	// A failure leaves the router suspect; the next exchange goes to another one.
	_, _ = s.exchange(ctx, fleet.HostID(to), brakes)
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

// sync hears the brakes of other routers after the start. The store may hold a move as
// running that was taken back while the store was down.
func (s *Service) sync(ctx context.Context) {
	defer close(s.synced)
	started := time.Now()
	// unsynced holds routers that answered without knowing the brakes of others themselves.
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

// waitSynced waits a little for the brakes of others and tells whether they are known.
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
