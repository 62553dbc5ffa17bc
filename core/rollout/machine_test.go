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

// machineChats are the chats whose versions are followed.
const machineChats = 100

// routerModel is what one router holds.
type routerModel struct {
	revision  int
	move      rollout.Move
	rollbacks *rollout.Rollbacks
	synced    bool
	// known holds the moves whose rollbacks the router knew before it restarted.
	known map[rollout.MoveID]bool
}

// write is a compare-and-swap under way: its answer, and even its effect, may be late.
type write struct {
	move     rollout.Move
	expected int
}

// machine is a fleet of routers, a store and a network that loses, doubles and delays.
type machine struct {
	now       time.Time
	store     rollout.Move
	stored    int
	routers   []*routerModel
	pending   []write
	rollbacks []rollout.Rollback
	// earned is how many steps the leader's evidence has allowed.
	earned int
	begun  int
	// regressed is true once the store went back within a move.
	regressed bool
}

func newMachine() *machine {
	m := &machine{now: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}
	for range 4 {
		m.routers = append(m.routers, &routerModel{rollbacks: rollout.NewRollbacks(), synced: true})
	}
	m.begin()
	for _, r := range m.routers {
		r.move, r.revision = m.store, m.stored
	}
	m.now = m.now.Add(rollout.StepLead)
	return m
}

// begin makes a new move, as an operator does.
func (m *machine) begin() {
	plan := rollout.MakePlan(m.now, m.now.Add(time.Hour), 100)
	m.begun++
	m.earned = 0
	m.store = rollout.Move{
		ID: rollout.MoveID(fmt.Sprint("m", m.begun)), Pool: "p", From: "1", To: "2", Begun: m.now, By: m.now.Add(time.Hour),
		Status: rollout.StatusRunning, Plan: plan.Steps, Effective: m.now.Add(rollout.StepLead),
	}
	m.stored++
}

// take makes a write if nothing has changed since it was decided.
func (m *machine) take(w write) {
	if w.expected == m.stored {
		if m.store.ID == w.move.ID {
			m.regressed = m.regressed || w.move.Step < m.store.Step ||
				(m.store.Status == rollout.StatusBack && w.move.Status == rollout.StatusRunning)
		}
		m.store = w.move
		m.stored++
		m.earned = max(m.earned, w.move.Step)
	}
}

func (m *machine) some(t *rapid.T) *routerModel {
	return m.routers[rapid.IntRange(0, len(m.routers)-1).Draw(t, "router")]
}

// view is a router's move as its rollbacks leave it, and the share that it uses.
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
			if r := m.some(t); m.stored > r.revision {
				r.move, r.revision = m.store, m.stored
			}
		},
		// Any router may believe that it leads, with a configuration of any age.
		"step": func(t *rapid.T) {
			r := m.some(t)
			move, _ := r.view(m.now)
			if move.Status != rollout.StatusRunning || move.ID == "" || move.Step == len(move.Plan)-1 || !r.synced {
				return
			}
			next := write{move.Forward(m.now, "earned"), r.revision}
			m.pending = append(m.pending, next)
			if rapid.Bool().Draw(t, "at once") {
				m.take(next)
			}
		},
		"store takes a write, late or twice": func(t *rapid.T) {
			if len(m.pending) == 0 {
				return
			}
			w := m.pending[rapid.IntRange(0, len(m.pending)-1).Draw(t, "write")]
			m.take(w)
		},
		"store is down for pending writes": func(*rapid.T) { m.pending = nil },
		"rollback": func(t *rapid.T) {
			r := m.some(t)
			move, _ := r.view(m.now)
			if move.Status != rollout.StatusRunning || move.ID == "" {
				return
			}
			rollback := rollout.Rollback{Move: move.ID, Pool: "p", At: m.now, Reason: "bad"}
			r.rollbacks.Add(rollback)
			m.rollbacks = append(m.rollbacks, rollback)
		},
		"write rollback": func(t *rapid.T) {
			r := m.some(t)
			if move, _ := r.view(m.now); move.Status == rollout.StatusBack && r.move.Status == rollout.StatusRunning {
				m.pending = append(m.pending, write{move, r.revision})
			}
		},
		"exchange rollbacks": func(t *rapid.T) {
			from, to := m.some(t), m.some(t)
			for _, rollback := range from.rollbacks.All() {
				to.rollbacks.Add(rollback)
			}
			to.synced = to.synced || from.synced
		},
		"restart": func(t *rapid.T) {
			r := m.some(t)
			// What a router alone knew is lost with it; there the fleet has to find out again.
			isSpread := true
			for _, other := range m.routers {
				for _, rollback := range r.rollbacks.All() {
					_, known := other.rollbacks.Of(rollback.Move)
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
			r := m.some(t)
			needed := map[rollout.MoveID]bool{}
			if r.move.Status == rollout.StatusRunning {
				needed[r.move.ID] = true
			}
			r.rollbacks.Prune(needed)
		},
		"new move": func(*rapid.T) {
			if m.store.Status == rollout.StatusBack {
				m.begin()
			}
		},
	}
}

// check holds after every action.
func (m *machine) check(t *rapid.T, before [][]fleet.Version, beforeMoves []rollout.Move) {
	must.False(t, m.regressed, must.Sprint("an older step replaced a newer one"))
	for i, r := range m.routers {
		move, share := r.view(m.now)
		if _, rolledBack := r.rollbacks.Of(r.move.ID); rolledBack {
			must.Eq(t, 0, share, must.Sprint("a rollback was undone"))
		}
		if r.known[r.move.ID] {
			must.Eq(t, 0, share, must.Sprint("a rollback was undone by a restart"))
		}
		if move.ID == m.store.ID && m.earned == 0 {
			must.LessEq(t, rollout.FirstShare, share, must.Sprint("a share was not earned"))
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

// Whatever the store and the network do, a rollback is never undone on a router that knows
// it, no share passes 5% before a step was earned, and no chat goes back within a move.
func TestRollbacksAndSharesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		actions := m.actions()
		before := make([][]fleet.Version, len(m.routers))
		moves := make([]rollout.Move, len(m.routers))
		remember := func() {
			for i, r := range m.routers {
				move, share := r.view(m.now)
				moves[i] = move
				before[i] = nil
				for chat := range machineChats {
					before[i] = append(before[i], versionOf(move, share, chat))
				}
			}
		}
		remember()
		actions[""] = func(t *rapid.T) {
			m.check(t, before, moves)
			remember()
		}
		t.Repeat(actions)
	})
}
