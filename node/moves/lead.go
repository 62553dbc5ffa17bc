package moves

import (
	"context"
	"encoding/json"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// step does what is due for each pool's move: evidence goes up the tree, and the leader
// decides. Two leaders at once are harmless: each step is a compare-and-swap of the move,
// and rollbacks of both say the same.
func (s *Service) step(ctx context.Context) {
	routers := s.members.Routers()
	place := place{self: s.members.Self().ID, routers: routers, fingerprint: rollout.Fingerprint(routers)}
	s.mu.Lock()
	pools := make([]fleet.PoolID, 0, len(s.pools))
	for pool := range s.pools {
		pools = append(pools, pool)
	}
	s.mu.Unlock()
	for _, pool := range pools {
		s.stepPool(ctx, pool, place)
	}
}

// place is where a router stands among the routers that it believes alive.
type place struct {
	self        fleet.HostID
	routers     []fleet.Host
	fingerprint uint64
}

// find returns the router to which a move's evidence goes. The caller holds the service's mu.
func (p *poolState) find(at place) (parent fleet.HostID, isLeader bool) {
	if p.placed != at.fingerprint {
		p.parent, p.isLeader = rollout.Parent(p.move.ID, at.self, at.routers)
		p.placed = at.fingerprint
	}
	return p.parent, p.isLeader
}

func (s *Service) stepPool(ctx context.Context, pool fleet.PoolID, at place) {
	usable := countVersions(s.members.Usable(pool))
	now := time.Now()
	s.mu.Lock()
	state, move, found := s.moveOf(pool)
	if !found || state.move.Status != rollout.StatusRunning {
		s.mu.Unlock()
		return
	}
	parent, isLeader := state.find(at)
	if move.Status == rollout.StatusRolledBack {
		due := isLeader && !state.writing && now.Sub(state.tried) >= writeInterval
		s.mu.Unlock()
		if due {
			s.write(ctx, pool, move, state)
		}
		return
	}
	verdict := s.judge(ctx, now, state, move, parent, isLeader)
	var decision rollout.Decision
	if isLeader {
		state.setMissing(now, usable[move.To] > 0)
		decision = rollout.Decide(now, rollout.Input{Move: move, Detector: state.detector, NoUpstreamSince: state.missingSince})
		state.hold = decision.Reason
	}
	due := !state.writing && now.Sub(state.tried) >= writeInterval
	s.mu.Unlock()
	switch {
	case verdict.Bad:
		s.rollback(move, verdict.Reason)
	case decision.Action == rollout.ActionRollback:
		s.rollback(move, decision.Reason)
	case decision.Action == rollout.ActionStep && due && s.isSynced():
		s.write(ctx, pool, move.NextStep(now, decision.Reason), state)
	case decision.Action == rollout.ActionDone && due && s.isSynced():
		s.write(ctx, pool, move.Done(now, decision.Reason), state)
	}
}

func (p *poolState) setMissing(now time.Time, present bool) {
	switch {
	case present:
		p.missingSince = time.Time{}
	case p.missingSince.IsZero():
		p.missingSince = now
	}
}

// judge passes on what has been folded and judges it. The caller holds mu.
func (s *Service) judge(ctx context.Context, now time.Time, state *poolState, move rollout.Move,
	parent fleet.HostID, isLeader bool) rollout.Verdict {
	step := move.Step
	if now.Before(move.Effective) {
		step--
	}
	state.detector.SetStep(step, move.ShareAt(now))
	due := now.Sub(state.reported) >= rollout.ReportInterval && !state.reporting
	if !state.evidence.Empty() && (isLeader || due) {
		pairs := state.evidence.Take()
		state.detector.Add(now, pairs)
		if !isLeader {
			state.reported, state.reporting = now, true
			s.sequence++
			report := reportRequest{Pool: move.Pool, Move: move.ID, Epoch: s.epoch, Sequence: s.sequence, Pairs: pairs}
			s.calls.Go(func() { s.report(ctx, parent, report, state) })
		}
	}
	return state.detector.Verdict(isLeader)
}

// report sends evidence up. Evidence without an answer is not sent again: it may have
// arrived, and must not count twice.
func (s *Service) report(ctx context.Context, parent fleet.HostID, report reportRequest, state *poolState) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer reportResponse
	err := s.peers.Call(callCtx, parent, methodReport, report, &answer)
	s.mu.Lock()
	state.reporting = false
	s.mu.Unlock()
	s.metrics.report(err)
	if err != nil {
		if ctx.Err() == nil {
			s.members.Suspect(parent)
		}
		return
	}
	s.members.Confirm(parent)
	if answer.Rollback != nil {
		s.learn([]rollout.Rollback{*answer.Rollback})
	}
}

func (s *Service) handleReport(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var report reportRequest
	if err := decode(&report); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var response reportResponse
	if rollback, found := s.rollbacks.Get(report.Move); found {
		response.Rollback = &rollback
	}
	last := s.heard[from]
	isLater := report.Epoch > last.epoch || (report.Epoch == last.epoch && report.Sequence > last.sequence)
	state, move, found := s.moveOf(report.Pool)
	if !found || move.ID != report.Move || move.Status != rollout.StatusRunning || !isLater {
		return response, nil
	}
	s.heard[from] = heardReport{epoch: report.Epoch, sequence: report.Sequence}
	state.evidence.Merge(report.Pairs)
	return response, nil
}

// write makes a transition durable by compare-and-swap of the move.
func (s *Service) write(ctx context.Context, pool fleet.PoolID, move rollout.Move, state *poolState) {
	s.mu.Lock()
	state.writing, state.tried = true, time.Now()
	expected := state.revision
	s.mu.Unlock()
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		refusal := s.writeMove(ctx, pool, move, expected)
		s.mu.Lock()
		state.writing = false
		s.mu.Unlock()
		if refusal != nil {
			s.telemetry.Log.Warn("version move not written, trying again", "pool", pool, "move", move.ID,
				"status", move.Status, "step", move.Step, "reason", refusal.Message)
		}
	})
}

func (s *Service) writeMove(ctx context.Context, pool fleet.PoolID, move rollout.Move, expected configuration.Revision) *fleet.Refusal {
	value, err := json.Marshal(move)
	if err != nil {
		return fleet.Refuse(fleet.CodeInternal, err.Error(), 0)
	}
	key := configuration.Key{Kind: configuration.KindMove, Name: string(pool)}
	_, refusal := s.writer.WriteItem(ctx, key, value, expected)
	return refusal
}
