package membership

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Hold-down of upstreams that flap.
const (
	// FlapWindow is the period within which returns to the host list are counted.
	FlapWindow = time.Minute
	// FlapThreshold is the number of returns within the window from which an upstream is
	// considered flapping.
	FlapThreshold = 3
	// HoldDownMin and HoldDownMax bound how long a flapping upstream gets no new work after a
	// return. The time doubles with each further return.
	HoldDownMin = 5 * time.Second
	HoldDownMax = time.Minute
)

// flapState is the recent history of one upstream in the host list.
type flapState struct {
	live          bool
	lastSeen      time.Time
	returns       []time.Time
	holdDown      time.Duration
	heldDownUntil time.Time
}

// FlapDetector finds upstreams that keep leaving and rejoining the host list. It is not safe for
// concurrent use.
type FlapDetector struct {
	states map[fleet.UpstreamID]*flapState
}

// NewFlapDetector returns a detector without any history.
func NewFlapDetector() *FlapDetector {
	return &FlapDetector{states: map[fleet.UpstreamID]*flapState{}}
}

// Observe records which of the listed upstreams are live, and returns the ids of those that it
// begins to hold down, in order.
func (d *FlapDetector) Observe(now time.Time, upstreams []fleet.Upstream) []fleet.UpstreamID {
	live := map[fleet.UpstreamID]bool{}
	for _, upstream := range upstreams {
		if upstream.State == fleet.Live {
			live[upstream.ID] = true
		}
	}
	for id, state := range d.states {
		if !live[id] {
			state.live = false
			if now.Sub(state.lastSeen) > FlapWindow {
				delete(d.states, id)
			}
		}
	}
	var heldDown []fleet.UpstreamID
	for id := range live {
		if d.observeLive(now, id) {
			heldDown = append(heldDown, id)
		}
	}
	slices.Sort(heldDown)
	return heldDown
}

// observeLive records that an upstream is live, and reports whether it is held down from now on
// because of its return.
func (d *FlapDetector) observeLive(now time.Time, id fleet.UpstreamID) bool {
	state, found := d.states[id]
	if !found {
		d.states[id] = &flapState{live: true, lastSeen: now}
		return false
	}
	state.lastSeen = now
	state.returns = slices.DeleteFunc(state.returns, func(at time.Time) bool { return now.Sub(at) > FlapWindow })
	if len(state.returns) == 0 {
		state.holdDown = 0
	}
	if state.live {
		return false
	}
	state.live = true
	state.returns = append(state.returns, now)
	if len(state.returns) < FlapThreshold {
		return false
	}
	state.holdDown = min(max(2*state.holdDown, HoldDownMin), HoldDownMax)
	state.heldDownUntil = now.Add(state.holdDown)
	return true
}

// IsHeldDown reports whether an upstream gets no new work because it flaps.
func (d *FlapDetector) IsHeldDown(now time.Time, id fleet.UpstreamID) bool {
	state, found := d.states[id]
	return found && now.Before(state.heldDownUntil)
}
