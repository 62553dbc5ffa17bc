package rollout

import (
	"sort"
	"time"

	"agateswitch/core/fleet"
)

// maxRollbacks is how many rollbacks a router keeps.
const maxRollbacks = 64

// Rollback takes one move back. It holds for the move's id for ever: no step of that move,
// older or newer, undoes it. Only another move, which has another id, is not held by it.
type Rollback struct {
	Move   MoveID       `msgpack:"m"`
	Pool   fleet.PoolID `msgpack:"p"`
	At     time.Time    `msgpack:"t"`
	Host   fleet.HostID `msgpack:"h"`
	Reason string       `msgpack:"r"`
}

// Rollbacks is the set of rollbacks that a router knows. It is not safe for concurrent use.
type Rollbacks struct {
	byMove map[MoveID]Rollback
}

// NewRollbacks makes an empty set.
func NewRollbacks() *Rollbacks { return &Rollbacks{byMove: map[MoveID]Rollback{}} }

// Add puts a rollback into the set and tells whether it was not known. The first rollback of a
// move stays, so that its reason does not change from one reading to the next.
func (b *Rollbacks) Add(rollback Rollback) bool {
	if _, known := b.byMove[rollback.Move]; known || rollback.Move == "" {
		return false
	}
	b.byMove[rollback.Move] = rollback
	return true
}

// Of returns the rollback of a move.
func (b *Rollbacks) Of(id MoveID) (Rollback, bool) {
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

// Prune drops the oldest rollbacks above a fixed number. It never drops one that needed
// names: a move that is still stored as running depends on its rollback.
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

// Apply returns the move as the rollbacks leave it.
func (b *Rollbacks) Apply(move Move) Move {
	if move.Status != StatusRunning {
		return move
	}
	if rollback, found := b.byMove[move.ID]; found {
		return move.Back(rollback)
	}
	return move
}
