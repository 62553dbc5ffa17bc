// Package moves chooses between the versions of a pool and moves traffic from one version to
// another. It reports evidence to the leader of a move, which decides by core/rollout, and
// publishes rollbacks to all routers by gossip.
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

// Intervals and timeouts of the service.
const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 500 * time.Millisecond
	// exchangeInterval is the time between two exchanges of rollbacks, each with one other router.
	exchangeInterval = time.Second
	// gossipInterval is the time between two gossip rounds of a new rollback.
	gossipInterval = 200 * time.Millisecond
	// writeTimeout bounds the write of a step. It is well below rollout.StepLeadTime, so that
	// routers receive a step before it takes effect.
	writeTimeout = time.Second
	// writeInterval is the minimum time between two attempts to write a pool's move.
	writeInterval = time.Second
)

// Service implements port.Versions. It is safe for concurrent use.
type Service struct {
	config    port.Configuration
	writer    port.ConfigurationWriter
	members   port.Members
	peers     port.Peers
	telemetry port.Telemetry
	metrics   instruments
	epoch     int64
	// synced is closed when the initial sync of rollbacks with other routers has ended.
	synced chan struct{}
	// wake interrupts the wait for the next tick.
	wake chan struct{}
	// calls counts the goroutines that Run has started, so that it returns after all of them.
	calls sync.WaitGroup

	// mu guards the fields below. It is never held during a call.
	mu        sync.Mutex
	pools     map[fleet.PoolID]*poolState
	rollbacks *rollout.Rollbacks
	// pendingRollbacks are new rollbacks whose gossip has not started yet.
	pendingRollbacks []rollout.Rollback
	rates            map[fleet.PoolID]*rateCounter
	sequence         uint64
	lastReports      map[fleet.HostID]receivedReport
}

// receivedReport identifies the last report received from a router.
type receivedReport struct {
	epoch    int64
	sequence uint64
}

// poolState is a router's state of a pool's move.
type poolState struct {
	revision configuration.Revision
	move     rollout.Move
	evidence rollout.Evidence
	detector *rollout.Detector
	// lastReport and lastWrite are the times of the last report and the last attempt to write.
	lastReport, lastWrite time.Time
	reporting             bool
	writing               bool
	noUpstreamSince       time.Time
	fallbackActive        bool
	holdReason            string
	// parent and isLeader are the router's position in the move's tree. They are computed for
	// the set of routers that has the fingerprint treeFingerprint.
	parent          fleet.HostID
	isLeader        bool
	treeFingerprint uint64
}

// New returns a service and registers its methods with the peers.
func New(config port.Configuration, _ port.Store, members port.Members, peers port.Peers, telemetry port.Telemetry) *Service {
	s := &Service{
		config: config, members: members, peers: peers, telemetry: telemetry, metrics: newInstruments(telemetry.Meter),
		epoch: time.Now().UnixNano(), synced: make(chan struct{}), wake: make(chan struct{}, 1),
		pools: map[fleet.PoolID]*poolState{}, rollbacks: rollout.NewRollbacks(),
		rates: map[fleet.PoolID]*rateCounter{}, lastReports: map[fleet.HostID]receivedReport{},
	}
	peers.Handle(methodReport, s.handleReport)
	peers.Handle(methodRollbacks, s.handleRollbacks)
	peers.Handle(methodRate, s.handleRate)
	peers.Handle(methodStatus, s.handleStatus)
	return s
}

// UseWriter sets the writer that makes steps and rollbacks durable. It must be called before Run.
func (s *Service) UseWriter(writer port.ConfigurationWriter) { s.writer = writer }

// Run moves traffic between versions until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.calls.Wait()
	s.calls.Go(func() { s.initialSync(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var exchanged time.Time
	for {
		s.refresh()
		s.publishPending(ctx)
		s.stepAll(ctx)
		if now := time.Now(); now.Sub(exchanged) >= exchangeInterval {
			exchanged = now
			s.calls.Go(func() { s.exchangeWithNext(ctx, now) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

// wakeUp makes Run start its next iteration at once.
func (s *Service) wakeUp() {
	// One token is enough: an iteration of the loop publishes all pending rollbacks.
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// refresh applies the moves of the configuration in force and prunes rollbacks.
func (s *Service) refresh() {
	items := s.config.Current().Items(configuration.KindMove)
	s.mu.Lock()
	defer s.mu.Unlock()
	needed := map[rollout.MoveID]bool{}
	for _, item := range items {
		if state := s.applyItem(item); state != nil && state.move.Status == rollout.StatusRunning {
			needed[state.move.ID] = true
		}
	}
	s.rollbacks.Prune(needed)
}

// applyItem updates a pool's state from a move item unless it already has that revision. It returns
// the state, which is nil if no move of the pool could be decoded. The caller holds mu.
func (s *Service) applyItem(item configuration.Item) *poolState {
	pool := fleet.PoolID(item.Key.Name)
	state := s.pools[pool]
	if state != nil && state.revision >= item.Revision {
		return state
	}
	move, err := rollout.Decode(item.Value)
	if err != nil {
		s.telemetry.Log.Error("failed to decode a version move; keeping the previous state", "pool", pool, "err", err)
		return state
	}
	if state == nil || state.move.ID != move.ID {
		state = &poolState{detector: rollout.NewDetector(move)}
		s.pools[pool] = state
	}
	state.revision, state.move = item.Revision, move
	s.telemetry.Log.Info("version move updated", "pool", pool, "move", move.ID, "from", move.From, "to", move.To,
		"status", move.Status, "step", move.Step, "share", move.ShareAt(move.Effective), "effective", move.Effective, "reason", move.Reason)
	s.metrics.transition(pool, string(move.Status))
	return state
}

// stateAndMove returns a pool's state and its move with rollbacks applied. The caller holds mu.
func (s *Service) stateAndMove(pool fleet.PoolID) (*poolState, rollout.Move, bool) {
	state := s.pools[pool]
	item, found := s.config.Current().Item(configuration.Key{Kind: configuration.KindMove, Name: string(pool)})
	if found && (state == nil || item.Revision > state.revision) {
		state = s.applyItem(item)
	}
	if state == nil {
		return nil, rollout.Move{}, false
	}
	return state, s.rollbacks.Apply(state.move), true
}

// Choose implements port.Versions.
func (s *Service) Choose(pool fleet.PoolID, chat fleet.ChatID) fleet.Version {
	move, found := s.currentMove(pool)
	if !found {
		settings, _ := s.config.Current().Pool(pool)
		return settings.Version
	}
	share := move.ShareAt(time.Now())
	if move.Status == rollout.StatusRunning && share > 0 && !s.waitSynced() {
		// This router may not have received a rollback yet; the old version is the safe choice.
		share = 0
	}
	// A rollback may have arrived during the wait.
	if move, _ = s.currentMove(pool); move.Status == rollout.StatusRolledBack {
		share = 0
	}
	return s.withFallback(pool, move, move.Choose(chat, share))
}

// currentMove returns a pool's move with rollbacks applied, and false if there is none.
func (s *Service) currentMove(pool fleet.PoolID) (rollout.Move, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, move, found := s.stateAndMove(pool)
	return move, found
}

// withFallback returns the version, or the other version of the move while the chosen one has no
// usable upstream. It never falls back to a version that was rolled back.
func (s *Service) withFallback(pool fleet.PoolID, move rollout.Move, version fleet.Version) fleet.Version {
	other := move.From
	if version == move.From {
		other = move.To
	}
	usable := countVersions(s.members.Usable(pool))
	useFallback := usable[version] == 0 && usable[other] > 0 && !(other == move.To && move.Status == rollout.StatusRolledBack)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.pools[pool]
	if state == nil {
		return version
	}
	if useFallback != state.fallbackActive {
		state.fallbackActive = useFallback
		s.telemetry.Log.Warn("fallback of a pool to its other version started or ended", "pool", pool, "active", useFallback, "chosen", version, "instead", other,
			"reason", "no upstream of the chosen version takes work")
	}
	if !useFallback {
		return version
	}
	s.metrics.fallback(pool)
	return other
}

// countVersions returns the number of upstreams of each version.
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
	s.rateCounterOf(evidence.Pool).count(time.Now())
	if state, move, found := s.stateAndMove(evidence.Pool); found && move.Status == rollout.StatusRunning {
		state.evidence.Add(move, evidence)
	}
}
