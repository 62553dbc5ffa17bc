package admission

import (
	"math"
	"time"

	"agateswitch/core/fleet"
)

// Timing of team budgets.
const (
	// minDrawInterval is the minimum time between two draws of one router.
	minDrawInterval = 250 * time.Millisecond
	// drawSpacing is the target time between two draws on one budget, over all routers.
	drawSpacing = 20 * time.Millisecond
	// SlotTTL is how long lent slots stay valid without a further draw.
	SlotTTL = 20 * time.Second
	// slotTurnDuration is how long a router keeps a slot of a team that has fewer slots than
	// routers. Passing a slot on leaves it idle for up to a draw interval.
	slotTurnDuration = 4 * minDrawInterval
	// initialFillDuration limits a new budget to the tokens that refill in this time, because an
	// earlier owner may have lent the others.
	initialFillDuration = 250 * time.Millisecond
)

// Limits are a team's fleet-wide limits, from its contract.
type Limits struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is how many requests may arrive at once above the rate.
	Burst int
	// Concurrency is the maximum number of running requests; zero means no limit.
	Concurrency int
}

// DrawRequest is one router's request for tokens and slots of a team's budget.
type DrawRequest struct {
	From fleet.HostID
	// Tokens is how many requests the router expects to admit until its next draw.
	Tokens int
	// Returned is how many tokens of earlier draws the router did not use.
	Returned int
	// Running is how many requests of the team the router runs. Slots is how many it wants to
	// run at once.
	Running int
	Slots   int
}

// Loan is what a router may use until its next draw.
type Loan struct {
	Tokens int
	// Slots is how many requests of the team the router may run at once, in all.
	Slots int
	// Interval is the time until the next draw. Tokens expire after twice this time.
	Interval time.Duration
	// RetryAfter is the expected time until the budget has a token, if none was lent.
	RetryAfter time.Duration
}

// Budget is a team's fleet-wide budget, held by the team's budget owner. It is not safe for
// concurrent use.
type Budget struct {
	limits     Limits
	tokens     float64
	refilledAt time.Time
	holders    map[fleet.HostID]holder
}

// holder is the state of one router that draws from the budget.
type holder struct {
	// slots is the number of lent slots, or of running requests if that is higher. wantedSlots is
	// the number that it last requested.
	slots       int
	wantedSlots int
	lastSeen    time.Time
	// lastHeld is when it last had slots. heldSince is when its current period with slots began.
	lastHeld  time.Time
	heldSince time.Time
}

// NewBudget returns a budget with few tokens, because an earlier owner may have lent the others.
func NewBudget(now time.Time, limits Limits) *Budget {
	b := &Budget{limits: limits, refilledAt: now, holders: map[fleet.HostID]holder{}}
	b.tokens = min(b.capacity(), max(1, limits.Rate*initialFillDuration.Seconds()))
	return b
}

// SetLimits applies changed limits of the contract.
func (b *Budget) SetLimits(now time.Time, limits Limits) {
	b.refill(now)
	b.limits = limits
	b.tokens = min(b.tokens, b.capacity())
}

func (b *Budget) capacity() float64 { return max(1, float64(b.limits.Burst)) }

// refill adds the tokens for the time since the last call.
func (b *Budget) refill(now time.Time) {
	b.tokens = min(b.capacity(), b.tokens+b.limits.Rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
}

// Draw lends tokens and slots to a router according to its demand.
func (b *Budget) Draw(now time.Time, request DrawRequest) Loan {
	b.refill(now)
	b.expire(now)
	b.tokens = min(b.capacity(), b.tokens+float64(max(0, request.Returned)))
	router := b.holders[request.From]
	router.lastSeen = now
	b.holders[request.From] = router
	interval := b.interval()
	loan := Loan{Interval: interval, Slots: b.lendSlots(now, request)}
	loan.Tokens = min(max(0, request.Tokens), int(b.tokens), b.fairTokens(interval))
	b.tokens -= float64(loan.Tokens)
	if loan.Tokens == 0 {
		loan.RetryAfter = b.timeToToken(interval)
	}
	return loan
}

// interval returns the time between two draws of one router.
func (b *Budget) interval() time.Duration {
	return max(minDrawInterval, time.Duration(len(b.holders))*drawSpacing)
}

// fairTokens limits the tokens of one draw, so that the first router does not drain the budget.
func (b *Budget) fairTokens(interval time.Duration) int {
	available := b.tokens + b.limits.Rate*interval.Seconds()
	return max(1, int(math.Ceil(available/float64(len(b.holders)))))
}

// timeToToken returns the time until the budget has a token, and at least the draw interval.
func (b *Budget) timeToToken(interval time.Duration) time.Duration {
	if b.limits.Rate <= 0 {
		return SlotTTL
	}
	missing := max(0, 1-b.tokens)
	return max(interval, time.Duration(missing/b.limits.Rate*float64(time.Second)))
}

// lendSlots returns how many requests the router may run at once. Its running requests count
// until they end, even if an earlier owner lent their slots.
func (b *Budget) lendSlots(now time.Time, request DrawRequest) int {
	if b.limits.Concurrency == 0 {
		return 0
	}
	lentToOthers := 0
	for from, other := range b.holders {
		if from != request.From {
			lentToOthers += other.slots
		}
	}
	free := max(0, b.limits.Concurrency-lentToOthers)
	// Lent slots may stay idle until the next draw. Each router gets only its share of the spare
	// slots, so that the other routers need not refuse requests in the meantime.
	spare := max(0, free-request.Running)
	routers := max(1, len(b.holders))
	share := (spare + routers - 1) / routers
	slots := max(request.Running, min(request.Slots, request.Running+share, free))
	router := b.holders[request.From]
	// Without this limit, a router whose callers retry at once would keep its slots forever.
	slots = min(slots, b.fairSlots(now, request.From))
	if router.slots == 0 {
		router.heldSince = now
	}
	router.slots, router.wantedSlots, router.lastSeen = max(request.Running, slots), request.Slots, now
	if router.slots > 0 {
		router.lastHeld = now
	}
	b.holders[request.From] = router
	return slots
}

// fairSlots limits a router's slots while other routers have less than their fair share and want
// more. If there are fewer slots than routers, the routers take turns.
func (b *Budget) fairSlots(now time.Time, router fleet.HostID) int {
	fair := b.limits.Concurrency / max(1, len(b.holders))
	own := b.holders[router]
	othersShort, hasTurn := false, own.slots == 0 || now.Sub(own.heldSince) < slotTurnDuration
	for id, other := range b.holders {
		isActive := now.Sub(other.lastSeen) <= 2*b.interval()
		if id == router || !isActive || other.wantedSlots <= other.slots || other.slots >= max(1, fair) {
			continue
		}
		othersShort = true
		hasTurn = hasTurn && (own.slots > 0 || !other.lastHeld.Before(own.lastHeld))
	}
	switch {
	case !othersShort:
		return b.limits.Concurrency
	case hasTurn:
		return max(1, fair)
	}
	return fair
}

// expire removes routers that have not drawn for SlotTTL.
func (b *Budget) expire(now time.Time) {
	for from, router := range b.holders {
		if now.Sub(router.lastSeen) > SlotTTL {
			delete(b.holders, from)
		}
	}
}

// Holders returns how many routers have drawn within SlotTTL of the last draw.
func (b *Budget) Holders() int { return len(b.holders) }
