package rollout

import (
	"fmt"
	"time"
)

// Evidence that a step needs before the next one.
const (
	// FirstShare is the share of the first step, the most that a version gets before there is evidence.
	FirstShare = 0.05
	// MinStepRequests is how many requests of the new version must have ended in a step. A version
	// that fails 5 in 100 requests shows at least one failure among them with a probability of 95%.
	MinStepRequests = 60
	// MinRouteRequests is the same for each main route. A route that fails 20 in 100 requests shows
	// at least one failure among them with a probability of 95%.
	MinRouteRequests = 14
	// MainRouteShare is the share of the old version's requests from which on a route is a main
	// route. Other routes are evaluated, too, but steps don't wait for their requests.
	MainRouteShare = 0.2
	// MinStepTime is the minimum duration of a step.
	MinStepTime = 30 * time.Second
	// StepLeadTime is the time from the decision of a step until it takes effect on all routers.
	StepLeadTime = 3 * time.Second
)

// Factors by which a plan allots time to its steps.
const (
	// evidenceTimeFactor is how much longer the evidence may take than at a steady rate: requests
	// arrive at random, and suspicious evidence delays a step until more requests refute it.
	evidenceTimeFactor = 2.0
	// usedTimeFraction is the fraction of the time until the deadline to which a plan is stretched.
	usedTimeFraction = 0.8
	// maxStretch is the highest factor by which steps are stretched when there is spare time.
	maxStretch = 3.0
)

// stepShares are the shares of the steps, in their order.
var stepShares = []float64{FirstShare, 0.1, 0.25, 0.5, 0.9, 1}

// Step is one step of a move.
type Step struct {
	// Share of chats on the new version, in (0, 1].
	Share float64 `json:"share"`
	// Requests of the new version that must have ended before the next step.
	Requests int `json:"requests"`
	// Time is the minimum duration of the step.
	Time time.Duration `json:"time"`
	// Expected is how long the step takes at the rate for which the plan was made.
	Expected time.Duration `json:"expected"`
}

// Plan is the schedule of a move.
type Plan struct {
	Steps []Step `json:"steps"`
	// Rate is the pool's request rate for which the plan was made, in requests per second.
	Rate float64 `json:"rate"`
	// Needed is the minimum duration of the whole move at that rate.
	Needed time.Duration `json:"needed"`
	// Impossible explains why the deadline cannot be met; empty when it can.
	Impossible string `json:"impossible,omitempty"`
}

// MakePlan returns the plan of a move that begins at now and ends by the deadline. Spare time
// stretches all steps by the same factor, up to maxStretch. The rest is left for steps that have
// to wait for evidence.
func MakePlan(now, deadline time.Time, rate float64) Plan {
	plan := Plan{Rate: rate}
	if rate <= 0 {
		plan.Impossible = "the pool has no traffic, so there can be no evidence for a step"
		return plan
	}
	var minLengths []time.Duration
	for _, share := range stepShares {
		evidence := time.Duration(evidenceTimeFactor * MinStepRequests / (rate * share) * float64(time.Second))
		minLength := max(MinStepTime, evidence) + StepLeadTime
		minLengths = append(minLengths, minLength)
		plan.Needed += minLength
	}
	available := deadline.Sub(now)
	if available < plan.Needed {
		plan.Impossible = fmt.Sprintf("safe steps need %s at %.2f requests a second, and only %s are left: the earliest time is %s",
			plan.Needed.Round(time.Second), rate, available.Round(time.Second),
			now.Add(plan.Needed).UTC().Format(time.RFC3339))
	}
	stretch := usedTimeFraction * float64(available) / float64(plan.Needed)
	stretch = min(max(stretch, 1), maxStretch)
	for i, share := range stepShares {
		expected := time.Duration(float64(minLengths[i]) * stretch)
		minTime := time.Duration(float64(MinStepTime) * stretch)
		plan.Steps = append(plan.Steps, Step{Share: share, Requests: MinStepRequests, Time: minTime, Expected: expected})
	}
	return plan
}

// Remaining returns the planned duration of the step in force and those after it.
func (m Move) Remaining() time.Duration {
	var total time.Duration
	for _, step := range m.Plan[m.Step:] {
		total += step.Expected
	}
	return total
}
