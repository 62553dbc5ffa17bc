package versionmove

import (
	"context"
	"time"

	"agateswitch/core/rollout"
	"agateswitch/port"
)

// report is an end that the store is to be told.
type report struct {
	move     *move
	order    port.MoveOrder
	state    port.MoveState
	revision int64
}

// reports returns the ends that it is this router's turn to report.
func (s *Service) reports() []report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []report
	for pool, m := range s.moves {
		turn := m.due.Add(time.Duration(s.fleet.Rank(string(m.id))) * takeOver)
		running := m.state == rollout.StatusRunning && m.due.IsZero() && s.statuses[pool].revision < m.revision
		switch {
		case m.reported:
		case running && s.fleet.Rank(string(m.id)) == 0:
			due = append(due, report{m, m.order, port.MoveRunning, s.statuses[pool].revision})
		case m.due.IsZero() || time.Now().Before(turn):
		case m.state == rollout.StatusRolledBack:
			due = append(due, report{m, m.order, port.MoveRolledBack, s.statuses[pool].revision})
		case time.Now().Before(turn.Add(settle)):
		default:
			due = append(due, report{m, m.order, port.MoveSucceeded, s.statuses[pool].revision})
		}
	}
	return due
}

// report writes a status under the condition that nobody has written another one. A conflict or
// an unknown outcome shows in the replica, and the next tick goes on from there.
func (s *Service) report(ctx context.Context, r report) {
	if s.isBack(r.move) && r.state != port.MoveRolledBack {
		return
	}
	key, value, err := s.codec.MoveStatus(r.order, r.state)
	if err != nil {
		s.log.Error("status of a move not encoded", "move", r.move.id, "err", err)
		return
	}
	result, err := s.store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: key, Revision: r.revision}}, Writes: []port.Write{{Key: key, Value: value}},
	})
	if err != nil || !result.Applied {
		s.log.Warn("status of a move not written", "move", r.move.id, "state", r.state, "conflict", err == nil, "err", err)
		return
	}
	s.log.Info("status of a move written", "move", r.move.id, "state", r.state, "reason", r.move.reason)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told(port.Entry{Revision: result.Revision}, port.MoveStatus{Pool: r.order.Pool, Target: r.order.Target, State: r.state})
}

func (s *Service) isBack(m *move) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.state == rollout.StatusRolledBack
}
