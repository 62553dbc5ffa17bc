package rollout

import (
	"fmt"
	"math"
	"time"
)

// Exposure bounds how many requests a version gets in a short move. The bound holds for the whole
// fleet, from the order until its deadline: Share of the pool's requests, plus Slack.
type Exposure struct {
	Share float64
	Slack float64
}

// Spending is what one router has used of the bound since the order.
type Spending struct {
	// Requests counts the router's attempts on upstreams of the pool, and Exposed those of them on the new
	// version.
	Requests, Exposed int
	// Routers is the largest size of the fleet since the order. Each router uses an equal part of the slack.
	Routers int
	// Inherited is true on a router that started after the order. It gets no part of the slack, which an
	// earlier process may have used.
	Inherited bool
}

// bound returns the router's part of the bound.
func (e Exposure) bound(s Spending) float64 {
	if s.Inherited {
		return e.Share * float64(s.Requests)
	}
	return e.Share*float64(s.Requests) + e.Slack/float64(max(s.Routers, 1))
}

// Parameters of a short move, which has to end within seconds to minutes. There is no time for steps that
// each wait for evidence of their own. Fractions of time refer to the move's duration.
const (
	// canaryShare is the share of requests that an unproven version gets, as a multiple of Exposure.Share.
	canaryShare = 2
	// rampStartFraction is when a proven version begins to get rampShare, to show its behaviour under load.
	rampStartFraction = 0.5
	rampShare         = 0.3
	// canaryBoundFraction and rampBoundFraction are the fractions of the bound that may be used up in these
	// phases. The full phase may use usableBoundFraction.
	canaryBoundFraction   = 0.2
	extendedBoundFraction = 0.5
	rampBoundFraction     = 0.3
	usableBoundFraction   = 0.95
	// dueStartFraction is when the move is to be reported as done. The rest of its duration is left for
	// the last evidence, for another router to take over the report, and for the write to the store.
	dueStartFraction = 0.85
	// ReportTime is the time from then until the report is in the store.
	ReportTime = 800 * time.Millisecond
	// fullReserve is how much more must be left of the bound at the start of the full phase than the phase
	// is expected to use.
	fullReserve = 1.1
)

// Phase is the phase of a short move on one router. It determines how many requests the new version
// gets. In each phase the bound on exposure holds.
type Phase string

// Phases of a short move, in their order.
const (
	PhaseCanary Phase = "canary"
	// PhaseExtended goes on with the canary's share while there is too little evidence for or against the
	// version.
	PhaseExtended Phase = "extended"
	PhaseRamp     Phase = "ramp"
	// PhaseFull sends all requests to the new version, so that those on the old one, which stops without
	// draining when the move is done, have time to end.
	PhaseFull Phase = "full"
)

// DueAt returns how long after its order a move is to be reported as done.
func DueAt(duration time.Duration) time.Duration {
	return time.Duration(dueStartFraction * float64(duration))
}

// lastDecisionTime is how long before its deadline a move is decided at the latest.
const lastDecisionTime = ReportTime + 500*time.Millisecond

// IsDue reports whether a move that was ordered age ago is to end. While most requests on the new version are still in work,
// as just after the start of the full phase, it waits for their answers as long as the report is in the store in time.
func IsDue(age, duration time.Duration, p Progress) bool {
	if age < DueAt(duration) {
		return false
	}
	return !p.isSilent() || age >= duration-lastDecisionTime
}

// PhaseAt returns the phase of a move that was ordered age ago. A version that is not proven gets no more than
// a canary's share. The full phase begins when what the bound leaves lasts until the move is reported; callers
// keep it then as long as the version is proven.
func (e Exposure) PhaseAt(age, duration time.Duration, proof Proof, s Spending) Phase {
	isEarly := float64(age) < rampStartFraction*float64(duration)
	switch {
	case proof == ProofMissing && !isEarly:
		return PhaseExtended
	case proof != ProofComplete:
		return PhaseCanary
	}
	end := DueAt(duration) + ReportTime
	expected := float64(s.Requests) * max(0, float64(end-age)) / float64(max(age, 1))
	if usableBoundFraction*e.bound(s)-float64(s.Exposed) >= fullReserve*(1-usableBoundFraction*e.Share)*expected {
		return PhaseFull
	}
	if isEarly {
		return PhaseCanary
	}
	return PhaseRamp
}

// Admits reports whether a router may send one more request, counted in s.Requests, to the new version.
// Draw is a random number in [0, 1).
func (e Exposure) Admits(phase Phase, s Spending, draw float64) bool {
	share, fraction := 1.0, usableBoundFraction
	switch phase {
	case PhaseCanary:
		share, fraction = canaryShare*e.Share, canaryBoundFraction
	case PhaseExtended:
		share, fraction = canaryShare*e.Share, extendedBoundFraction
	case PhaseRamp:
		share, fraction = rampShare, rampBoundFraction
	}
	return draw < share && float64(s.Exposed+1) <= fraction*e.bound(s)
}

// suspicious reports whether the evidence against the version is too strong for it to get more requests, or
// for a move to be done.
func (v Verdict) suspicious() bool { return v.Strength >= suspicionThreshold }

// Progress counts the requests of all routers on the new version of a short move: those that were sent, those that
// an upstream refused to run, those whose answer began or that failed, and those that failed. OldAnswered and OldFailed count
// the last two on the old version.
type Progress struct {
	Started, Refused, Answered, Failed uint32
	OldAnswered, OldFailed             uint32
}

// Add adds the results of one period.
func (p *Progress) Add(pair Pair) {
	p.Started += pair.New.Started
	p.Refused += pair.New.Refused
	p.Answered += pair.New.FirstToken.total() + pair.New.Failures
	p.Failed += pair.New.Failures
	p.OldAnswered += pair.Old.FirstToken.total() + pair.Old.Failures
	p.OldFailed += pair.Old.Failures
}

// isSilent reports whether too few requests were answered to tell anything about the others.
func (p Progress) isSilent() bool { return 2*int(p.Answered) < int(p.Started)-int(p.Refused) }

// isFailing reports whether so many requests failed that no test is needed.
func (p Progress) isFailing() bool { return p.Answered > 0 && 2*p.Failed >= p.Answered }

// evenOdds are the odds above which a version is rather bad than good.
const evenOdds = 1

// oddsOfFailing returns how much likelier these failures are if the version fails at one of unpairedRates than if it fails as
// often as the old version, or at nullFailureRate if that is more.
func (p Progress) oddsOfFailing() float64 {
	good := max(nullFailureRate, float64(p.OldFailed)/float64(max(p.OldAnswered, 1)))
	failed, succeeded := float64(p.Failed), float64(p.Answered-p.Failed)
	odds := 0.0
	for _, bad := range unpairedRates {
		if bad > good {
			odds += math.Exp(failed*math.Log(bad/good)+succeeded*math.Log((1-bad)/(1-good))) / float64(len(unpairedRates))
		}
	}
	return odds
}

// minProofAnswers is how many answers a proof needs. A version that fails 30 in 100 requests shows at least
// one failure among them with a probability of 94%.
const minProofAnswers = 8

// Proof states whether there is evidence enough for a version to get more requests than a canary.
type Proof int

// States of a proof. Missing answers are no evidence for a version.
const (
	ProofMissing Proof = iota
	ProofFailed
	ProofComplete
)

// Proof returns the state of the proof.
func (p Progress) Proof(verdict Verdict) Proof {
	switch {
	case verdict.suspicious() || p.isFailing():
		return ProofFailed
	case p.Answered < minProofAnswers || p.isSilent():
		return ProofMissing
	}
	return ProofComplete
}

// DecideShortMove returns the status of a short move. The move is rolled back as soon as the verdict
// is bad. When it is due, it is also rolled back if the verdict is suspicious, if less than half of the requests
// on the new version were answered, if half of those failed, or if the failures among them rather speak for a bad version. The last
// three rules cover evidence that is too thin for the sequential tests.
func DecideShortMove(due bool, verdict Verdict, p Progress) (status Status, reason string) {
	switch {
	case verdict.Bad:
		return StatusRolledBack, verdict.Reason
	case !due:
		return StatusRunning, ""
	case p.Answered == 0:
		return StatusRolledBack, "the deadline came without an answer of the new version"
	case p.isFailing():
		return StatusRolledBack, fmt.Sprintf("the deadline came with %d of %d requests failed", p.Failed, p.Answered)
	case p.isSilent():
		return StatusRolledBack, fmt.Sprintf("the deadline came with %d of %d requests answered", p.Answered, p.Started)
	case p.Failed > 0 && p.oddsOfFailing() > evenOdds:
		return StatusRolledBack, fmt.Sprintf("the deadline came with %d of %d requests failed, odds of %.1f that the version is bad", p.Failed, p.Answered, p.oddsOfFailing())
	case verdict.suspicious():
		return StatusRolledBack, "the deadline came under suspicion: " + verdict.Reason
	}
	return StatusDone, "no evidence against the new version"
}
