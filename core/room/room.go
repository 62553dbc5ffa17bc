// Package room bounds how many requests of all routers are in work on an upstream. It answers two kinds of load: a pool at or
// above its capacity whose upstreams are brittle, so that they fall over when they have to turn away more than some requests in a
// second; and a pool whose upstreams must hold similar numbers of requests. Each of many routers would fill an upstream by itself.
package room

import (
	"math"
	"slices"
	"time"
)

const (
	// unknownSlots is assumed for an upstream that does not state its slots.
	unknownSlots = 4
	// backoff is the part of the bound that stays after the upstream has turned a request away, and backoffInterval the least time
	// between two reductions: those at the same moment have the same cause.
	backoff         = 0.8
	backoffInterval = 200 * time.Millisecond
	// recoveryTime is how long the bound takes to grow back from nothing.
	recoveryTime = 5 * time.Second
	// turnAwayShare is the part of the requests that the upstream may turn away in turnAwayWindow after which it gets none.
	turnAwayShare  = 0.5
	turnAwayWindow = time.Second
	// urgentRank is the last rank that may use all places, and reservedShare the part of them kept free of others.
	urgentRank    = 1
	reservedShare = 0.1
	// maxKnownAge is how old the published load of an upstream is at most.
	maxKnownAge = 500 * time.Millisecond
)

// Need is what a request needs, and what is known of the upstream.
type Need struct {
	// Slots is the number of requests that the upstream runs concurrently; 0 if unknown.
	Slots int
	// PerSecond is how many requests it turns away in a second without falling over.
	PerSecond float64
	// Limit is how many requests of all routers it may hold; 0 if there is no such limit.
	Limit float64
	// Known is how many it holds at least, according to what routers have published.
	Known int
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	// Lasts is how long the request is in work at most.
	Lasts time.Duration
}

// IsBrittle reports whether the upstream falls over when it has to turn away too many requests. A need without a limit is of such an
// upstream.
func (n Need) IsBrittle() bool { return n.PerSecond > 0 || n.Limit <= 0 }

// level is how many places were taken from a time on.
type level struct {
	at     time.Time
	inWork int
}

// Room is the room of one upstream. It is not safe for concurrent use. The zero value has no requests in work.
type Room struct {
	// expiries holds until when each place is taken at most.
	expiries  map[uint64]time.Time
	lastPlace uint64
	// levels holds how many places were taken within maxKnownAge.
	levels     []level
	turnedAway []time.Time
	// reduced is how many of the slots must stay free because the upstream has turned requests away.
	reduced              float64
	updatedAt, reducedAt time.Time
}

// Take takes a place, or reports false if there is none.
func (r *Room) Take(now time.Time, need Need) (place uint64, granted bool) {
	r.expire(now)
	if need.IsBrittle() && !r.isWithinSlots(now, need) {
		return 0, false
	}
	if need.Limit > 0 && float64(r.Held(now, need.Known)+1) > need.Limit {
		return 0, false
	}
	r.lastPlace++
	r.expiries[r.lastPlace] = now.Add(need.Lasts)
	r.recordLevel(now)
	return r.lastPlace, true
}

// isWithinSlots reports whether a brittle upstream has a slot for a request.
func (r *Room) isWithinSlots(now time.Time, need Need) bool {
	allowed := max(1, need.PerSecond*turnAwayShare)
	return float64(len(r.expiries)) < r.bound(now, need) && float64(len(r.turnedAway)) < allowed
}

// bound returns below how many requests in work a brittle upstream has a slot for another one.
func (r *Room) bound(now time.Time, need Need) float64 {
	slots := float64(need.Slots)
	if slots <= 0 {
		slots = unknownSlots
	}
	r.recover(now, slots)
	bound := max(1, slots-r.reduced)
	if need.Rank > urgentRank {
		bound = max(1, bound-float64(int(slots*reservedShare)))
	}
	return bound
}

// Free returns how many more requests an upstream has slots for.
func (r *Room) Free(now time.Time, need Need) int {
	r.expire(now)
	return max(0, int(math.Ceil(r.bound(now, need)))-len(r.expiries))
}

// IsIdle reports whether no place is taken, and none of the slots must stay free.
func (r *Room) IsIdle(now time.Time) bool {
	r.expire(now)
	return len(r.expiries) == 0 && len(r.turnedAway) == 0 && now.Sub(r.reducedAt) > recoveryTime
}

// Return gives a place back.
func (r *Room) Return(now time.Time, place uint64) {
	delete(r.expiries, place)
	r.recordLevel(now)
}

// Held returns how many requests the upstream holds: those with a place, and others that routers have published. known is what they
// have published of both, up to maxKnownAge ago.
func (r *Room) Held(now time.Time, known int) int {
	r.expire(now)
	withPlace := 0
	for _, l := range r.levels {
		withPlace = max(withPlace, l.inWork)
	}
	return len(r.expiries) + max(0, known-withPlace)
}

// recordLevel records how many places are taken.
func (r *Room) recordLevel(now time.Time) {
	r.levels = append(r.levels, level{at: now, inWork: len(r.expiries)})
	// The last level before the window was in force at its beginning.
	for len(r.levels) > 1 && now.Sub(r.levels[1].at) > maxKnownAge {
		r.levels = r.levels[1:]
	}
}

// TurnedAway records that the upstream has turned a request away for want of room.
func (r *Room) TurnedAway(now time.Time, slots int) {
	r.expire(now)
	r.turnedAway = append(r.turnedAway, now)
	if slots <= 0 {
		slots = unknownSlots
	}
	r.recover(now, float64(slots))
	if now.Sub(r.reducedAt) >= backoffInterval {
		r.reducedAt = now
		r.reduced = float64(slots) - max(1, backoff*(float64(slots)-r.reduced))
	}
}

// InWork returns how many places are taken.
func (r *Room) InWork() int { return len(r.expiries) }

// recover lets the bound grow back.
func (r *Room) recover(now time.Time, slots float64) {
	if !r.updatedAt.IsZero() {
		r.reduced = max(0, r.reduced-slots*now.Sub(r.updatedAt).Seconds()/recoveryTime.Seconds())
	}
	r.updatedAt = now
}

func (r *Room) expire(now time.Time) {
	if r.expiries == nil {
		r.expiries = map[uint64]time.Time{}
	}
	taken := len(r.expiries)
	for place, until := range r.expiries {
		if !now.Before(until) {
			delete(r.expiries, place)
		}
	}
	if len(r.expiries) != taken || len(r.levels) > 1 && now.Sub(r.levels[1].at) > maxKnownAge {
		r.recordLevel(now)
	}
	r.turnedAway = slices.DeleteFunc(r.turnedAway, func(at time.Time) bool { return now.Sub(at) >= turnAwayWindow })
}
