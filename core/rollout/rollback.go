package rollout

import (
	"sort"
	"time"

	"agateswitch/core/fleet"
)

// maxRollbacks is how many rollbacks a router keeps besides those that it still needs.
const maxRollbacks = 64

// Rollback is the order to roll one move back. It is final: no step of that move, older or newer,
// undoes it. It doesn't affect other moves, which have other ids.
type Rollback struct {
	Move   MoveID       `msgpack:"m"`
	Pool   fleet.PoolID `msgpack:"p"`
	At     time.Time    `msgpack:"t"`
	Host   fleet.HostID `msgpack:"h"`
	Reason string       `msgpack:"r"`
}

// Rollbacks is the set of rollbacks that a router has received. It is not safe for concurrent use.
type Rollbacks struct {
	byMove map[MoveID]Rollback
}

// NewRollbacks returns an empty set.
func NewRollbacks() *Rollbacks { return &Rollbacks{byMove: map[MoveID]Rollback{}} }

// Add adds a rollback and reports whether the set had none of that move. It keeps the first rollback
// of a move, so that the reason shown for it doesn't change.
func (b *Rollbacks) Add(rollback Rollback) bool {
	if _, known := b.byMove[rollback.Move]; known || rollback.Move == "" {
		return false
	}
	b.byMove[rollback.Move] = rollback
	return true
}

// Get returns the rollback of a move, and false when there is none.
func (b *Rollbacks) Get(id MoveID) (Rollback, bool) {
	rollback, found := b.byMove[id]
	return rollback, found
}

// All returns the rollbacks, newest first.
func (b *Rollbacks) All() []Rollback {
	all := make([]Rollback, 0, len(b.byMove))
	for _, rollback := range b.byMove {
		all = append(all, rollback)
	}
	sort.Slice(all, func(i, j int) bool {
		if !all[i].At.Equal(all[j].At) {
			return all[i].At.After(all[j].At)
		}
		return all[i].Move < all[j].Move
	})
	return all
}

// Prune removes the oldest rollbacks above maxRollbacks. It keeps those of the needed moves: a move
// that is still stored as running depends on its rollback.
func (b *Rollbacks) Prune(needed map[MoveID]bool) {
	kept := 0
	for _, rollback := range b.All() {
		if needed[rollback.Move] {
			continue
		}
		kept++
		if kept > maxRollbacks {
			delete(b.byMove, rollback.Move)
		}
	}
}

// Apply returns the move, rolled back if it is running and the set has a rollback of it.
func (b *Rollbacks) Apply(move Move) Move {
	if move.Status != StatusRunning {
		return move
	}
	if rollback, found := b.byMove[move.ID]; found {
		return move.RolledBack(rollback)
	}
	return move
}
