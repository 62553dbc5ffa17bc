package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// machineChats is how many chats are checked for their versions.
const machineChats = 100

// routerModel is the state of one router.
type routerModel struct {
	revision  int
	move      rollout.Move
	rollbacks *rollout.Rollbacks
	// synced is true once the router has received the rollbacks of another one since its start.
	synced bool
	// known holds the moves whose rollbacks the router had before it restarted.
	known map[rollout.MoveID]bool
}

// write is a pending compare-and-swap. Its answer, and even its effect, may be delayed.
type write struct {
	move     rollout.Move
	expected int
}

// machine models routers, a store, and a network that loses, duplicates and delays messages.
type machine struct {
	now           time.Time
	store         rollout.Move
	storeRevision int
	routers       []*routerModel
	pending       []write
	rollbacks     []rollout.Rollback
	// allowedSteps is how many steps the leader's evidence has allowed in the move.
	allowedSteps int
	moveCount    int
	// regressed is true once an older state of a move replaced a newer one in the store.
	regressed bool
}

func newMachine() *machine {
	m := &machine{now: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}
	for range 4 {
		m.routers = append(m.routers, &routerModel{rollbacks: rollout.NewRollbacks(), synced: true})
	}
	m.begin()
	for _, r := range m.routers {
		r.move, r.revision = m.store, m.storeRevision
	}
	m.now = m.now.Add(rollout.StepLeadTime)
	return m
}

// begin starts a new move, as an operator does.
func (m *machine) begin() {
	plan := rollout.MakePlan(m.now, m.now.Add(time.Hour), 100)
	m.moveCount++
	m.allowedSteps = 0
	m.store = rollout.Move{
		ID: rollout.MoveID(fmt.Sprint("m", m.moveCount)), Pool: "p", From: "1", To: "2", Begun: m.now, Deadline: m.now.Add(time.Hour),
		Status: rollout.StatusRunning, Plan: plan.Steps, Effective: m.now.Add(rollout.StepLeadTime),
	}
	m.storeRevision++
}

// applyWrite applies a write if the store hasn't changed since the write was decided.
func (m *machine) applyWrite(w write) {
	if w.expected == m.storeRevision {
		if m.store.ID == w.move.ID {
			m.regressed = m.regressed || w.move.Step < m.store.Step ||
				(m.store.Status == rollout.StatusRolledBack && w.move.Status == rollout.StatusRunning)
		}
		m.store = w.move
		m.storeRevision++
		m.allowedSteps = max(m.allowedSteps, w.move.Step)
	}
}

func (m *machine) drawRouter(t *rapid.T) *routerModel {
	return m.routers[rapid.IntRange(0, len(m.routers)-1).Draw(t, "router")]
}

// view returns a router's move with its rollbacks applied, and the share that the router uses.
func (r *routerModel) view(now time.Time) (rollout.Move, float64) {
	move := r.rollbacks.Apply(r.move)
	if move.Status == rollout.StatusRunning && !r.synced {
		return move, 0
	}
	return move, move.ShareAt(now)
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * time.Millisecond)
		},
		"deliver configuration": func(t *rapid.T) {
			if r := m.drawRouter(t); m.storeRevision > r.revision {
				r.move, r.revision = m.store, m.storeRevision
			}
		},
		// Any router may assume that it is the leader, with a configuration of any age.
		"step": func(t *rapid.T) {
			r := m.drawRouter(t)
			move, _ := r.view(m.now)
			if move.Status != rollout.StatusRunning || move.ID == "" || move.Step == len(move.Plan)-1 || !r.synced {
				return
			}
			next := write{move.NextStep(m.now, "earned"), r.revision}
			m.pending = append(m.pending, next)
			if rapid.Bool().Draw(t, "at once") {
				m.applyWrite(next)
			}
		},
		"store takes a write, late or twice": func(t *rapid.T) {
			if len(m.pending) == 0 {
				return
			}
			w := m.pending[rapid.IntRange(0, len(m.pending)-1).Draw(t, "write")]
			m.applyWrite(w)
		},
		"store is down for pending writes": func(*rapid.T) { m.pending = nil },
		"rollback": func(t *rapid.T) {
			r := m.drawRouter(t)
			move, _ := r.view(m.now)
			if move.Status != rollout.StatusRunning || move.ID == "" {
				return
			}
			rollback := rollout.Rollback{Move: move.ID, Pool: "p", At: m.now, Reason: "bad"}
			r.rollbacks.Add(rollback)
			m.rollbacks = append(m.rollbacks, rollback)
		},
		"write rollback": func(t *rapid.T) {
			r := m.drawRouter(t)
			if move, _ := r.view(m.now); move.Status == rollout.StatusRolledBack && r.move.Status == rollout.StatusRunning {
				m.pending = append(m.pending, write{move, r.revision})
			}
		},
		"exchange rollbacks": func(t *rapid.T) {
			from, to := m.drawRouter(t), m.drawRouter(t)
			for _, rollback := range from.rollbacks.All() {
				to.rollbacks.Add(rollback)
			}
			to.synced = to.synced || from.synced
		},
		"restart": func(t *rapid.T) {
			r := m.drawRouter(t)
			// A router loses its rollbacks with a restart. Here it restarts only if all others have
			// them. Otherwise the fleet would have to detect the fault again.
			isSpread := true
			for _, other := range m.routers {
				for _, rollback := range r.rollbacks.All() {
					_, known := other.rollbacks.Get(rollback.Move)
					isSpread = isSpread && known
				}
			}
			if isSpread {
				known := map[rollout.MoveID]bool{}
				for _, rollback := range r.rollbacks.All() {
					known[rollback.Move] = true
				}
				*r = routerModel{rollbacks: rollout.NewRollbacks(), known: known}
			}
		},
		"prune": func(t *rapid.T) {
			r := m.drawRouter(t)
			needed := map[rollout.MoveID]bool{}
			if r.move.Status == rollout.StatusRunning {
				needed[r.move.ID] = true
			}
			r.rollbacks.Prune(needed)
		},
		"new move": func(*rapid.T) {
			if m.store.Status == rollout.StatusRolledBack {
				m.begin()
			}
		},
	}
}

// check verifies the invariants. It runs after every action.
func (m *machine) check(t *rapid.T, before [][]fleet.Version, beforeMoves []rollout.Move) {
	must.False(t, m.regressed, must.Sprint("an older step replaced a newer one"))
	for i, r := range m.routers {
		move, share := r.view(m.now)
		if _, rolledBack := r.rollbacks.Get(r.move.ID); rolledBack {
			must.Eq(t, 0, share, must.Sprint("a rollback was undone"))
		}
		if r.known[r.move.ID] {
			must.Eq(t, 0, share, must.Sprint("a rollback was undone by a restart"))
		}
		if move.ID == m.store.ID && m.allowedSteps == 0 {
			must.LessEq(t, rollout.FirstShare, share, must.Sprint("the share exceeded FirstShare before evidence allowed a step"))
		}
		isSame := beforeMoves[i].ID == move.ID && beforeMoves[i].Status == move.Status && r.synced
		for chat := range before[i] {
			isBack := before[i][chat] == "2" && versionOf(move, share, chat) == "1"
			must.False(t, isSame && isBack, must.Sprint("a chat went back within a move"))
		}
	}
}

func versionOf(move rollout.Move, share float64, chat int) fleet.Version {
	return move.Choose(fleet.ChatID(fmt.Sprint("c", chat)), share)
}

// Whatever faults the store and the network have, a router never undoes a rollback that it has
// received, no share exceeds 5% before evidence allowed a step, and no chat returns to the old
// version within a move.
func TestRollbacksAndSharesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		actions := m.actions()
		before := make([][]fleet.Version, len(m.routers))
		moves := make([]rollout.Move, len(m.routers))
		recordViews := func() {
			for i, r := range m.routers {
				move, share := r.view(m.now)
				moves[i] = move
				before[i] = nil
				for chat := range machineChats {
					before[i] = append(before[i], versionOf(move, share, chat))
				}
			}
		}
		recordViews()
		actions[""] = func(t *rapid.T) {
			m.check(t, before, moves)
			recordViews()
		}
		t.Repeat(actions)
	})
}
