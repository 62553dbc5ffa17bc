// Package membership maintains a router's view of the fleet: the platform's host list, which
// lags behind, corrected by the router's own observations.
package membership

import (
	"slices"
	"sort"
	"time"

	"agateswitch/core/fleet"
)

// SuspectMin and SuspectMax bound the time for which a router is suspect after a failed
// exchange. The time doubles with each further failure.
const (
	SuspectMin = time.Second
	SuspectMax = 30 * time.Second
)

// View is one router's view of the fleet. It is not safe for concurrent use.
type View struct {
	self      fleet.Host
	routers   map[fleet.HostID]fleet.Host
	upstreams map[fleet.PoolID][]fleet.Upstream
	suspects  map[fleet.HostID]suspicion
	flaps     *FlapDetector

	routersGuard, upstreamsGuard ShrinkGuard
}

// suspicion is the time for which a router is suspect.
type suspicion struct {
	until    time.Time
	duration time.Duration
}

// NewView returns a view that contains only the router itself.
func NewView(self fleet.Host) *View {
	return &View{
		self:      self,
		routers:   map[fleet.HostID]fleet.Host{self.ID: self},
		upstreams: map[fleet.PoolID][]fleet.Upstream{},
		suspects:  map[fleet.HostID]suspicion{},
		flaps:     NewFlapDetector(),
	}
}

// SetHosts replaces the host list. The router itself always stays in the view.
func (v *View) SetHosts(routers []fleet.Host, upstreams []fleet.Upstream) {
	v.routers = map[fleet.HostID]fleet.Host{v.self.ID: v.self}
	for _, host := range routers {
		if host.ID != v.self.ID {
			v.routers[host.ID] = host
		}
	}
	v.upstreams = map[fleet.PoolID][]fleet.Upstream{}
	for _, upstream := range upstreams {
		v.upstreams[upstream.Pool] = append(v.upstreams[upstream.Pool], upstream)
	}
}

// Update describes how a new host list was applied.
type Update struct {
	// Kept is the number of members that are missing from the list but kept, because too many
	// are missing.
	Kept int
	// HeldDown lists the flapping upstreams that get no new work from now on, for a while.
	HeldDown []fleet.UpstreamID
}

// ApplyList applies a new host list. It keeps members that are missing from a list that lost
// too many of them, and holds down upstreams that flap.
func (v *View) ApplyList(now time.Time, routers []fleet.Host, upstreams []fleet.Upstream) Update {
	missingRouters := v.missingRouters(routers)
	missingUpstreams := v.missingUpstreams(upstreams)
	var update Update
	// The router itself stays in the view whatever the list contains, and so is not counted here.
	if !v.routersGuard.Accept(now, len(v.routers)-1, len(missingRouters), len(routers)) {
		routers = append(slices.Clone(routers), missingRouters...)
		update.Kept += len(missingRouters)
	}
	if !v.upstreamsGuard.Accept(now, v.upstreamCount(), len(missingUpstreams), len(upstreams)) {
		upstreams = append(slices.Clone(upstreams), missingUpstreams...)
		update.Kept += len(missingUpstreams)
	}
	update.HeldDown = v.flaps.Observe(now, upstreams)
	v.SetHosts(routers, upstreams)
	return update
}

func (v *View) missingRouters(listed []fleet.Host) []fleet.Host {
	present := map[fleet.HostID]bool{v.self.ID: true}
	for _, host := range listed {
		present[host.ID] = true
	}
	var missing []fleet.Host
	for id, host := range v.routers {
		if !present[id] {
			missing = append(missing, host)
		}
	}
	return missing
}

func (v *View) missingUpstreams(listed []fleet.Upstream) []fleet.Upstream {
	present := map[fleet.UpstreamID]bool{}
	for _, upstream := range listed {
		present[upstream.ID] = true
	}
	var missing []fleet.Upstream
	for _, pool := range v.upstreams {
		for _, upstream := range pool {
			if !present[upstream.ID] {
				missing = append(missing, upstream)
			}
		}
	}
	return missing
}

func (v *View) upstreamCount() int {
	count := 0
	for _, pool := range v.upstreams {
		count += len(pool)
	}
	return count
}

// IsHeldDown reports whether an upstream gets no new work because it flaps.
func (v *View) IsHeldDown(now time.Time, id fleet.UpstreamID) bool {
	return v.flaps.IsHeldDown(now, id)
}

// SetSelfState sets the router's own state, which the host list may not show yet.
func (v *View) SetSelfState(state fleet.LifeState) {
	v.self.State = state
	v.routers[v.self.ID] = v.self
}

// Suspect records a failed exchange with a router.
func (v *View) Suspect(now time.Time, id fleet.HostID) {
	if id == v.self.ID {
		return
	}
	previous := v.suspects[id]
	if now.Before(previous.until) {
		return
	}
	duration := min(max(2*previous.duration, SuspectMin), SuspectMax)
	v.suspects[id] = suspicion{until: now.Add(duration), duration: duration}
}

// Confirm records a successful exchange with a router.
func (v *View) Confirm(id fleet.HostID) {
	delete(v.suspects, id)
}

// Routers returns the routers that are live and not suspect, in id order.
func (v *View) Routers(now time.Time) []fleet.Host {
	var alive []fleet.Host
	for id, host := range v.routers {
		if host.State == fleet.Live && !now.Before(v.suspects[id].until) {
			alive = append(alive, host)
		}
	}
	sort.Slice(alive, func(i, j int) bool { return alive[i].ID < alive[j].ID })
	return alive
}

// Router returns a router of the view by its id.
func (v *View) Router(id fleet.HostID) (fleet.Host, bool) {
	host, found := v.routers[id]
	return host, found
}

// Upstreams returns the upstreams of a pool.
func (v *View) Upstreams(pool fleet.PoolID) []fleet.Upstream {
	return v.upstreams[pool]
}
