// Package versionmove moves the traffic of pools to a new version within the time that an operator's
// order gives, or rolls it back. Every router evaluates the evidence of all routers, and stops
// sending to a bad version without waiting for the store, which only receives a report of the
// result. A rollback is never undone.
package versionmove

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/core/rollout"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
)

// Intervals and timeouts of moves.
const (
	// publishInterval is the time between two messages to other routers while moves run. A bad
	// version must get no more requests 5 s after its 50th bad answer.
	publishInterval = 250 * time.Millisecond
	// publishTimeout bounds one message.
	publishTimeout = 300 * time.Millisecond
	// evidenceGracePeriod is how long the report of a successful end waits for evidence that other
	// routers have not published yet.
	evidenceGracePeriod = rollout.ReportTime - publishInterval
	// reportTakeoverDelay is how long a router waits, for each router ranked before it for the
	// move, before it reports the move's end in their place.
	reportTakeoverDelay = 300 * time.Millisecond
	// loadTime is how long after the first entries of the store those that were there before may arrive.
	loadTime = 1500 * time.Millisecond
	// historyTime is how long a router that has started during a move waits for the evidence that others have received.
	// Until then it sends nothing to the new version and does not report the move's good end.
	historyTime = 2 * time.Second
	// historyAsks is how many other routers it asks at each publishInterval.
	historyAsks = 3
	// logInterval is the time between two log lines about the evaluation of a running move.
	logInterval = time.Second
)

// Peer methods: methodPublish publishes moves to another router, methodHistory asks it for the evidence about a move.
const (
	methodPublish = "versionmove.tell"
	methodHistory = "versionmove.history"
)

// Fleet provides the other routers, the fleet's size, and this router's rank for a key.
type Fleet interface {
	Others() []fleet.HostID
	Count() int
	Rank(key string) int
	// Relays returns this router's relay plan.
	Relays() dissemination.RelayPlan
}

// Service runs the moves of one router. It is safe for concurrent use.
type Service struct {
	codec     port.EntryCodec
	store     port.Store
	transport port.Peers
	fleet     Fleet
	log       *log.Logger

	// changeDeadline is the time within which a change of the store is in force on all routers.
	changeDeadline time.Duration

	mu       sync.Mutex
	exposure rollout.Exposure
	// loadedAt is when the first entries of the store arrived.
	loadedAt time.Time
	moves    map[fleet.PoolID]*move
	// statuses holds the content and revision of each pool's status entry.
	statuses map[fleet.PoolID]status
	// orders maps the store's keys of orders to pools.
	orders map[string]fleet.PoolID
	// withdrawn holds the versions of each pool that were rolled back, or whose order was replaced or deleted
	// before its end. An order that names a version removes it from there.
	withdrawn map[fleet.PoolID]map[fleet.Version]bool
	// observer names this process in the evidence that it publishes.
	observer rollout.Observer
	// firstSeen holds when each version of a pool first had an upstream here. The versions of the first attempt
	// have the zero time.
	firstSeen map[fleet.PoolID]map[fleet.Version]time.Time
	// reports plans the ways of messages, queue holds those to pass on, and told those of the last time.
	reports dissemination.Reports
	queue   []moveMessage
	told    []toldMessage
}

// status is the status entry of a pool in the store.
type status struct {
	port.MoveStatus
	key      string
	revision revision.Revision
}

// move is the execution of one order. Service.mu guards it.
type move struct {
	id rollout.MoveID
	// earlierIDs are the ids that the move had before the store was restored. Other routers may still use them.
	earlierIDs []rollout.MoveID
	order      port.MoveOrder
	revision   revision.Revision
	// from is the old version. It is empty until the first request shows it.
	from  fleet.Version
	began time.Time
	state rollout.Status
	// reported is true once the store has the state or a later one.
	reported bool
	reason   string

	detector *rollout.Detector
	// evidence is the evidence to publish with the next message, which gets the number reports+1.
	evidence rollout.Evidence
	reports  uint64
	// history holds the evidence of all routers, for those that start later.
	history *rollout.History
	// inheritance is what a router that has started during the move does to learn its history. It is nil on others, and once
	// that is done.
	inheritance *inheritance
	// isPartial is true if no router knew the whole history.
	isPartial bool
	// spending is what this router has used of the exposure bound.
	spending rollout.Spending
	// isFull is true once the full phase has begun on this router.
	isFull bool
	// progress counts the requests of all routers on the new version.
	progress rollout.Progress
	// endDueAt is when this router found that the move has to end.
	endDueAt time.Time
	// observedAt is when evidence last arrived. It is zero without any.
	observedAt time.Time
	// loggedAt is when the evaluation was last logged.
	loggedAt time.Time
}

// New returns the service of a router and registers its peer method.
func New(codec port.EntryCodec, store port.Store, transport port.Peers, others Fleet, exposure rollout.Exposure, changeDeadline time.Duration, logger *log.Logger) *Service {
	s := &Service{
		codec: codec, store: store, transport: transport, fleet: others, log: logger, exposure: exposure, changeDeadline: changeDeadline,
		moves: map[fleet.PoolID]*move{}, statuses: map[fleet.PoolID]status{}, orders: map[string]fleet.PoolID{},
		withdrawn: map[fleet.PoolID]map[fleet.Version]bool{}, firstSeen: map[fleet.PoolID]map[fleet.Version]time.Time{},
		observer: rollout.Observer(uuid.NewString()),
	}
	transport.Handle(methodPublish, s.handleMessages)
	transport.Handle(methodHistory, s.handleHistory)
	return s
}

// SetExposure replaces the bound on requests to unproven versions.
func (s *Service) SetExposure(exposure rollout.Exposure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure = exposure
}

// Observe applies changes of the store.
func (s *Service) Observe(changes []replica.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadedAt.IsZero() {
		s.loadedAt = time.Now()
	}
	for _, change := range changes {
		if change.Deleted {
			s.applyDeletedOrder(change.Entry.Key)
			s.applyLostStatus(change.Entry.Key)
			continue
		}
		decoded := s.codec.Decode(change.Entry.Key, change.Entry.Value)
		switch {
		case decoded.Move != nil && change.Replayed:
			s.adoptOrder(change.Entry, *decoded.Move)
		case decoded.Move != nil:
			s.applyOrder(change.Entry, *decoded.Move)
		case decoded.MoveStatus != nil:
			s.applyStatus(change.Entry, *decoded.MoveStatus)
		}
	}
}

// applyOrder starts a move. Callers hold mu.
func (s *Service) applyOrder(entry port.Entry, order port.MoveOrder) {
	now := time.Now()
	m := &move{
		id: moveID(order, entry.Revision), order: order, revision: entry.Revision,
		began: now, state: rollout.StatusRunning,
	}
	m.spending.Inherited = now.Sub(s.loadedAt) < loadTime
	if m.spending.Inherited {
		m.inheritance = &inheritance{until: now.Add(historyTime), senders: map[fleet.HostID]bool{}}
	}
	m.history = rollout.NewHistory(order.Duration)
	m.detector = m.newDetector()
	if previous, found := s.moves[order.Pool]; found {
		m.from = previous.from
		if previous.state == rollout.StatusDone {
			m.from = previous.order.Target
		}
		s.endOrder(previous)
	}
	delete(s.withdrawn[order.Pool], order.Target)
	s.moves[order.Pool], s.orders[entry.Key] = m, order.Pool
	s.log.Info("version move ordered", "move", m.id, "target", order.Target, "duration", order.Duration,
		"inherited", m.spending.Inherited)
	if current, found := s.statuses[order.Pool]; found {
		m.applyStatus(current)
	}
}

// applyDeletedOrder ends the move of a deleted order. Callers hold mu.
func (s *Service) applyDeletedOrder(key string) {
	pool, found := s.orders[key]
	if !found {
		return
	}
	s.endOrder(s.moves[pool])
	delete(s.moves, pool)
	delete(s.orders, key)
}

// endOrder withdraws the version of a move whose order is no longer in force, unless the move has succeeded.
// Callers hold mu.
func (s *Service) endOrder(m *move) {
	if m.state != rollout.StatusDone {
		s.withdraw(m.order.Pool, m.order.Target)
	}
}

// withdraw excludes a version of a pool from requests until an order names it. Callers hold mu.
func (s *Service) withdraw(pool fleet.PoolID, version fleet.Version) {
	if s.withdrawn[pool][version] {
		return
	}
	if s.withdrawn[pool] == nil {
		s.withdrawn[pool] = map[fleet.Version]bool{}
	}
	s.withdrawn[pool][version] = true
	s.log.Info("version gets no requests until an order names it", "pool", pool, "version", version)
}

// moveID returns the id of the move that an order at a revision has started.
func moveID(order port.MoveOrder, at revision.Revision) rollout.MoveID {
	return rollout.MoveID(fmt.Sprintf("%s@%s", order.Pool, at))
}

// adoptOrder applies an order that was written again after the store was restored: the move goes on.
// Callers hold mu.
func (s *Service) adoptOrder(entry port.Entry, order port.MoveOrder) {
	m, found := s.moves[order.Pool]
	if !found || m.order != order {
		s.applyOrder(entry, order)
		return
	}
	s.log.Info("order of a running move was written again", "move", m.id, "revision", entry.Revision, "state", m.state)
	m.earlierIDs = append(m.earlierIDs, m.id)
	m.id, m.revision = moveID(order, entry.Revision), entry.Revision
}

// hasID reports whether the move has or had an id.
func (m *move) hasID(id rollout.MoveID) bool { return m.id == id || slices.Contains(m.earlierIDs, id) }

// applyLostStatus applies the deletion of a status entry. Only a store that was restored from an older
// copy loses one; the end of a move is then reported again. Callers hold mu.
func (s *Service) applyLostStatus(key string) {
	for pool, lost := range s.statuses {
		if lost.key != key {
			continue
		}
		delete(s.statuses, pool)
		s.log.Warn("status of a move was lost by the store", "key", key, "revision", lost.revision, "state", lost.State)
		if m, found := s.moves[pool]; found {
			m.reportAgain()
		}
	}
}

// applyStatus records the status entry of a pool. Callers hold mu.
func (s *Service) applyStatus(entry port.Entry, reported port.MoveStatus) {
	current := status{MoveStatus: reported, key: entry.Key, revision: entry.Revision}
	s.statuses[reported.Pool] = current
	m, found := s.moves[reported.Pool]
	if found {
		m.applyStatus(current)
	}
	if reported.State == port.MoveRolledBack && (!found || m.order.Target != reported.Target) {
		s.withdraw(reported.Pool, reported.Target)
	}
}

// applyStatus applies the end that some router reported. An older status belongs to an earlier order. A
// restored store may have a status from before the end.
func (m *move) applyStatus(current status) {
	end, isEnd := endStates[current.State]
	isOfMove := current.Target == m.order.Target && current.revision.IsOfSameEra(m.revision) && !m.revision.After(current.revision)
	switch {
	case isEnd && isOfMove:
		m.state, m.reported = end, true
	case isEnd && end == m.state && current.Target == m.order.Target:
	default:
		m.reportAgain()
	}
}

// endStates are the states of moves that have ended.
var endStates = map[port.MoveState]rollout.Status{
	port.MoveSucceeded: rollout.StatusDone, port.MoveRolledBack: rollout.StatusRolledBack,
}

// reportAgain makes the routers report the end of a move whose report the store has lost.
func (m *move) reportAgain() {
	if m.reported {
		m.reported, m.endDueAt = false, time.Now()
	}
}

// Start counts an attempt that is sent to an upstream of a version.
func (s *Service) Start(pool fleet.PoolID, version fleet.Version, stratum rollout.Stratum) {
	s.count(pool, func(m *move) { m.evidence.Start(m.versions(), version, stratum) })
}

// Refuse counts that the upstream refused to run an attempt.
func (s *Service) Refuse(pool fleet.PoolID, version fleet.Version, stratum rollout.Stratum) {
	s.count(pool, func(m *move) { m.evidence.Refuse(m.versions(), version, stratum) })
}

// Add adds the evidence of a finished attempt.
func (s *Service) Add(evidence fleet.Evidence) {
	s.count(evidence.Pool, func(m *move) { m.evidence.Add(m.versions(), evidence) })
}

// count adds to the evidence of a pool's running move, if there is one.
func (s *Service) count(pool fleet.PoolID, add func(*move)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, found := s.moves[pool]; found && m.state == rollout.StatusRunning {
		add(m)
	}
}

// versions returns the versions between which the move chooses.
func (m *move) versions() rollout.Move { return rollout.Move{From: m.from, To: m.order.Target} }

// Run publishes, evaluates and reports moves until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	passOnTicker := time.NewTicker(passOnInterval)
	defer passOnTicker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick(ctx)
		case <-passOnTicker.C:
			s.passOn(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// logEvaluation logs what a decision about a running move depends on, once per logInterval.
func (s *Service) logEvaluation(m *move, verdict rollout.Verdict) {
	if time.Since(m.loggedAt) < logInterval {
		return
	}
	m.loggedAt = time.Now()
	s.log.Info("version move evaluated", "move", m.id, "target", m.order.Target, "phase", s.phase(m), "age", time.Since(m.began),
		"requests", m.spending.Requests, "exposed", m.spending.Exposed, "started", m.progress.Started, "answered", m.progress.Answered,
		"failed", m.progress.Failed,
		"strength", verdict.Strength, "threshold", verdict.Threshold, "evidence", verdict.Reason)
}

// evaluate rolls a running move back when the evidence shows that the new version is bad, and ends
// it when its duration has elapsed.
func (s *Service) evaluate(m *move) {
	if m.state != rollout.StatusRunning {
		return
	}
	verdict := m.detector.Verdict(true)
	dueAt := m.began.Add(rollout.DueAt(m.order.Duration))
	isDue := m.inheritance == nil && rollout.IsDue(time.Since(m.began), m.order.Duration, m.progress)
	state, reason := rollout.DecideShortMove(isDue, verdict, m.progress)
	s.logEvaluation(m, verdict)
	if state == rollout.StatusRunning {
		return
	}
	if state == rollout.StatusDone {
		// The state changes when the end is reported.
		if m.endDueAt.IsZero() {
			m.endDueAt = dueAt
		}
		m.reason = reason
		return
	}
	m.state, m.reason, m.endDueAt = state, reason, time.Now()
	s.log.Warn("version rolled back", "move", m.id, "target", m.order.Target, "reason", reason,
		"age", time.Since(m.began), "exposed", m.spending.Exposed, "requests", m.spending.Requests)
}
