package admission

import (
	"math"
	"time"

	"agateswitch/core/fleet"
)

// demandWindow is the time over which a router smooths a team's demand.
const demandWindow = time.Second

// Allowance is what one router may admit of one team. It is not safe for concurrent use.
type Allowance struct {
	self   fleet.HostID
	limits Limits
	tokens int
	// returned counts tokens that expired unused and go back with the next draw.
	returned int
	slots    int
	running  int
	// demand is the smoothed number of requests a second, at time counted.
	demand  float64
	counted time.Time
	// drawn is when the last draw was answered, next when the router may draw again.
	drawn   time.Time
	next    time.Time
	expires time.Time
	// denied is the time to come back that the owner gave with an empty draw.
	denied time.Duration
}

// NewAllowance makes an allowance that holds nothing.
func NewAllowance(self fleet.HostID, limits Limits) *Allowance {
	return &Allowance{self: self, limits: limits}
}

// SetLimits takes changed limits of the contract.
func (a *Allowance) SetLimits(limits Limits) { a.limits = limits }

// Verdict is the answer to a request for admission.
type Verdict struct {
	Admitted bool
	// Draw is true when a draw may bring what is missing. Without it the request is refused.
	Draw    bool
	Refusal *fleet.Refusal
}

// Arrive counts a new request in the team's demand.
func (a *Allowance) Arrive(now time.Time) {
	elapsed := now.Sub(a.counted)
	a.demand = a.demand*math.Exp(-elapsed.Seconds()/demandWindow.Seconds()) + 1/demandWindow.Seconds()
	a.counted = now
}

// Admit admits a request if tokens and slots allow it. A retry of an admitted request takes
// no token again.
func (a *Allowance) Admit(now time.Time, retry bool) Verdict {
	if now.After(a.expires) {
		a.returned += a.tokens
		a.tokens = 0
	}
	mayDraw := !now.Before(a.next)
	if a.tokens < 1 && !retry {
		return Verdict{Draw: mayDraw, Refusal: a.refuseRate(now)}
	}
	if a.limits.Concurrency > 0 && a.running >= a.slots {
		return Verdict{Draw: mayDraw, Refusal: fleet.Refuse(fleet.CodeRateLimited,
			"the team runs as many requests as its contract's concurrency allows", max(a.next.Sub(now), minDrawInterval))}
	}
	if !retry {
		a.tokens--
	}
	a.running++
	return Verdict{Admitted: true}
}

func (a *Allowance) refuseRate(now time.Time) *fleet.Refusal {
	wait := max(a.drawn.Add(a.denied).Sub(now), a.next.Sub(now), minDrawInterval)
	return fleet.Refuse(fleet.CodeRateLimited, "the team is above its contract's requests_per_second and burst", wait)
}

// Leave ends an admitted request.
func (a *Allowance) Leave() { a.running = max(0, a.running-1) }

// Ask returns the demand on the budget until the next draw. Free slots go back with it, so
// that none is used that the owner has lent to another router meanwhile.
func (a *Allowance) Ask() Ask {
	a.slots = min(a.slots, a.running)
	interval := max(a.next.Sub(a.drawn), minDrawInterval)
	expected := int(math.Ceil(a.demand * interval.Seconds()))
	ask := Ask{From: a.self, Tokens: max(1, expected), Running: a.running, Returned: a.returned}
	ask.Slots = a.running + max(1, expected)
	a.returned = 0
	return ask
}

// NeedsRenewal is true when the team holds slots here.
func (a *Allowance) NeedsRenewal() bool {
	return a.limits.Concurrency > 0 && (a.running > 0 || a.slots > 0)
}

// Renewal returns the ask that keeps the slots of running requests and gives back the others.
func (a *Allowance) Renewal() Ask {
	a.slots = min(a.slots, a.running)
	return Ask{From: a.self, Running: a.running, Slots: a.running}
}

// Receive takes the answer to a draw.
func (a *Allowance) Receive(now time.Time, lent Lent) {
	a.tokens += lent.Tokens
	a.slots = lent.Slots
	a.drawn, a.next = now, now.Add(lent.Interval)
	a.expires = now.Add(2 * lent.Interval)
	a.denied = lent.RetryAfter
	hasSlot := a.limits.Concurrency == 0 || a.running < a.slots
	if lent.Tokens > 0 && hasSlot {
		// When the tokens are used up early, demand has grown and a further draw may come at once.
		a.next = now
	}
}

// ReceiveNothing is the answer when the budget owner cannot be reached: the router goes on
// with its share of the limits, as one of a number of routers.
func (a *Allowance) ReceiveNothing(now time.Time, routers int) {
	routers = max(1, routers)
	interval := max(time.Second, time.Duration(float64(routers)/max(a.limits.Rate, 1e-9)*float64(time.Second)))
	a.tokens = max(1, int(a.limits.Rate*interval.Seconds())/routers)
	a.slots = max(1, a.limits.Concurrency/routers)
	a.drawn, a.next, a.expires = now, now.Add(interval), now.Add(interval)
	a.denied = interval
}

// IsIdle is true when nothing is lost by forgetting the allowance.
func (a *Allowance) IsIdle(now time.Time) bool {
	return a.running == 0 && now.Sub(a.counted) > SlotLife
}
