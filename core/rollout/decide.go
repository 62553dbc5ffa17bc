package rollout

import (
	"fmt"
	"time"
)

// missingLimit is how long the new version may have no upstream that takes work.
const missingLimit = 10 * time.Second

// Action is what the leader of a move does.
type Action string

// Actions.
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

// Input is what a decision about a running move depends on.
type Input struct {
	Move     Move
	Detector *Detector
	// MissingSince is since when the new version has no upstream that takes work; zero
	// means that it has one.
	MissingSince time.Time
}

// Decide tells what the leader of a running move does next.
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
	if !input.MissingSince.IsZero() && now.Sub(input.MissingSince) >= missingLimit && share > 0 {
		return Decision{ActionRollback, fmt.Sprintf("no upstream of version %s has taken work for %s", move.To, missingLimit)}
	}
	requests, lacking := input.Detector.Earned()
	hold := holdReason(now, move, verdict, requests, lacking)
	if !now.Before(move.By) && share < 1 {
		return Decision{ActionRollback, fmt.Sprintf("the deadline passed at a share of %g%%, held by: %s", share*100, hold)}
	}
	if !now.Before(move.By) {
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

// holdReason names what a step waits for; empty when nothing is missing.
func holdReason(now time.Time, move Move, verdict Verdict, requests uint32, lacking string) string {
	step := move.Plan[move.Step]
	stays := step.Time
	// A move that is late takes no longer than its evidence needs.
	if now.Add(move.Remaining()).After(move.By) {
		stays = StepTime
	}
	switch {
	case now.Before(move.Effective.Add(stays)):
		return fmt.Sprintf("the step lasts until %s", move.Effective.Add(stays).UTC().Format(time.TimeOnly))
	case int(requests) < step.Requests:
		return fmt.Sprintf("%d of %d requests of evidence", requests, step.Requests)
	case lacking != "":
		return lacking
	case verdict.Strength >= suspicion:
		return "suspicion: " + verdict.Reason
	}
	return ""
}
