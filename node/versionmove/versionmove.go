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
	codec     port.EntryCodec
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
	// requests and exposed count what this router has sent since the order, finished and failed
	// what ended on the new version, on all routers.
	requests, exposed int
	finished, failed  uint32
	// due is when the move's end was first seen to be due.
	due time.Time
}

// New makes a router's part.
func New(codec port.EntryCodec, store port.Store, transport port.Peers, others Fleet, exposure rollout.Exposure, logger *log.Logger) *Service {
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
	m.detector = rollout.NewDetector(rollout.Move{ID: m.id, Begun: now, Deadline: now.Add(order.Duration)})
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
		m.state, m.reported = rollout.StatusRolledBack, true
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
	case rollout.StatusRolledBack:
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

func (m *move) add(pairs []rollout.Pair) {
	m.detector.Add(time.Now(), pairs)
	for _, pair := range pairs {
		m.finished += pair.New.Requests
		m.failed += pair.New.Failures
	}
}

// judge ends a move when it is time to, or when the evidence is against the version.
func (s *Service) judge(m *move) {
	if m.state != rollout.StatusRunning {
		return
	}
	phase := rollout.PhaseAt(time.Since(m.began), m.order.Duration)
	state, reason := rollout.DecideShortMove(phase, m.detector.Verdict(true), m.finished, m.failed)
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
