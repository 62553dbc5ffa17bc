// Package rollout decides how a pool's traffic moves from one version to another. It is
// pure: evidence, configuration and a time go in, decisions with their reasons come out.
//
// A move goes forward by durable steps. A rollback ends it; the rollback carries the
// move's id and needs no agreement: whoever holds it sends nothing to the new version.
package rollout

import (
	"encoding/json"
	"time"

	"agateswitch/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// MoveID names one move. It is unique within the fleet.
type MoveID string

// Status tells how far a move is.
type Status string

// States of a move.
const (
	// StatusRunning moves go forward by steps.
	StatusRunning Status = "running"
	// StatusDone moves have all traffic on the new version.
	StatusDone Status = "done"
	// StatusBack moves were rolled back: all traffic is on the old version.
	StatusBack Status = "taken_back"
)

// Transition is one entry of a move's history.
type Transition struct {
	At     time.Time `json:"at"`
	Share  float64   `json:"share"`
	Status Status    `json:"status"`
	Reason string    `json:"reason"`
}

// Move is the durable state of a pool's move.
type Move struct {
	ID    MoveID        `json:"id"`
	Pool  fleet.PoolID  `json:"pool"`
	From  fleet.Version `json:"from"`
	To    fleet.Version `json:"to"`
	Begun time.Time     `json:"begun"`
	// By is when all traffic has to be on the new version.
	By     time.Time `json:"by"`
	Status Status    `json:"status"`
	// Plan holds the steps, first to last.
	Plan []Step `json:"plan"`
	// Step is the index of the step in force in Plan.
	Step int `json:"step"`
	// Effective is when Step takes the place of the step before it. It lies StepLead after
	// the step was decided, so that all routers change in the same moment.
	Effective time.Time `json:"effective"`
	// Reason explains Status.
	Reason  string       `json:"reason"`
	History []Transition `json:"history"`
}

// Decode reads a move from a configuration item's value.
func Decode(value json.RawMessage) (Move, error) {
	var move Move
	err := json.Unmarshal(value, &move)
	return move, err
}

// ShareAt returns the share of chats, in [0, 1], that is on the new version at a time.
func (m Move) ShareAt(now time.Time) float64 {
	switch {
	case m.Status == StatusDone:
		return 1
	case m.Status == StatusBack || len(m.Plan) == 0:
		return 0
	case !now.Before(m.Effective):
		return m.Plan[m.Step].Share
	case m.Step == 0:
		return 0
	default:
		return m.Plan[m.Step-1].Share
	}
}

// Position returns a chat's place in [0, 1) in the order in which a move takes chats. A
// chat is on the new version when the share is above its position, so that a growing
// share moves each chat once. The move's id is part of the hash: each move begins with
// other chats.
func Position(id MoveID, chat fleet.ChatID) float64 {
	hash := xxhash.Sum64String(string(id) + "\x00" + string(chat))
	return float64(hash>>11) / (1 << 53)
}

// Choose returns the version of a chat at a share.
func (m Move) Choose(chat fleet.ChatID, share float64) fleet.Version {
	if Position(m.ID, chat) < share {
		return m.To
	}
	return m.From
}

// Settled returns the version in use once the move has ended.
func (m Move) Settled() fleet.Version {
	if m.Status == StatusDone {
		return m.To
	}
	return m.From
}

// with returns the move after a transition. The slice is copied: moves are shared.
func (m Move) with(now time.Time, reason string) Move {
	m.Reason = reason
	entry := Transition{At: now, Share: m.ShareAt(m.Effective), Status: m.Status, Reason: reason}
	m.History = append(append([]Transition(nil), m.History...), entry)
	return m
}

// Forward returns the move one step further, effective StepLead after now.
func (m Move) Forward(now time.Time, reason string) Move {
	m.Step++
	m.Effective = now.Add(StepLead)
	return m.with(now, reason)
}

// Done returns the move as finished.
func (m Move) Done(now time.Time, reason string) Move {
	m.Status = StatusDone
	return m.with(now, reason)
}

// Back returns the move as rolled back.
func (m Move) Back(rollback Rollback) Move {
	m.Status = StatusBack
	return m.with(rollback.At, rollback.Reason)
}
