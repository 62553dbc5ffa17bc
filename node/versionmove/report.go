package versionmove

import (
	"context"
	"time"

	"agateswitch/core/revision"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// statusWrite is a status to write to the store.
type statusWrite struct {
	move     *move
	id       rollout.MoveID
	reason   string
	order    port.MoveOrder
	state    port.MoveState
	revision revision.Revision
}

// dueStatusWrites returns the statuses that this router has to write now.
func (s *Service) dueStatusWrites() []statusWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []statusWrite
	for pool, m := range s.moves {
		dueAt := m.endDueAt.Add(time.Duration(s.fleet.Rank(string(m.id))) * reportTakeoverDelay)
		reported := s.statuses[pool]
		isReported := reported.Target == m.order.Target && !m.revision.After(reported.revision)
		running := m.state == rollout.StatusRunning && m.endDueAt.IsZero() && !isReported
		switch {
		case m.reported:
		case running && s.fleet.Rank(string(m.id)) == 0:
			due = append(due, statusWrite{m, m.id, m.reason, m.order, port.MoveRunning, s.statuses[pool].revision})
		case m.endDueAt.IsZero() || time.Now().Before(dueAt):
		case m.state == rollout.StatusRolledBack:
			due = append(due, statusWrite{m, m.id, m.reason, m.order, port.MoveRolledBack, s.statuses[pool].revision})
		case time.Now().Before(dueAt.Add(evidenceGracePeriod)):
		default:
			due = append(due, statusWrite{m, m.id, m.reason, m.order, port.MoveSucceeded, s.statuses[pool].revision})
		}
	}
	return due
}

// writeStatus writes a status on the condition that no other router has written one since. After a
// conflict or an unknown outcome the replica shows the entry's state, and the next tick continues
// from there.
func (s *Service) writeStatus(ctx context.Context, write statusWrite) {
	if s.isRolledBack(write.move) && write.state != port.MoveRolledBack {
		return
	}
	key, value, err := s.codec.MoveStatus(write.order, write.state)
	if err != nil {
		s.log.Error("failed to encode the status of a move", "move", write.id, "err", err)
		return
	}
	result, err := s.store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: key, Revision: write.revision}}, Writes: []port.Write{{Key: key, Value: value}},
	})
	if err != nil || !result.Applied {
		s.log.Warn("failed to write the status of a move", "move", write.id, "state", write.state, "conflict", err == nil, "err", err)
		return
	}
	s.log.Info("status of a move written", "move", write.id, "state", write.state, "reason", write.reason)
	s.applyWritten(port.Entry{Key: key, Revision: result.Revision}, port.MoveStatus{Pool: write.order.Pool, Target: write.order.Target, State: write.state})
	if write.state == port.MoveSucceeded {
		// The old version stops now, before the others see the entry.
		s.publish(ctx, []moveMessage{{Pool: write.order.Pool, ID: write.id, Succeeded: true}})
	}
}

// applyWritten applies a status that this router has written.
func (s *Service) applyWritten(entry port.Entry, written port.MoveStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyStatus(entry, written)
}

// isRolledBack reports whether a move is rolled back on this router.
func (s *Service) isRolledBack(m *move) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return m.state == rollout.StatusRolledBack
}
