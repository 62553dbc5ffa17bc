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

// stepAll advances each pool's move: routers report evidence up the tree, and the leader
// decides. Two leaders at once are harmless: each step is a compare-and-swap of the move, and
// rollbacks by either leader have the same effect.
func (s *Service) stepAll(ctx context.Context) {
	routers := s.members.Routers()
	view := routerView{self: s.members.Self().ID, routers: routers, fingerprint: rollout.Fingerprint(routers)}
	s.mu.Lock()
	pools := make([]fleet.PoolID, 0, len(s.pools))
	for pool := range s.pools {
		pools = append(pools, pool)
	}
	s.mu.Unlock()
	for _, pool := range pools {
		s.stepPool(ctx, pool, view)
	}
}

// routerView is a router's view of the live routers, itself included.
type routerView struct {
	self        fleet.HostID
	routers     []fleet.Host
	fingerprint uint64
}

// treeParent returns the router to which this router reports a move's evidence, and whether this
// router is the leader. The caller holds the service's mu.
func (p *poolState) treeParent(view routerView) (parent fleet.HostID, isLeader bool) {
	if p.treeFingerprint != view.fingerprint {
		p.parent, p.isLeader = rollout.Parent(p.move.ID, view.self, view.routers)
		p.treeFingerprint = view.fingerprint
	}
	return p.parent, p.isLeader
}

// stepPool advances the move of one pool.
func (s *Service) stepPool(ctx context.Context, pool fleet.PoolID, view routerView) {
	usable := countVersions(s.members.Usable(pool))
	now := time.Now()
	s.mu.Lock()
	state, move, found := s.stateAndMove(pool)
	if !found || state.move.Status != rollout.StatusRunning {
		s.mu.Unlock()
		return
	}
	parent, isLeader := state.treeParent(view)
	if move.Status == rollout.StatusRolledBack {
		due := isLeader && !state.writing && now.Sub(state.lastWrite) >= writeInterval
		s.mu.Unlock()
		if due {
			s.startWrite(ctx, pool, move, state)
		}
		return
	}
	verdict := s.evaluate(ctx, now, state, move, parent, isLeader)
	var decision rollout.Decision
	if isLeader {
		state.setUpstreamPresent(now, usable[move.To] > 0)
		decision = rollout.Decide(now, rollout.Input{Move: move, Detector: state.detector, NoUpstreamSince: state.noUpstreamSince})
		state.holdReason = decision.Reason
	}
	due := !state.writing && now.Sub(state.lastWrite) >= writeInterval
	s.mu.Unlock()
	switch {
	case verdict.Bad:
		s.rollBack(move, verdict.Reason)
	case decision.Action == rollout.ActionRollback:
		s.rollBack(move, decision.Reason)
	case decision.Action == rollout.ActionStep && due && s.isSynced():
		s.startWrite(ctx, pool, move.NextStep(now, decision.Reason), state)
	case decision.Action == rollout.ActionDone && due && s.isSynced():
		s.startWrite(ctx, pool, move.Done(now, decision.Reason), state)
	}
}

// setUpstreamPresent records since when the new version has had no usable upstream.
func (p *poolState) setUpstreamPresent(now time.Time, present bool) {
	switch {
	case present:
		p.noUpstreamSince = time.Time{}
	case p.noUpstreamSince.IsZero():
		p.noUpstreamSince = now
	}
}

// evaluate adds the collected evidence to the detector and returns the detector's verdict. Unless
// this router is the leader, it also reports the evidence to the parent. The caller holds mu.
func (s *Service) evaluate(ctx context.Context, now time.Time, state *poolState, move rollout.Move,
	parent fleet.HostID, isLeader bool) rollout.Verdict {
	step := move.Step
	if now.Before(move.Effective) {
		step--
	}
	state.detector.SetStep(step, move.ShareAt(now))
	due := now.Sub(state.lastReport) >= rollout.ReportInterval && !state.reporting
	if !state.evidence.Empty() && (isLeader || due) {
		pairs := state.evidence.Take()
		state.detector.Add(now, pairs)
		if !isLeader {
			state.lastReport, state.reporting = now, true
			s.sequence++
			report := reportRequest{Pool: move.Pool, Move: move.ID, Epoch: s.epoch, Sequence: s.sequence, Pairs: pairs}
			s.calls.Go(func() { s.report(ctx, parent, report, state) })
		}
	}
	return state.detector.Verdict(isLeader)
}

// report sends evidence to the parent. Evidence without an answer is not sent again: it may have
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
		s.addRollbacks([]rollout.Rollback{*answer.Rollback})
	}
}

// handleReport merges the evidence of a child and answers with the rollback of its move, if any. It
// ignores the evidence of duplicate and reordered reports and of moves that aren't running.
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
	last := s.lastReports[from]
	isLater := report.Epoch > last.epoch || (report.Epoch == last.epoch && report.Sequence > last.sequence)
	state, move, found := s.stateAndMove(report.Pool)
	if !found || move.ID != report.Move || move.Status != rollout.StatusRunning || !isLater {
		return response, nil
	}
	s.lastReports[from] = receivedReport{epoch: report.Epoch, sequence: report.Sequence}
	state.evidence.Merge(report.Pairs)
	return response, nil
}

// startWrite starts to make a transition durable by a compare-and-swap of the move. A failed write
// is retried by a later tick.
func (s *Service) startWrite(ctx context.Context, pool fleet.PoolID, move rollout.Move, state *poolState) {
	s.mu.Lock()
	state.writing, state.lastWrite = true, time.Now()
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
			s.telemetry.Log.Warn("failed to write a version move to the store; retrying", "pool", pool, "move", move.ID,
				"status", move.Status, "step", move.Step, "reason", refusal.Message)
		}
	})
}

// writeMove writes a pool's move if the stored item still has the expected revision.
func (s *Service) writeMove(ctx context.Context, pool fleet.PoolID, move rollout.Move, expected configuration.Revision) *fleet.Refusal {
	value, err := json.Marshal(move)
	if err != nil {
		return fleet.Refuse(fleet.CodeInternal, err.Error(), 0)
	}
	key := configuration.Key{Kind: configuration.KindMove, Name: string(pool)}
	_, refusal := s.writer.WriteItem(ctx, key, value, expected)
	return refusal
}
