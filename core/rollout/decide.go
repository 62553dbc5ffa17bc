package rollout

import (
	"fmt"
	"time"
)

// maxTimeWithoutUpstream is how long the new version may have no upstream that accepts requests
// before the move is rolled back.
const maxTimeWithoutUpstream = 10 * time.Second

// Action is what the leader of a move does next.
type Action string

// Actions of a leader: keep the step in force, start the next step, roll back, or finish.
const (
	ActionHold     Action = "hold"
	ActionStep     Action = "step"
	ActionRollback Action = "rollback"
	ActionDone     Action = "done"
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	Reason string
}

// Input holds what a decision about a running move depends on.
type Input struct {
	Move     Move
	Detector *Detector
	// NoUpstreamSince is the time since which the new version has had no upstream that accepts
	// requests. It is zero while the version has one.
	NoUpstreamSince time.Time
}

// Decide returns what the leader of a move does next, and why.
func Decide(now time.Time, input Input) Decision {
	move := input.Move
	if move.Status != StatusRunning {
		return Decision{ActionHold, "the move has ended"}
	}
	verdict := input.Detector.Verdict(true)
	if verdict.Bad {
		return Decision{ActionRollback, verdict.Reason}
	}
	share := move.ShareAt(now)
	if !input.NoUpstreamSince.IsZero() && now.Sub(input.NoUpstreamSince) >= maxTimeWithoutUpstream && share > 0 {
		return Decision{ActionRollback, fmt.Sprintf("no upstream of version %s has taken work for %s", move.To, maxTimeWithoutUpstream)}
	}
	requests, missing := input.Detector.StepEvidence()
	hold := holdReason(now, move, verdict, requests, missing)
	if !now.Before(move.Deadline) && share < 1 {
		return Decision{ActionRollback, fmt.Sprintf("the deadline passed at a share of %g%%, held by: %s", share*100, hold)}
	}
	if !now.Before(move.Deadline) {
		return Decision{ActionDone, fmt.Sprintf("the deadline is reached with all traffic moved and %d requests", requests)}
	}
	if hold != "" {
		return Decision{ActionHold, hold}
	}
	if move.Step == len(move.Plan)-1 {
		return Decision{ActionDone, fmt.Sprintf("%d requests without evidence against it at 100%%", requests)}
	}
	return Decision{ActionStep, fmt.Sprintf("%d requests without evidence against it at %g%%", requests, share*100)}
}

// holdReason returns why the step in force has to continue, or "" when the next one may start.
func holdReason(now time.Time, move Move, verdict Verdict, requests uint32, missing string) string {
	step := move.Plan[move.Step]
	minTime := step.Time
	// A move that is behind its plan shortens its steps to the minimum that evidence needs.
	if now.Add(move.Remaining()).After(move.Deadline) {
		minTime = MinStepTime
	}
	switch {
	case now.Before(move.Effective.Add(minTime)):
		return fmt.Sprintf("the step lasts until %s", move.Effective.Add(minTime).UTC().Format(time.TimeOnly))
	case int(requests) < step.Requests:
		return fmt.Sprintf("%d of %d requests of evidence", requests, step.Requests)
	case missing != "":
		return missing
	case verdict.Strength >= suspicionThreshold:
		return "suspicion: " + verdict.Reason
	}
	return ""
}
