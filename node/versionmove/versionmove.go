// Package versionmove moves the traffic of pools to a new version within the time that operators
// name, or rolls it back. Every router judges the evidence of all and stops sending to a bad
// version by itself; the store only hears of it. A rollback is never undone.
package versionmove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Times of moves.
const (
	// tellInterval is the time between two messages to other routers while moves run. A bad
	// version has to get nothing more 5 s after its 50th bad answer.
	tellInterval = 250 * time.Millisecond
	// tellTimeout bounds one message.
	tellTimeout = 300 * time.Millisecond
	// settle is how long a good end waits for evidence that other routers have still to tell.
	settle = 2*tellInterval + 50*time.Millisecond
	// takeOver is how long a router waits for each one before it in the move's order to report
	// the move's end.
	takeOver = 300 * time.Millisecond
)

const methodTell = "versionmove.tell"

// Fleet tells about the other routers.
type Fleet interface {
	Others() []fleet.HostID
	Count() int
	Rank(key string) int
}

// Service runs the moves of one router. It is safe for concurrent use.
type Service struct {
	codec     port.FactCodec
	store     port.Store
	transport port.Peers
	fleet     Fleet
	log       *log.Logger

	mu       sync.Mutex
	exposure rollout.Exposure
	moves    map[fleet.PoolID]*move
	// statuses holds the revision and state of each pool's status entry.
	statuses map[fleet.PoolID]status
	// orders maps the store's keys to pools.
	orders map[string]fleet.PoolID
}

type status struct {
	port.MoveStatus
	revision int64
}

// move is one order. Service.mu guards it.
type move struct {
	id       rollout.MoveID
	order    port.MoveOrder
	revision int64
	// from is the version before; empty until it is known.
	from  fleet.Version
	began time.Time
	state rollout.Status
	// reported is true once the store has the state, or has a later one.
	reported bool
	reason   string

	detector *rollout.Detector
	// evidence waits to be told.
	evidence rollout.Evidence
	// requests and exposed count what this router has sent since the order, fresh what all
	// routers have finished on the new version.
	requests, exposed int
	finished          uint32
	// due is when the move's end was first seen to be due.
	due time.Time
}

// New makes a router's part.
func New(codec port.FactCodec, store port.Store, transport port.Peers, others Fleet, exposure rollout.Exposure, logger *log.Logger) *Service {
	s := &Service{
		codec: codec, store: store, transport: transport, fleet: others, log: logger, exposure: exposure,
		moves: map[fleet.PoolID]*move{}, statuses: map[fleet.PoolID]status{}, orders: map[string]fleet.PoolID{},
	}
	transport.Handle(methodTell, s.heard)
	return s
}

// SetExposure puts a changed bound in force.
func (s *Service) SetExposure(exposure rollout.Exposure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure = exposure
}

// Observe takes changes of the store.
func (s *Service) Observe(changes []replica.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			delete(s.moves, s.orders[change.Entry.Key])
			delete(s.orders, change.Entry.Key)
			continue
		}
		fact := s.codec.Decode(change.Entry.Key, change.Entry.Value)
		switch {
		case fact.Move != nil:
			s.ordered(change.Entry, *fact.Move)
		case fact.MoveStatus != nil:
			s.told(change.Entry, *fact.MoveStatus)
		}
	}
}

func (s *Service) ordered(entry port.Entry, order port.MoveOrder) {
	now := time.Now()
	m := &move{
		id: rollout.MoveID(fmt.Sprintf("%s@%d", order.Pool, entry.Revision)), order: order, revision: entry.Revision,
		began: now, state: rollout.StatusRunning,
	}
	m.detector = rollout.NewDetector(rollout.Move{ID: m.id, Begun: now, By: now.Add(order.Duration)})
	s.moves[order.Pool], s.orders[entry.Key] = m, order.Pool
	s.log.Info("version move ordered", "move", m.id, "target", order.Target, "duration", order.Duration)
	if known, found := s.statuses[order.Pool]; found {
		m.take(known)
	}
}

func (s *Service) told(entry port.Entry, told port.MoveStatus) {
	known := status{MoveStatus: told, revision: entry.Revision}
	s.statuses[told.Pool] = known
	if m, found := s.moves[told.Pool]; found {
		m.take(known)
	}
}

// take accepts the end that some router reported. An older status belongs to an earlier order.
func (m *move) take(known status) {
	if known.revision < m.revision || known.Target != m.order.Target {
		return
	}
	switch known.State {
	case port.MoveSucceeded:
		m.state, m.reported = rollout.StatusDone, true
	case port.MoveRolledBack:
		m.state, m.reported = rollout.StatusBack, true
	}
}

// Versions tells which versions of a pool an attempt may go to.
type Versions struct {
	// Avoid is not to be used; Prefer, when set, is used if any upstream of it can take the
	// request. Empty means none.
	Avoid, Prefer fleet.Version
}

// Choose counts an attempt of a pool and draws its version. Present lists the versions of the
// pool's upstreams.
func (s *Service) Choose(pool fleet.PoolID, present map[fleet.Version]int) Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, found := s.moves[pool]
	if !found {
		return Versions{}
	}
	target := m.order.Target
	switch m.state {
	case rollout.StatusDone:
		return Versions{Prefer: target}
	case rollout.StatusBack:
		return Versions{Avoid: target}
	}
	if m.from == "" {
		m.from = mostOf(present, target)
	}
	phase := rollout.PhaseAt(time.Since(m.began), m.order.Duration)
	m.requests++
	if present[target] == 0 || !s.exposure.Admits(phase, m.requests, m.exposed, s.fleet.Count(), rand.Float64()) {
		return Versions{Avoid: target}
	}
	m.exposed++
	return Versions{Prefer: target}
}

// mostOf returns the version with most upstreams besides one.
func mostOf(present map[fleet.Version]int, besides fleet.Version) fleet.Version {
	var most fleet.Version
	for version, count := range present {
		if version != besides && (count > present[most] || count == present[most] && version < most) {
			most = version
		}
	}
	return most
}

// Add takes what a finished attempt tells about its version.
func (s *Service) Add(evidence fleet.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, found := s.moves[evidence.Pool]
	if found && m.state == rollout.StatusRunning {
		m.evidence.Add(rollout.Move{From: m.from, To: m.order.Target}, evidence)
	}
}

// told is what a router tells of one move.
type moveMessage struct {
	Pool     fleet.PoolID   `msgpack:"pool"`
	ID       rollout.MoveID `msgpack:"id"`
	AgeMs    int64          `msgpack:"age_ms"`
	Back     bool           `msgpack:"back,omitempty"`
	Reason   string         `msgpack:"reason,omitempty"`
	Evidence []rollout.Pair `msgpack:"evidence,omitempty"`
}

// Run carries moves on until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick(ctx)
		case <-ctx.Done():
			return
		}
	}
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
			Pool: pool, ID: m.id, AgeMs: time.Since(m.began).Milliseconds(), Back: m.state == rollout.StatusBack,
			Reason: m.reason, Evidence: pairs,
		})
	}
	return messages
}

func (m *move) add(pairs []rollout.Pair) {
	m.detector.Add(time.Now(), pairs)
	for _, pair := range pairs {
		m.finished += pair.New.Requests
	}
}

// judge ends a move when it is time to, or when the evidence is against the version.
func (s *Service) judge(m *move) {
	if m.state != rollout.StatusRunning {
		return
	}
	phase := rollout.PhaseAt(time.Since(m.began), m.order.Duration)
	state, reason := rollout.EndOfShort(phase, m.detector.Verdict(true), m.finished)
	if state == rollout.StatusRunning {
		return
	}
	if state == rollout.StatusDone {
		// All traffic is on the new version already. The state changes with the report.
		if m.due.IsZero() {
			m.due = time.Now()
		}
		m.reason = reason
		return
	}
	m.state, m.reason, m.due = state, reason, time.Now()
	s.log.Warn("version rolled back", "move", m.id, "target", m.order.Target, "reason", reason,
		"age", time.Since(m.began), "exposed", m.exposed, "requests", m.requests)
}

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
		case m.state == rollout.StatusBack:
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
	return m.state == rollout.StatusBack
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
			m.state, m.reason, m.due = rollout.StatusBack, message.Reason, time.Now()
			s.log.Warn("version rolled back by another router", "move", m.id, "peer", from, "reason", message.Reason)
		}
	}
	return struct{}{}, nil
}
