package versionmove

import (
	"context"
	"maps"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// moveMessage is what a router publishes about one move.
type moveMessage struct {
	Pool fleet.PoolID   `msgpack:"pool"`
	ID   rollout.MoveID `msgpack:"id"`
	// EarlierIDs are the ids from before restores of the store, by which other routers may know the move.
	EarlierIDs []rollout.MoveID `msgpack:"earlier_ids,omitempty"`
	AgeMs      int64            `msgpack:"age_ms"`
	RolledBack bool             `msgpack:"back,omitempty"`
	// Succeeded is true once the store has the report of the move's good end: the old version stops.
	Succeeded bool           `msgpack:"succeeded,omitempty"`
	Reason    string         `msgpack:"reason,omitempty"`
	Evidence  []rollout.Pair `msgpack:"evidence,omitempty"`
	// Observer and Number identify the report of Evidence. Routers of earlier versions send neither.
	Observer rollout.Observer `msgpack:"observer,omitempty"`
	Number   uint64           `msgpack:"number,omitempty"`
	// Withdrawn lists the pool's versions that get no requests, which a router that has started since doesn't
	// know.
	Withdrawn []fleet.Version `msgpack:"withdrawn,omitempty"`
	// HandOver asks a relay to add Evidence to its own, and PassOn to pass the message on to its members. Routers of earlier
	// versions do neither, and publish to all others.
	HandOver bool `msgpack:"hand_over,omitempty"`
	PassOn   bool `msgpack:"pass_on,omitempty"`
}

// tick evaluates the moves, tells the other routers and writes the status entries that are due.
func (s *Service) tick(ctx context.Context) {
	route := s.route()
	messages := s.nextMessages(route.Relay != "")
	if len(messages) == 0 {
		return
	}
	s.spread(ctx, route, messages)
	s.askForHistories(ctx)
	for _, write := range s.dueStatusWrites() {
		s.writeStatus(ctx, write)
	}
}

// publish sends messages to all other routers.
func (s *Service) publish(ctx context.Context, messages []moveMessage) {
	s.send(ctx, s.fleet.Others(), messages)
}

// send sends messages to routers.
func (s *Service) send(ctx context.Context, to []fleet.HostID, messages []moveMessage) {
	for _, other := range to {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, publishTimeout)
			defer cancel()
			if err := s.transport.Call(ctx, other, methodPublish, messages, &publishResponse{}); err != nil {
				s.log.Info("failed to deliver version moves to a router", "peer", other, "err", err)
			}
		}()
	}
}

// evaluateMoves evaluates the moves whose end is not reported yet, and returns the messages for the
// other routers.
func (s *Service) evaluateMoves() []moveMessage { return s.nextMessages(false) }

// nextMessages is evaluateMoves for messages that a relay takes if handOver is true. This router then gets its evidence back with
// that of others.
func (s *Service) nextMessages(handOver bool) []moveMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var messages []moveMessage
	for pool, m := range s.moves {
		if m.state != rollout.StatusRunning && m.reported {
			continue
		}
		m.reports++
		report := rollout.Report{Observer: s.observer, Number: m.reports, Pairs: m.evidence.Take()}
		if !handOver {
			m.addReport(report)
		}
		s.endInheritance(m)
		s.evaluate(m)
		messages = append(messages, moveMessage{
			Pool: pool, ID: m.id, EarlierIDs: slices.Clone(m.earlierIDs), AgeMs: time.Since(m.began).Milliseconds(), RolledBack: m.state == rollout.StatusRolledBack,
			Reason: m.reason, Evidence: report.Pairs, Observer: report.Observer, Number: report.Number,
			Withdrawn: slices.Collect(maps.Keys(s.withdrawn[pool])), HandOver: handOver,
		})
	}
	return messages
}

// handleMessages applies the messages of another router.
func (s *Service) handleMessages(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var messages []moveMessage
	if err := decode(&messages); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := publishResponse{Relays: true}
	if missed := s.heard(from, messages); len(missed) > 0 {
		s.send(context.WithoutCancel(ctx), []fleet.HostID{from}, missed)
	}
	for _, message := range messages {
		m, found := s.moves[message.Pool]
		if !found || !m.hasID(message.ID) && !slices.ContainsFunc(message.EarlierIDs, m.hasID) {
			continue
		}
		m.learnAge(time.Duration(message.AgeMs) * time.Millisecond)
		for _, version := range message.Withdrawn {
			if version != m.order.Target {
				s.withdraw(message.Pool, version)
			}
		}
		response.Taken = append(response.Taken, message.Pool)
		m.learn(message)
		if m.inheritance != nil {
			m.inheritance.senders[from] = true
		}
		if message.Succeeded && m.state == rollout.StatusRunning {
			m.state = rollout.StatusDone
			s.log.Info("version move succeeded according to another router", "move", m.id, "peer", from)
		}
		if message.RolledBack && m.state == rollout.StatusRunning {
			m.state, m.reason, m.endDueAt = rollout.StatusRolledBack, message.Reason, time.Now()
			s.log.Warn("version rolled back by another router", "move", m.id, "peer", from, "reason", message.Reason)
		}
	}
	return response, nil
}

// learnAge applies the age of the move on another router. The one that received the order first has the best estimate.
func (m *move) learnAge(age time.Duration) {
	if began := time.Now().Add(-age); began.Before(m.began) {
		m.began = began
	}
}
