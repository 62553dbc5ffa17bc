package rollout

import (
	"fmt"
	"time"
)

// Exposure bounds how many requests a version gets in a short move before there is enough evidence to
// send it all of them. The bound holds for the whole fleet: Share of a pool's requests since the
// order, plus Slack.
type Exposure struct {
	Share float64
	Slack float64
}

// Phases of a short move, which has to end within seconds to minutes, as fractions of its duration.
// There is no time for steps that wait for evidence. The bound on exposure limits the damage instead.
const (
	// rampStartFraction is when the version begins to get rampShare, to show its behaviour under load.
	rampStartFraction = 0.5
	// fullStartFraction is when the version begins to get all requests. Streams on the old version
	// have the rest of the time to end: the old version stops without draining when the move is done.
	fullStartFraction = 0.66
	// dueStartFraction is when the move is to be reported as done. The rest of its duration is
	// left for the last evidence, for another router to take over the report, and for the write to
	// the store.
	dueStartFraction = 0.85
	// rampShare is the share of requests during the ramp. It is high enough to show faults under
	// load, and leaves a second for detection at full share.
	rampShare = 0.3
	// canaryBoundFraction is the fraction of the exposure bound that may be used before the ramp,
	// and rampBoundFraction the one before the version gets all requests.
	canaryBoundFraction = 0.4
	rampBoundFraction   = 0.75
)

// Phase is the phase of a short move.
type Phase string

// Phases of a short move, in their order.
const (
	PhaseCanary Phase = "canary"
	PhaseRamp   Phase = "ramp"
	PhaseFull   Phase = "full"
	// PhaseDue means that the move is to be reported as done.
	PhaseDue Phase = "due"
)

// PhaseAt returns the phase of a move that was ordered age ago.
func PhaseAt(age, duration time.Duration) Phase {
	elapsed := float64(age) / float64(max(duration, 1))
	switch {
	case elapsed < rampStartFraction:
		return PhaseCanary
	case elapsed < fullStartFraction:
		return PhaseRamp
	case elapsed < dueStartFraction:
		return PhaseFull
	}
	return PhaseDue
}

// Admits reports whether a router may send one more request to the new version. Since the order,
// the router has received the given number of the pool's requests and sent exposed of them there.
// Draw is a random number in [0, 1). Each of the fleet's routers uses an equal part of the slack.
func (e Exposure) Admits(phase Phase, requests, exposed, routers int, draw float64) bool {
	bound := e.Share*float64(requests) + e.Slack/float64(max(routers, 1))
	switch phase {
	case PhaseCanary:
		return draw < 2*e.Share && float64(exposed+1) <= canaryBoundFraction*bound
	case PhaseRamp:
		return draw < rampShare && float64(exposed+1) <= rampBoundFraction*bound
	}
	return true
}

// suspicious reports whether the evidence against the version is too strong for a move to be done.
func (v Verdict) suspicious() bool { return v.Strength >= suspicionThreshold }

// DecideShortMove returns the status of a short move. The move is rolled back as soon as the verdict
// is bad. When it is due, it is also rolled back if the verdict is suspicious, if no request has
// ended on the new version, or if at least half of them failed. The last rule covers evidence that is
// too thin for the sequential tests. Requests and failures are those that ended on the new version.
func DecideShortMove(phase Phase, verdict Verdict, requests, failures uint32) (status Status, reason string) {
	switch {
	case verdict.Bad:
		return StatusRolledBack, verdict.Reason
	case phase != PhaseDue:
		return StatusRunning, ""
	case requests == 0:
		return StatusRolledBack, "the deadline came without a request on the new version"
	case 2*failures >= requests:
		return StatusRolledBack, fmt.Sprintf("the deadline came with %d of %d requests failed", failures, requests)
	case verdict.suspicious():
		return StatusRolledBack, "the deadline came under suspicion: " + verdict.Reason
	}
	return StatusDone, "no evidence against the new version"
}
