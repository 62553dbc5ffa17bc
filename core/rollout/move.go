// Package rollout decides how a pool's traffic moves from one version to another. It is free of
// side effects: it computes decisions and their reasons from evidence, configuration and a time.
//
// A move advances in durable steps, and a rollback ends it. A rollback names the move's id and
// needs no agreement among routers: a router that has received it sends no more requests to the new
// version.
package rollout

import (
	"encoding/json"
	"time"

	"agateswitch/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// MoveID names one move. It is unique within the fleet.
type MoveID string

// Status is the state of a move.
type Status string

// States of a move.
const (
	// StatusRunning moves advance in steps.
	StatusRunning Status = "running"
	// StatusDone moves have all traffic on the new version.
	StatusDone Status = "done"
	// StatusRolledBack moves have all traffic on the old version again.
	StatusRolledBack Status = "taken_back"
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
	// Deadline is when all traffic has to be on the new version.
	Deadline time.Time `json:"by"`
	Status   Status    `json:"status"`
	// Plan holds the steps, first to last.
	Plan []Step `json:"plan"`
	// Step is the index of the step in force in Plan.
	Step int `json:"step"`
	// Effective is when Step replaces the step before it. It is StepLeadTime after the decision,
	// so that all routers change at the same time.
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

// ShareAt returns the share of chats, in [0, 1], that are on the new version at the given time.
func (m Move) ShareAt(now time.Time) float64 {
	switch {
	case m.Status == StatusDone:
		return 1
	case m.Status == StatusRolledBack || len(m.Plan) == 0:
		return 0
	case !now.Before(m.Effective):
		return m.Plan[m.Step].Share
	case m.Step == 0:
		return 0
	default:
		return m.Plan[m.Step-1].Share
	}
}

// Position returns a chat's position, in [0, 1), in the order in which a move moves chats. A chat is
// on the new version while the share is above its position, so that a growing share moves each chat
// once. The move's id is part of the hash, so that each move begins with different chats.
func Position(id MoveID, chat fleet.ChatID) float64 {
	hash := xxhash.Sum64String(string(id) + "\x00" + string(chat))
	return float64(hash>>11) / (1 << 53)
}

// Choose returns the version of a chat at the given share.
func (m Move) Choose(chat fleet.ChatID, share float64) fleet.Version {
	if Position(m.ID, chat) < share {
		return m.To
	}
	return m.From
}

// FinalVersion returns the version in use after the move has ended.
func (m Move) FinalVersion() fleet.Version {
	if m.Status == StatusDone {
		return m.To
	}
	return m.From
}

// withTransition returns the move with a transition added to its history. It copies the slice,
// since moves share it.
func (m Move) withTransition(now time.Time, reason string) Move {
	m.Reason = reason
	entry := Transition{At: now, Share: m.ShareAt(m.Effective), Status: m.Status, Reason: reason}
	m.History = append(append([]Transition(nil), m.History...), entry)
	return m
}

// NextStep returns the move with the next step in force from StepLeadTime after now.
func (m Move) NextStep(now time.Time, reason string) Move {
	m.Step++
	m.Effective = now.Add(StepLeadTime)
	return m.withTransition(now, reason)
}

// Done returns the move as finished.
func (m Move) Done(now time.Time, reason string) Move {
	m.Status = StatusDone
	return m.withTransition(now, reason)
}

// RolledBack returns the move as ended by a rollback.
func (m Move) RolledBack(rollback Rollback) Move {
	m.Status = StatusRolledBack
	return m.withTransition(rollback.At, rollback.Reason)
}
