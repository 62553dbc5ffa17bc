package versionmove

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// told is what a router tells of one move.
type moveMessage struct {
	Pool     fleet.PoolID   `msgpack:"pool"`
	ID       rollout.MoveID `msgpack:"id"`
	AgeMs    int64          `msgpack:"age_ms"`
	Back     bool           `msgpack:"back,omitempty"`
	Reason   string         `msgpack:"reason,omitempty"`
	Evidence []rollout.Pair `msgpack:"evidence,omitempty"`
}

func (s *Service) tick(ctx context.Context) {
	messages := s.gather()
	if len(messages) == 0 {
		return
	}
	for _, other := range s.fleet.Others() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			var none struct{}
			if err := s.transport.Call(ctx, other, methodTell, messages, &none); err != nil {
				s.log.Info("router not told of a version move", "peer", other, "err", err)
			}
		}()
	}
	for _, report := range s.reports() {
		s.report(ctx, report)
	}
}

// gather judges the running moves and returns what the other routers are to be told.
func (s *Service) gather() []moveMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var messages []moveMessage
	for pool, m := range s.moves {
		if m.state != rollout.StatusRunning && m.reported {
			continue
		}
		pairs := m.evidence.Take()
		m.add(pairs)
		s.judge(m)
		messages = append(messages, moveMessage{
			Pool: pool, ID: m.id, AgeMs: time.Since(m.began).Milliseconds(), Back: m.state == rollout.StatusRolledBack,
			Reason: m.reason, Evidence: pairs,
		})
	}
	return messages
}

// heard takes what another router tells.
func (s *Service) heard(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var messages []moveMessage
	if err := decode(&messages); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, message := range messages {
		m, found := s.moves[message.Pool]
		if !found || m.id != message.ID {
			continue
		}
		// The router that knew of the order first is nearest to its time.
		if began := time.Now().Add(-time.Duration(message.AgeMs) * time.Millisecond); began.Before(m.began) {
			m.began = began
		}
		m.add(message.Evidence)
		if message.Back && m.state == rollout.StatusRunning {
			m.state, m.reason, m.due = rollout.StatusRolledBack, message.Reason, time.Now()
			s.log.Warn("version rolled back by another router", "move", m.id, "peer", from, "reason", message.Reason)
		}
	}
	return struct{}{}, nil
}
