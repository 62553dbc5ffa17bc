package admission

import (
	"math"
	"time"

	"agateswitch/core/fleet"
)

// Times of team budgets.
const (
	// minDrawInterval is the shortest time between two draws of one router.
	minDrawInterval = 250 * time.Millisecond
	// drawSpacing is the time between two draws that a budget's owner aims at, over all routers.
	drawSpacing = 20 * time.Millisecond
	// SlotLife is how long lent concurrency counts without a further draw.
	SlotLife = 20 * time.Second
	// slotTurn is how long a router keeps a slot of a team that has fewer slots than routers. A
	// slot lies idle for up to a draw interval when it goes on.
	slotTurn = 4 * minDrawInterval
	// firstFill is how much of its rate a new budget holds, in time: an earlier owner may have
	// lent the rest.
	firstFill = 250 * time.Millisecond
)

// Limits of a team, from its contract. They hold for the whole fleet.
type Limits struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is how many requests may come at once above the rate.
	Burst int
	// Concurrency is the most requests running at once; zero means no limit.
	Concurrency int
}

// Ask is one router's demand on a team's budget.
type Ask struct {
	From fleet.HostID
	// Tokens is how many requests the router expects to admit until its next draw.
	Tokens int
	// Returned is how many tokens of earlier draws the router did not use.
	Returned int
	// Running is how many requests of the team the router runs, and Slots how many it would
	// run at once.
	Running int
	Slots   int
}

// Lent is what a router may use until its next draw.
type Lent struct {
	Tokens int
	// Slots is how many requests of the team the router may run at once, in all.
	Slots int
	// Interval is the time until the next draw. Tokens count for twice as long.
	Interval time.Duration
	// RetryAfter is the time until the budget has a token again, if none was lent.
	RetryAfter time.Duration
}

// Budget is a team's budget for the whole fleet, kept by the team's budget owner. It is not
// safe for concurrent use.
type Budget struct {
	limits  Limits
	tokens  float64
	filled  time.Time
	holders map[fleet.HostID]holder
}

// holder is what one router has drawn.
type holder struct {
	// slots are those that it was lent, or more while it still runs more, and wanted those that
	// it asked for.
	slots  int
	wanted int
	seen   time.Time
	// held is when it had slots last, and since when it has had them without a break.
	held  time.Time
	since time.Time
}

// NewBudget makes a budget that starts with little, as an earlier owner may have lent the rest.
func NewBudget(now time.Time, limits Limits) *Budget {
	b := &Budget{limits: limits, filled: now, holders: map[fleet.HostID]holder{}}
	b.tokens = min(b.capacity(), max(1, limits.Rate*firstFill.Seconds()))
	return b
}

// SetLimits takes changed limits of the contract.
func (b *Budget) SetLimits(now time.Time, limits Limits) {
	b.fill(now)
	b.limits = limits
	b.tokens = min(b.tokens, b.capacity())
}

func (b *Budget) capacity() float64 { return max(1, float64(b.limits.Burst)) }

func (b *Budget) fill(now time.Time) {
	b.tokens = min(b.capacity(), b.tokens+b.limits.Rate*max(0, now.Sub(b.filled).Seconds()))
	b.filled = now
}

// Draw lends tokens and slots to a router, by its demand.
func (b *Budget) Draw(now time.Time, ask Ask) Lent {
	b.fill(now)
	b.expire(now)
	b.tokens = min(b.capacity(), b.tokens+float64(max(0, ask.Returned)))
	known := b.holders[ask.From]
	known.seen = now
	b.holders[ask.From] = known
	interval := b.interval()
	lent := Lent{Interval: interval, Slots: b.lendSlots(now, ask)}
	lent.Tokens = min(max(0, ask.Tokens), int(b.tokens), b.fairTokens(interval))
	b.tokens -= float64(lent.Tokens)
	if lent.Tokens == 0 {
		lent.RetryAfter = b.timeToToken(interval)
	}
	return lent
}

// interval is the time between two draws of one router.
func (b *Budget) interval() time.Duration {
	return max(minDrawInterval, time.Duration(len(b.holders))*drawSpacing)
}

// fairTokens bounds one draw, so that the first router that asks does not take everything.
func (b *Budget) fairTokens(interval time.Duration) int {
	available := b.tokens + b.limits.Rate*interval.Seconds()
	return max(1, int(math.Ceil(available/float64(len(b.holders)))))
}

func (b *Budget) timeToToken(interval time.Duration) time.Duration {
	if b.limits.Rate <= 0 {
		return SlotLife
	}
	missing := max(0, 1-b.tokens)
	return max(interval, time.Duration(missing/b.limits.Rate*float64(time.Second)))
}

// lendSlots returns how many requests the router may run at once. What it runs already
// counts until it ends, even if an earlier owner lent it.
func (b *Budget) lendSlots(now time.Time, ask Ask) int {
	if b.limits.Concurrency == 0 {
		return 0
	}
	others := 0
	for from, other := range b.holders {
		if from != ask.From {
			others += other.slots
		}
	}
	free := max(0, b.limits.Concurrency-others)
	// Lent slots may lie idle until the next draw. One router gets only its part of them, so
	// that the others are not refused meanwhile.
	spare := max(0, free-ask.Running)
	routers := max(1, len(b.holders))
	part := (spare + routers - 1) / routers
	slots := max(ask.Running, min(ask.Slots, ask.Running+part, free))
	known := b.holders[ask.From]
	// A router whose callers come back at once would keep its slots for good.
	slots = min(slots, b.fairSlots(now, ask.From))
	if known.slots == 0 {
		known.since = now
	}
	known.slots, known.wanted, known.seen = max(ask.Running, slots), ask.Slots, now
	if known.slots > 0 {
		known.held = now
	}
	b.holders[ask.From] = known
	return slots
}

// fairSlots bounds a router's slots while others have less than their part and want more. Where
// there are fewer slots than routers, these take turns.
func (b *Budget) fairSlots(now time.Time, router fleet.HostID) int {
	fair := b.limits.Concurrency / max(1, len(b.holders))
	own := b.holders[router]
	isShort, isTurn := false, own.slots == 0 || now.Sub(own.since) < slotTurn
	for id, other := range b.holders {
		asksStill := now.Sub(other.seen) <= 2*b.interval()
		if id == router || !asksStill || other.wanted <= other.slots || other.slots >= max(1, fair) {
			continue
		}
		isShort = true
		isTurn = isTurn && (own.slots > 0 || !other.held.Before(own.held))
	}
	switch {
	case !isShort:
		return b.limits.Concurrency
	case isTurn:
		return max(1, fair)
	}
	return fair
}

func (b *Budget) expire(now time.Time) {
	for from, known := range b.holders {
		if now.Sub(known.seen) > SlotLife {
			delete(b.holders, from)
		}
	}
}

// Holders returns how many routers have drawn lately.
func (b *Budget) Holders() int { return len(b.holders) }
