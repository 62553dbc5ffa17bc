// Package moves chooses between the versions of a pool and moves traffic from one to
// another: it passes evidence to the leader of a move, which decides by core/rollout, and
// spreads rollbacks among the routers.
package moves

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/port"
)

// Times of the service.
const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 500 * time.Millisecond
	// exchangeInterval is the time between two exchanges of rollbacks with some router.
	exchangeInterval = time.Second
	// roundInterval is the time between two rounds in which a new rollback is told.
	roundInterval = 200 * time.Millisecond
	// writeTimeout bounds the write of a step; it is well below rollout.StepLeadTime, so that
	// routers hear of a step before it takes effect.
	writeTimeout = time.Second
	// writeInterval is the time between two attempts to write.
	writeInterval = time.Second
)

// Service is a port.Versions. It is safe for concurrent use.
type Service struct {
	config    port.Configuration
	writer    port.ConfigurationWriter
	members   port.Members
	peers     port.Peers
	telemetry port.Telemetry
	metrics   instruments
	epoch     int64
	// synced is closed once the rollbacks of other routers are known.
	synced chan struct{}
	// wake ends the wait for the next tick.
	wake chan struct{}
	// calls counts calls in flight, so that Run leaves nothing behind.
	calls sync.WaitGroup

	// mu guards all below. It is never held during a call.
	mu        sync.Mutex
	pools     map[fleet.PoolID]*poolState
	rollbacks *rollout.Rollbacks
	news      []rollout.Rollback
	rates     map[fleet.PoolID]*rateCounter
	sequence  uint64
	heard     map[fleet.HostID]heardReport
}

// heardReport is the last report of a router.
type heardReport struct {
	epoch    int64
	sequence uint64
}

// poolState is what a router knows of a pool's move.
type poolState struct {
	revision configuration.Revision
	move     rollout.Move
	evidence rollout.Evidence
	detector *rollout.Detector
	// reported and tried are the times of the last report and the last write.
	reported, tried time.Time
	reporting       bool
	writing         bool
	missingSince    time.Time
	fellBack        bool
	hold            string
	// parent and isLeader are the router's place in the move's tree, for the set of routers
	// whose fingerprint is placed.
	parent   fleet.HostID
	isLeader bool
	placed   uint64
}

// New makes the service and registers its methods with the peers.
func New(config port.Configuration, _ port.Store, members port.Members, peers port.Peers, telemetry port.Telemetry) *Service {
	s := &Service{
		config: config, members: members, peers: peers, telemetry: telemetry, metrics: newInstruments(telemetry.Meter),
		epoch: time.Now().UnixNano(), synced: make(chan struct{}), wake: make(chan struct{}, 1),
		pools: map[fleet.PoolID]*poolState{}, rollbacks: rollout.NewRollbacks(),
		rates: map[fleet.PoolID]*rateCounter{}, heard: map[fleet.HostID]heardReport{},
	}
	peers.Handle(methodReport, s.handleReport)
	peers.Handle(methodRollbacks, s.handleRollbacks)
	peers.Handle(methodRate, s.handleRate)
	peers.Handle(methodStatus, s.handleStatus)
	return s
}

// UseWriter sets how steps and rollbacks are made durable. It is called before Run.
func (s *Service) UseWriter(writer port.ConfigurationWriter) { s.writer = writer }

// Run moves traffic between versions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.calls.Wait()
	s.calls.Go(func() { s.sync(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var exchanged time.Time
	for {
		s.refresh()
		s.spread(ctx)
		s.step(ctx)
		if now := time.Now(); now.Sub(exchanged) >= exchangeInterval {
			exchanged = now
			s.calls.Go(func() { s.exchangeInTurn(ctx, now) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

func (s *Service) wakeUp() {
	// One token is enough: the loop takes all news at once.
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refresh takes up moves from the configuration in force, and prunes rollbacks.
func (s *Service) refresh() {
	items := s.config.Current().Items(configuration.KindMove)
	s.mu.Lock()
	defer s.mu.Unlock()
	needed := map[rollout.MoveID]bool{}
	for _, item := range items {
		if state := s.take(item); state != nil && state.move.Status == rollout.StatusRunning {
			needed[state.move.ID] = true
		}
	}
	s.rollbacks.Prune(needed)
}

// take brings a pool's state up to an item. The caller holds mu.
func (s *Service) take(item configuration.Item) *poolState {
	pool := fleet.PoolID(item.Key.Name)
	state := s.pools[pool]
	if state != nil && state.revision >= item.Revision {
		return state
	}
	move, err := rollout.Decode(item.Value)
	if err != nil {
		s.telemetry.Log.Error("version move unreadable, it is left aside", "pool", pool, "err", err)
		return state
	}
	if state == nil || state.move.ID != move.ID {
		state = &poolState{detector: rollout.NewDetector(move)}
		s.pools[pool] = state
	}
	state.revision, state.move = item.Revision, move
	s.telemetry.Log.Info("version move", "pool", pool, "move", move.ID, "from", move.From, "to", move.To,
		"status", move.Status, "step", move.Step, "share", move.ShareAt(move.Effective), "effective", move.Effective, "reason", move.Reason)
	s.metrics.transition(pool, string(move.Status))
	return state
}

// moveOf returns a pool's state and its move as the rollbacks leave it. The caller holds mu.
func (s *Service) moveOf(pool fleet.PoolID) (*poolState, rollout.Move, bool) {
	state := s.pools[pool]
	item, found := s.config.Current().Item(configuration.Key{Kind: configuration.KindMove, Name: string(pool)})
	if found && (state == nil || item.Revision > state.revision) {
		state = s.take(item)
	}
	if state == nil {
		return nil, rollout.Move{}, false
	}
	return state, s.rollbacks.Apply(state.move), true
}

// Choose implements port.Versions.
func (s *Service) Choose(pool fleet.PoolID, chat fleet.ChatID) fleet.Version {
	move, found := s.current(pool)
	if !found {
		settings, _ := s.config.Current().Pool(pool)
		return settings.Version
	}
	share := move.ShareAt(time.Now())
	if move.Status == rollout.StatusRunning && share > 0 && !s.waitSynced() {
		// A rollback may be unknown here, and it must hold: the old version is safe.
		share = 0
	}
	// Waiting may have brought a rollback.
	if move, _ = s.current(pool); move.Status == rollout.StatusRolledBack {
		share = 0
	}
	return s.withUpstream(pool, move, move.Choose(chat, share))
}

func (s *Service) current(pool fleet.PoolID) (rollout.Move, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, move, found := s.moveOf(pool)
	return move, found
}

// withUpstream returns the version, or the other one while no upstream of it takes work.
// A version that was rolled back is never fallen back to.
func (s *Service) withUpstream(pool fleet.PoolID, move rollout.Move, version fleet.Version) fleet.Version {
	other := move.From
	if version == move.From {
		other = move.To
	}
	usable := countVersions(s.members.Usable(pool))
	falls := usable[version] == 0 && usable[other] > 0 && !(other == move.To && move.Status == rollout.StatusRolledBack)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.pools[pool]
	if state == nil {
		return version
	}
	if falls != state.fellBack {
		state.fellBack = falls
		s.telemetry.Log.Warn("version fallback", "pool", pool, "active", falls, "chosen", version, "instead", other,
			"reason", "no upstream of the chosen version takes work")
	}
	if !falls {
		return version
	}
	s.metrics.fallback(pool)
	return other
}

func countVersions(upstreams []fleet.Upstream) map[fleet.Version]int {
	counts := map[fleet.Version]int{}
	for _, upstream := range upstreams {
		counts[upstream.Version]++
	}
	return counts
}

// Observe implements port.Versions.
func (s *Service) Observe(evidence fleet.Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate(evidence.Pool).count(time.Now())
	if state, move, found := s.moveOf(evidence.Pool); found && move.Status == rollout.StatusRunning {
		state.evidence.Add(move, evidence)
	}
}
