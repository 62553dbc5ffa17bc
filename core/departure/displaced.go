package departure

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// DisplacedTime is how long an upstream gets no requests after another one has answered at its address. The platform removes the entry
// of an upstream that has ended within this time, unless the store is down.
const DisplacedTime = 5 * time.Second

// displacedTellTime is how long a displacement is told to other routers. Many upstreams may be displaced at once, so that it is shorter
// than tellDuration.
const displacedTellTime = 2 * time.Second

// Displacement states that another upstream has answered at the address of an incarnation of an upstream.
type Displacement struct {
	Upstream    fleet.UpstreamID `msgpack:"u"`
	Incarnation int64            `msgpack:"i"`
	Address     string           `msgpack:"n"`
	// AgeMs is the time since that answer.
	AgeMs int64 `msgpack:"a"`
}

// place is an incarnation of an upstream at an address.
type place struct {
	upstream    fleet.UpstreamID
	incarnation int64
	address     string
}

// Displacements holds the displacements of the last DisplacedTime that a router knows. It is not safe for concurrent use. The zero value
// is empty.
type Displacements struct {
	at map[place]time.Time
}

// Add adds a displacement. It reports whether the upstream was not displaced before.
func (d *Displacements) Add(displaced Displacement, now time.Time) bool {
	d.prune(now)
	at := now.Add(-time.Duration(max(0, displaced.AgeMs)) * time.Millisecond)
	if now.Sub(at) >= DisplacedTime {
		return false
	}
	key := place{displaced.Upstream, displaced.Incarnation, displaced.Address}
	known, found := d.at[key]
	if d.at == nil {
		d.at = map[place]time.Time{}
	}
	if !found || at.After(known) {
		d.at[key] = at
	}
	return !found
}

// Has reports whether an incarnation of an upstream at an address is displaced at now.
func (d *Displacements) Has(upstream fleet.UpstreamID, incarnation int64, address string, now time.Time) bool {
	at, found := d.at[place{upstream, incarnation, address}]
	return found && now.Sub(at) < DisplacedTime
}

// Told returns the displacements to tell other routers, the newest first.
func (d *Displacements) Told(now time.Time) []Displacement {
	d.prune(now)
	var told []Displacement
	for key, at := range d.at {
		if now.Sub(at) > displacedTellTime {
			continue
		}
		told = append(told, Displacement{
			Upstream: key.upstream, Incarnation: key.incarnation, Address: key.address, AgeMs: now.Sub(at).Milliseconds(),
		})
	}
	slices.SortFunc(told, func(a, b Displacement) int { return int(a.AgeMs - b.AgeMs) })
	return told[:min(len(told), maxTold)]
}

func (d *Displacements) prune(now time.Time) {
	for key, at := range d.at {
		if now.Sub(at) >= DisplacedTime {
			delete(d.at, key)
		}
	}
}
