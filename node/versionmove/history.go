package versionmove

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// inheritance is the state of a router that has started during a move until it has learned what others have seen.
type inheritance struct {
	// until is when the router goes on without the whole history.
	until time.Time
	// reports are those that arrived since the router knows the move.
	reports []timedReport
	// senders are the routers that have sent reports. Some may be leaving, so that the fleet does not name them.
	senders map[fleet.HostID]bool
	// best is the largest history that another router has told, a complete one before others. It is nil if there is none.
	best *historyResponse
}

// add adds the answer of another router. A router that leaves still answers although it hears no more of the others.
func (i *inheritance) add(response historyResponse) {
	isBetter := i.best == nil || response.IsComplete && !i.best.IsComplete
	if isBetter || response.IsComplete == i.best.IsComplete && response.History.Requests() > i.best.History.Requests() {
		i.best = &response
	}
}

// timedReport is a report with the time of its arrival.
type timedReport struct {
	rollout.Report
	at time.Time
}

// historyRequest asks for the evidence about a move.
type historyRequest struct {
	Pool fleet.PoolID     `msgpack:"pool"`
	IDs  []rollout.MoveID `msgpack:"ids"`
}

// historyResponse is what a router knows of a move.
type historyResponse struct {
	// IsKnown is false if the router knows no such move.
	IsKnown bool `msgpack:"known,omitempty"`
	// IsComplete is true if the router has run since the move's order, or has its history from such a one.
	IsComplete bool             `msgpack:"complete,omitempty"`
	AgeMs      int64            `msgpack:"age_ms,omitempty"`
	History    rollout.Snapshot `msgpack:"history"`
}

// handleHistory answers a router that has started during a move.
func (s *Service) handleHistory(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request historyRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, found := s.moves[request.Pool]
	if !found || !slices.ContainsFunc(request.IDs, m.hasID) {
		return historyResponse{}, nil
	}
	return historyResponse{
		IsKnown: true, IsComplete: m.inheritance == nil && !m.isPartial, AgeMs: time.Since(m.began).Milliseconds(), History: m.history.Snapshot(),
	}, nil
}

// askForHistories asks some other routers for the history of each move of which this one does not know it.
func (s *Service) askForHistories(ctx context.Context) {
	others := s.fleet.Others()
	for _, missing := range s.missingHistories() {
		for _, other := range drawn(others, historyAsks) {
			go s.askForHistory(ctx, other, missing.request)
		}
		for _, sender := range drawn(missing.senders, historyAsks) {
			go s.askForHistory(ctx, sender, missing.request)
		}
	}
}

// drawn returns up to n of the routers, drawn at random.
func drawn(routers []fleet.HostID, n int) []fleet.HostID {
	routers = slices.Clone(routers)
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers[:min(len(routers), n)]
}

// missingHistory is a history that this router does not know, and the routers that have sent reports of its move.
type missingHistory struct {
	request historyRequest
	senders []fleet.HostID
}

func (s *Service) missingHistories() []missingHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	var missing []missingHistory
	for pool, m := range s.moves {
		if m.inheritance != nil && m.state == rollout.StatusRunning {
			missing = append(missing, missingHistory{
				request: historyRequest{Pool: pool, IDs: append(slices.Clone(m.earlierIDs), m.id)},
				senders: slices.Collect(maps.Keys(m.inheritance.senders)),
			})
		}
	}
	return missing
}

// askForHistory asks one router for a history and applies its answer.
func (s *Service) askForHistory(ctx context.Context, other fleet.HostID, request historyRequest) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	var response historyResponse
	if err := s.transport.Call(ctx, other, methodHistory, request, &response); err != nil {
		s.log.Info("failed to ask a router for the evidence about a version move", "peer", other, "pool", request.Pool, "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, found := s.moves[request.Pool]
	if !found || !slices.ContainsFunc(request.IDs, m.hasID) || m.inheritance == nil || !response.IsKnown {
		return
	}
	m.learnAge(time.Duration(response.AgeMs) * time.Millisecond)
	m.inheritance.add(response)
}

// endInheritance applies the history that other routers have told, or goes on without it when the time for it is over. Callers
// hold mu.
func (s *Service) endInheritance(m *move) {
	if m.inheritance == nil {
		return
	}
	best := m.inheritance.best
	isOver := !time.Now().Before(m.inheritance.until)
	switch {
	case best != nil && (best.IsComplete || isOver):
		m.isPartial = !best.IsComplete
		s.restore(m, best.History)
	case isOver:
		m.isPartial = true
		m.inheritance = nil
		s.log.Warn("no router knows the evidence about a version move; going on without it", "move", m.id)
	}
}

// restore replaces a move's evidence by the history of another router, and adds what has arrived here that is not part of it.
// Callers hold mu.
func (s *Service) restore(m *move, history rollout.Snapshot) {
	reports := m.inheritance.reports
	m.inheritance = nil
	m.detector, m.progress = m.newDetector(), rollout.Progress{}
	m.history.Restore(history, func(age time.Duration, pairs []rollout.Pair) { m.addEvidence(m.began.Add(age), pairs) })
	for _, report := range reports {
		if m.history.Add(report.at.Sub(m.began), report.Report) {
			m.addEvidence(report.at, report.Pairs)
		}
	}
	s.log.Info("learned the evidence about a version move", "move", m.id, "complete", !m.isPartial, "age", time.Since(m.began),
		"observers", len(history.Received), "answered", m.progress.Answered, "failed", m.progress.Failed)
}

// newDetector returns a detector without evidence.
func (m *move) newDetector() *rollout.Detector {
	return rollout.NewShortMoveDetector(rollout.Move{ID: m.id, Begun: m.began, Deadline: m.began.Add(m.order.Duration)})
}

// addReport adds evidence of this router or another one, unless it was added before.
func (m *move) addReport(report rollout.Report) {
	now := time.Now()
	if !m.history.Add(now.Sub(m.began), report) {
		return
	}
	m.addEvidence(now, report.Pairs)
	if m.inheritance != nil {
		m.inheritance.reports = append(m.inheritance.reports, timedReport{at: now, Report: report})
	}
}

// addEvidence applies evidence that arrived at now to the tests.
func (m *move) addEvidence(now time.Time, pairs []rollout.Pair) {
	if len(pairs) > 0 {
		m.observedAt = now
	}
	m.detector.Add(now, pairs)
	for _, pair := range pairs {
		m.progress.Add(pair)
	}
}
