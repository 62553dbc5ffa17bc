package membership

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Hysteresis for upstreams that flap.
const (
	// FlapWindow is how long a return to the host list counts.
	FlapWindow = time.Minute
	// FlapLimit is how many returns within the window make an upstream flapping.
	FlapLimit = 3
	// HoldMin and HoldMax bound how long a flapping upstream must stay live before it gets
	// work again. The time doubles with each further return.
	HoldMin = 5 * time.Second
	HoldMax = time.Minute
)

// presence is what is known of one upstream's coming and going.
type presence struct {
	live      bool
	seen      time.Time
	returns   []time.Time
	hold      time.Duration
	heldUntil time.Time
}

// Presences follows the coming and going of upstreams. It is not safe for concurrent use.
type Presences struct {
	known map[fleet.UpstreamID]*presence
}

// NewPresences makes an empty record.
func NewPresences() *Presences {
	return &Presences{known: map[fleet.UpstreamID]*presence{}}
}

// Observe takes the upstreams that are live now, and returns those that begin to be held off.
func (p *Presences) Observe(now time.Time, upstreams []fleet.Upstream) []fleet.UpstreamID {
	live := map[fleet.UpstreamID]bool{}
	for _, upstream := range upstreams {
		if upstream.State == fleet.Live {
			live[upstream.ID] = true
		}
	}
	for id, known := range p.known {
		if !live[id] {
			known.live = false
			if now.Sub(known.seen) > FlapWindow {
				delete(p.known, id)
			}
		}
	}
	var held []fleet.UpstreamID
	for id := range live {
		if p.see(now, id) {
			held = append(held, id)
		}
	}
	slices.Sort(held)
	return held
}

// see notes a live upstream, and tells whether its return makes it held off.
func (p *Presences) see(now time.Time, id fleet.UpstreamID) bool {
	known, found := p.known[id]
	if !found {
		p.known[id] = &presence{live: true, seen: now}
		return false
	}
	known.seen = now
	known.returns = slices.DeleteFunc(known.returns, func(at time.Time) bool { return now.Sub(at) > FlapWindow })
	if len(known.returns) == 0 {
		known.hold = 0
	}
	if known.live {
		return false
	}
	known.live = true
	known.returns = append(known.returns, now)
	if len(known.returns) < FlapLimit {
		return false
	}
	known.hold = min(max(2*known.hold, HoldMin), HoldMax)
	known.heldUntil = now.Add(known.hold)
	return true
}

// IsHeldOff tells whether an upstream gets no new work because it flaps.
func (p *Presences) IsHeldOff(now time.Time, id fleet.UpstreamID) bool {
	known, found := p.known[id]
	return found && now.Before(known.heldUntil)
}
