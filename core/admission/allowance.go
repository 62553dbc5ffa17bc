package admission

import (
	"math"
	"time"

	"agateswitch/core/fleet"
)

// demandWindow is the time constant of the exponential average of a team's request rate.
const demandWindow = time.Second

// Allowance holds the tokens and slots with which one router admits requests of one team. It is
// not safe for concurrent use.
type Allowance struct {
	self   fleet.HostID
	limits Limits
	tokens int
	// returned counts tokens that expired unused. The next draw returns them to the budget.
	returned int
	slots    int
	running  int
	// demand is the smoothed request rate per second at demandAt.
	demand   float64
	demandAt time.Time
	// drawnAt is when the last draw was answered. The router may draw again at nextDrawAt.
	drawnAt    time.Time
	nextDrawAt time.Time
	expiresAt  time.Time
	// retryAfter is the owner's retry delay after a draw without tokens.
	retryAfter time.Duration
}

// NewAllowance returns an allowance without tokens or slots.
func NewAllowance(self fleet.HostID, limits Limits) *Allowance {
	return &Allowance{self: self, limits: limits}
}

// SetLimits applies changed limits of the contract.
func (a *Allowance) SetLimits(limits Limits) { a.limits = limits }

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Draw is true if a draw from the budget may supply the missing token or slot. Otherwise the
	// request is refused.
	Draw    bool
	Refusal *fleet.Refusal
}

// RecordArrival counts a new request in the team's demand.
func (a *Allowance) RecordArrival(now time.Time) {
	elapsed := now.Sub(a.demandAt)
	a.demand = a.demand*math.Exp(-elapsed.Seconds()/demandWindow.Seconds()) + 1/demandWindow.Seconds()
	a.demandAt = now
}

// Admit admits a request if a token and a slot are available. A retry of an admitted request
// needs no further token.
func (a *Allowance) Admit(now time.Time, retry bool) Decision {
	if now.After(a.expiresAt) {
		a.returned += a.tokens
		a.tokens = 0
	}
	mayDraw := !now.Before(a.nextDrawAt)
	if a.tokens < 1 && !retry {
		return Decision{Draw: mayDraw, Refusal: a.refuseRate(now)}
	}
	if a.limits.Concurrency > 0 && a.running >= a.slots {
		return Decision{Draw: mayDraw, Refusal: fleet.Refuse(fleet.CodeRateLimited,
			"the team runs as many requests as its contract's concurrency allows", max(a.nextDrawAt.Sub(now), minDrawInterval))}
	}
	if !retry {
		a.tokens--
	}
	a.running++
	return Decision{Admitted: true}
}

// refuseRate returns the refusal of a request above the team's rate.
func (a *Allowance) refuseRate(now time.Time) *fleet.Refusal {
	wait := max(a.drawnAt.Add(a.retryAfter).Sub(now), a.nextDrawAt.Sub(now), minDrawInterval)
	return fleet.Refuse(fleet.CodeRateLimited, "the team is above its contract's requests_per_second and burst", wait)
}

// Release releases the slot of an admitted request that has ended.
func (a *Allowance) Release() { a.running = max(0, a.running-1) }

// DrawRequest returns the request for the demand expected until the next draw. The allowance gives
// up its free slots, because the owner may lend them to another router in the meantime.
func (a *Allowance) DrawRequest() DrawRequest {
	a.slots = min(a.slots, a.running)
	interval := max(a.nextDrawAt.Sub(a.drawnAt), minDrawInterval)
	expected := int(math.Ceil(a.demand * interval.Seconds()))
	request := DrawRequest{From: a.self, Tokens: max(1, expected), Running: a.running, Returned: a.returned}
	request.Slots = a.running + max(1, expected)
	a.returned = 0
	return request
}

// NeedsRenewal reports whether this router holds slots of the team, which need renewal.
func (a *Allowance) NeedsRenewal() bool {
	return a.limits.Concurrency > 0 && (a.running > 0 || a.slots > 0)
}

// Renewal returns a request that renews the slots of running requests and gives up the free ones.
func (a *Allowance) Renewal() DrawRequest {
	a.slots = min(a.slots, a.running)
	return DrawRequest{From: a.self, Running: a.running, Slots: a.running}
}

// ApplyLoan applies the budget owner's response to a draw.
func (a *Allowance) ApplyLoan(now time.Time, loan Loan) {
	a.tokens += loan.Tokens
	a.slots = loan.Slots
	a.drawnAt, a.nextDrawAt = now, now.Add(loan.Interval)
	a.expiresAt = now.Add(2 * loan.Interval)
	a.retryAfter = loan.RetryAfter
	hasSlot := a.limits.Concurrency == 0 || a.running < a.slots
	if loan.Tokens > 0 && hasSlot {
		// If the tokens are used up early, demand has grown. The router may then draw again at
		// once.
		a.nextDrawAt = now
	}
}

// ApplyFallback grants the router an equal share of the team's limits while the budget owner is
// unreachable.
func (a *Allowance) ApplyFallback(now time.Time, routers int) {
	routers = max(1, routers)
	interval := max(time.Second, time.Duration(float64(routers)/max(a.limits.Rate, 1e-9)*float64(time.Second)))
	a.tokens = max(1, int(a.limits.Rate*interval.Seconds())/routers)
	a.slots = max(1, a.limits.Concurrency/routers)
	a.drawnAt, a.nextDrawAt, a.expiresAt = now, now.Add(interval), now.Add(interval)
	a.retryAfter = interval
}

// IsIdle reports whether the allowance may be discarded without loss.
func (a *Allowance) IsIdle(now time.Time) bool {
	return a.running == 0 && now.Sub(a.demandAt) > SlotTTL
}
