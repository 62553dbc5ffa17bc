package quarantine

import (
	"encoding/json"
	"time"

	"agateswitch/core/fleet"
)

// Limits of the list of held parts.
const (
	// HoldDuration is how long a part is held back.
	HoldDuration = 24 * time.Hour
	// MaxHolds bounds the parts that are held back at a time.
	MaxHolds = 64
)

// Hold is the durable order to hold a part back. It is kept in the platform's store.
type Hold struct {
	Part Part `json:"part"`
	// Since is when the part was held back, by the clock of the router that did so.
	Since time.Time `json:"since"`
	// Engines are the engines that ended, first to last, and Router is the router that held the part back.
	Engines []fleet.UpstreamID `json:"engines"`
	Router  fleet.HostID       `json:"router"`
	// Origin is where the first request with the part came from.
	Origin
	// Released is true once an operator, or an answer to a request with the part, has released it, and while it is on trial. The
	// entry stays until it expires, so that a release is not taken for a loss.
	Released bool `json:"released,omitempty"`
	// OnTrial is true while one request with the part may be in work at a time. An answer releases the part, and the end of
	// an engine holds it back again.
	OnTrial bool `json:"on_trial,omitempty"`
	// Tried is true if an engine ended on trial, FailedTrials are when, and Disturbed is true if the last one was in a wave of ends.
	Tried        bool        `json:"tried,omitempty"`
	FailedTrials []time.Time `json:"failed_trials,omitempty"`
	Disturbed    bool        `json:"disturbed,omitempty"`
	// Accompanied is how many of the ends had company (Evidence.Accompanied).
	Accompanied int `json:"accompanied,omitempty"`
	// Pool is the pool of the engines that ended, and Weight what their ends proved.
	Pool   fleet.PoolID `json:"pool,omitempty"`
	Weight *Weight      `json:"weight,omitempty"`
	// Reason says why the part was released.
	Reason string `json:"reason,omitempty"`
}

// DecodeHold decodes an entry's value.
func DecodeHold(value []byte) (Hold, error) {
	var h Hold
	err := json.Unmarshal(value, &h)
	return h, err
}

// InForce reports whether the part is held back.
func (h Hold) InForce(now time.Time) bool { return !h.Released && !h.Expired(now) }

// IsOnTrial reports whether the part is on trial.
func (h Hold) IsOnTrial(now time.Time) bool { return h.Released && h.OnTrial && !h.Expired(now) }

// State names the stage of the hold: held, trial, tried (held again after a trial) or released.
func (h Hold) State() string {
	switch {
	case h.OnTrial:
		return "trial"
	case h.Released:
		return "released"
	case h.Tried:
		return "tried"
	}
	return "held"
}

// Release returns the entry of a part that is released, with the reason.
func (h Hold) Release(reason string) Hold {
	h.Released, h.OnTrial, h.Reason = true, false, reason
	return h
}

// Next returns the time of a later hold of the part. The clocks of routers differ, so that it may be after now.
func (h Hold) Next(now time.Time) time.Time {
	if earliest := h.Since.Add(time.Millisecond); now.Before(earliest) {
		return earliest
	}
	return now
}

// Supersedes reports whether an entry is newer than another one of the same part. Routers that held the part back at the
// same time differ in when they did, so that the release of one such hold ends a later one, too, but none since a trial.
func (h Hold) Supersedes(other Hold) bool {
	switch {
	case h.Since.Equal(other.Since):
		return h.stage() > other.stage()
	case h.Since.After(other.Since):
		return true
	}
	return h.Released && !other.Released && !other.Tried
}

// stage orders the entries of one hold.
func (h Hold) stage() int {
	switch {
	case !h.Released:
		return 0
	case h.OnTrial:
		return 1
	}
	return 2
}

// Expired reports whether the entry is no longer needed.
func (h Hold) Expired(now time.Time) bool { return now.Sub(h.Since) > HoldDuration }
