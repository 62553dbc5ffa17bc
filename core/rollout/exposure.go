package rollout

import (
	"fmt"
	"time"
)

// Exposure bounds what a version gets before it has shown that it is good, over the whole fleet:
// Share of a pool's requests since the order, and Slack more.
type Exposure struct {
	Share float64
	Slack float64
}

// Course of a move that has to end within seconds to minutes, in parts of its duration. There is
// no time for steps of evidence, so that the bound on exposure decides.
const (
	// rampPart is when the version gets rampShare, to be seen under load.
	rampPart = 0.5
	// fullPart is when it gets everything. What follows is the time in which streams on the old
	// version end: it stops without draining when the move is done.
	fullPart = 0.66
	// donePart is when the move is due to be reported as done. The rest of its time is for the
	// last evidence, for a router that takes over the report, and for the write to the store.
	donePart = 0.85
	// rampShare of requests is seen as load, and leaves a second for detection at full share.
	rampShare = 0.3
	// canaryPart is the part of the bound that may be used before the ramp, and rampBound until
	// the version gets everything.
	canaryPart = 0.4
	rampBound  = 0.75
)

// Phase is how far a short move is.
type Phase string

// Phases of short moves.
const (
	PhaseCanary Phase = "canary"
	PhaseRamp   Phase = "ramp"
	PhaseFull   Phase = "full"
	// PhaseDue means that the move is to be reported as done.
	PhaseDue Phase = "due"
)

// PhaseAt returns the phase of a move that was ordered age ago.
func PhaseAt(age, duration time.Duration) Phase {
	part := float64(age) / float64(max(duration, 1))
	switch {
	case part < rampPart:
		return PhaseCanary
	case part < fullPart:
		return PhaseRamp
	case part < donePart:
		return PhaseFull
	}
	return PhaseDue
}

// Admits tells whether one more request may go to the new version, of a router that has seen
// requests of the pool since the order and sent exposed of them there. Draw is a random number
// in [0, 1). The fleet has routers, each of which uses its part of the slack.
func (e Exposure) Admits(phase Phase, requests, exposed, routers int, draw float64) bool {
	bound := e.Share*float64(requests) + e.Slack/float64(max(routers, 1))
	switch phase {
	case PhaseCanary:
		return draw < 2*e.Share && float64(exposed+1) <= canaryPart*bound
	case PhaseRamp:
		return draw < rampShare && float64(exposed+1) <= rampBound*bound
	}
	return true
}

// Verdict of a short move at its end.
func (v Verdict) suspicious() bool { return v.Strength >= suspicion }

// EndOfShort decides how a short move ends: rolled back as soon as the evidence is against the
// version, or when it is due under suspicion, without any request that shows it, or with as many
// failed as not. The last rule is for evidence too thin for the sequential tests. Requests and
// failures are those that ended on the new version.
func EndOfShort(phase Phase, verdict Verdict, requests, failures uint32) (status Status, reason string) {
	switch {
	case verdict.Bad:
		return StatusBack, verdict.Reason
	case phase != PhaseDue:
		return StatusRunning, ""
	case requests == 0:
		return StatusBack, "the deadline came without a request on the new version"
	case 2*failures >= requests:
		return StatusBack, fmt.Sprintf("the deadline came with %d of %d requests failed", failures, requests)
	case verdict.suspicious():
		return StatusBack, "the deadline came under suspicion: " + verdict.Reason
	}
	return StatusDone, "no evidence against the new version"
}
