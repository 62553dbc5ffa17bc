package rollout

import (
	"fmt"
	"time"
)

// Evidence that a step needs before the next one.
const (
	// FirstShare is the most that a version gets before it has earned more.
	FirstShare = 0.05
	// StepRequests of the new version must have ended in a step. A version that fails 5 in
	// 100 requests shows at least one failure among them with a probability of 95%.
	StepRequests = 60
	// RouteRequests must have ended on each main route in a step: one that fails 20 in 100
	// shows at least one failure with a probability of 95%.
	RouteRequests = 14
	// MainRouteShare is the part of the old version's requests that makes a route a main
	// one. Other routes are watched, but steps do not wait for them.
	MainRouteShare = 0.2
	// StepTime is the least time of a step.
	StepTime = 30 * time.Second
	// StepLead is the time from the decision of a step until it takes effect everywhere.
	StepLead = 3 * time.Second
)

// Stretch of a plan when there is more time than the evidence needs.
const (
	// planReserve is how much longer the evidence may take than at a steady rate: requests
	// come by chance, and a suspicion holds a step until it is refuted.
	planReserve = 2.0
	// planMargin is the part of the time until the deadline that a plan uses.
	planMargin = 0.8
	maxStretch = 3.0
)

// shares are the shares of the steps.
var shares = []float64{FirstShare, 0.1, 0.25, 0.5, 0.9, 1}

// Step is one step of a move.
type Step struct {
	// Share of chats on the new version, in (0, 1].
	Share float64 `json:"share"`
	// Requests of the new version that must have ended before the next step.
	Requests int `json:"requests"`
	// Time that the step lasts at least.
	Time time.Duration `json:"time"`
	// Expected is how long the step takes at the rate for which the plan was made.
	Expected time.Duration `json:"expected"`
}

// Plan is the timetable of a move.
type Plan struct {
	Steps []Step `json:"steps"`
	// Rate of the pool, in requests a second, for which the plan was made.
	Rate float64 `json:"rate"`
	// Needed is the least time of the whole move at that rate.
	Needed time.Duration `json:"needed"`
	// Impossible explains why the deadline cannot be met; empty when it can.
	Impossible string `json:"impossible,omitempty"`
}

// MakePlan works the steps back from the deadline. Spare time stretches every step alike,
// up to three times, and the rest is left for holds.
func MakePlan(now, by time.Time, rate float64) Plan {
	plan := Plan{Rate: rate}
	if rate <= 0 {
		plan.Impossible = "the pool has no traffic, so there can be no evidence for a step"
		return plan
	}
	var needed []time.Duration
	for _, share := range shares {
		evidence := time.Duration(planReserve * StepRequests / (rate * share) * float64(time.Second))
		length := max(StepTime, evidence) + StepLead
		needed = append(needed, length)
		plan.Needed += length
	}
	available := by.Sub(now)
	if available < plan.Needed {
		plan.Impossible = fmt.Sprintf("safe steps need %s at %.2f requests a second, and only %s are left: the earliest time is %s",
			plan.Needed.Round(time.Second), rate, available.Round(time.Second),
			now.Add(plan.Needed).UTC().Format(time.RFC3339))
	}
	stretch := planMargin * float64(available) / float64(plan.Needed)
	stretch = min(max(stretch, 1), maxStretch)
	for i, share := range shares {
		length := time.Duration(float64(needed[i]) * stretch)
		dwell := time.Duration(float64(StepTime) * stretch)
		plan.Steps = append(plan.Steps, Step{Share: share, Requests: StepRequests, Time: dwell, Expected: length})
	}
	return plan
}

// Remaining is the time that the plan gives to the steps from the present one on.
func (m Move) Remaining() time.Duration {
	var total time.Duration
	for _, step := range m.Plan[m.Step:] {
		total += step.Expected
	}
	return total
}
