package rollout

import (
	"sort"
	"time"

	"agateswitch/core/fleet"
)

// maxBrakes is how many brakes a router keeps.
const maxBrakes = 64

// Brake takes one move back. It holds for the move's id for ever: no step of that move,
// older or newer, undoes it. Only another move, which has another id, is not held by it.
type Brake struct {
	Move   MoveID       `msgpack:"m"`
	Pool   fleet.PoolID `msgpack:"p"`
	At     time.Time    `msgpack:"t"`
	Host   fleet.HostID `msgpack:"h"`
	Reason string       `msgpack:"r"`
}

// Brakes is the set of brakes that a router knows. It is not safe for concurrent use.
type Brakes struct {
	byMove map[MoveID]Brake
}

// NewBrakes makes an empty set.
func NewBrakes() *Brakes { return &Brakes{byMove: map[MoveID]Brake{}} }

// Add puts a brake into the set and tells whether it was not known. The first brake of a
// move stays, so that its reason does not change from one reading to the next.
func (b *Brakes) Add(brake Brake) bool {
	if _, known := b.byMove[brake.Move]; known || brake.Move == "" {
		return false
	}
	b.byMove[brake.Move] = brake
	return true
}

// Of returns the brake of a move.
func (b *Brakes) Of(id MoveID) (Brake, bool) {
	brake, found := b.byMove[id]
	return brake, found
}

// All returns the brakes, newest first.
func (b *Brakes) All() []Brake {
	all := make([]Brake, 0, len(b.byMove))
	for _, brake := range b.byMove {
		all = append(all, brake)
	}
	sort.Slice(all, func(i, j int) bool {
		if !all[i].At.Equal(all[j].At) {
			return all[i].At.After(all[j].At)
		}
		return all[i].Move < all[j].Move
	})
	return all
}

// Prune drops the oldest brakes above a fixed number. It never drops one that needed
// names: a move that is still stored as running depends on its brake.
func (b *Brakes) Prune(needed map[MoveID]bool) {
	kept := 0
	for _, brake := range b.All() {
		if needed[brake.Move] {
			continue
		}
		kept++
		if kept > maxBrakes {
			delete(b.byMove, brake.Move)
		}
	}
}

// Apply returns the move as the brakes leave it.
func (b *Brakes) Apply(move Move) Move {
	if move.Status != StatusRunning {
		return move
	}
	if brake, found := b.byMove[move.ID]; found {
		return move.Back(brake)
	}
	return move
}
