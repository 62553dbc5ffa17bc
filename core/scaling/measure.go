// Package scaling decides how many engines of a pool to order in a data centre. It answers loads that last longer than an
// engine takes to start: steps up and down, a daily wave, a data centre that is taken out, engines that are lost. Surges that are
// shorter have to fit into the slots that are kept free.
package scaling

import (
	"time"

	"agateswitch/core/fleet"
)

// What one engine takes without delaying its callers.
const (
	// comfortableShare is the share of an engine's slots that are in use. The rest is for surges shorter than the boot time.
	comfortableShare = 0.5
	// ComfortablePending is the number of prompt tokens that an engine has to read. Reading them takes 80 ms, a quarter of
	// the shortest target latency.
	ComfortablePending = 4096
	// crowdedFactor times the engines that can work is the need above which callers are soon refused.
	crowdedFactor = 1.5
)

// Limits bounds the number of engines of a pool in each data centre.
type Limits struct {
	Min, Max int
	// Boot is the time from an order to the first request of a new engine.
	Boot time.Duration
}

// Clamp returns the number within the limits that is nearest to engines.
func (l Limits) Clamp(engines int) int { return max(l.Min, min(engines, l.Max)) }

// Engine is an engine of a pool as a router knows it.
type Engine struct {
	DataCentre fleet.DataCentre
	// Running is the number of requests that it holds, and Pending the prompt tokens that it has to read for them.
	Running, Pending int
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Leaving is true if it accepts no more requests, and Unable if it can't serve any now.
	Leaving, Unable bool
	// Restricted is true if it has stated a limit on its requests.
	Restricted bool
	// ColdFor is how long it remains cold.
	ColdFor time.Duration
}

// Supply is what a data centre has.
type Supply struct {
	// Listed is the number of engines that do not leave.
	Listed int
	// Able is how many sound engines they are worth.
	Able float64
	// Out is true if the data centre is taken out of service.
	Out bool
}

// Pool is the demand on a pool and its supply by data centre.
type Pool struct {
	Running, Pending int
	// Need is the number of sound engines that the demand needs.
	Need   float64
	Supply map[fleet.DataCentre]Supply
}

// Measure adds up the engines of a pool. Cold engines count if they are warm after ready, the time after which an engine
// ordered now would be. Places lists the data centres of the pool; one without engines has no other entry.
func Measure(engines []Engine, places map[fleet.DataCentre]bool, ready time.Duration) Pool {
	pool := Pool{Supply: map[fleet.DataCentre]Supply{}}
	for dataCentre, out := range places {
		pool.Supply[dataCentre] = Supply{Out: out}
	}
	usual := usualLoad(engines)
	slots, listed := 0, 0
	for _, e := range engines {
		pool.Running += e.Running
		pool.Pending += e.Pending
		if e.Leaving {
			continue
		}
		slots, listed = slots+e.Slots, listed+1
		supply := pool.Supply[e.DataCentre]
		supply.Listed++
		supply.Able += ability(e, usual, ready)
		pool.Supply[e.DataCentre] = supply
	}
	if slots > 0 {
		pool.Need = float64(pool.Running) * float64(listed) / (float64(slots) * comfortableShare)
	}
	pool.Need = max(pool.Need, float64(pool.Pending)/ComfortablePending)
	return pool
}

// usualLoad returns the mean number of requests that sound engines hold.
func usualLoad(engines []Engine) float64 {
	running, count := 0, 0
	for _, e := range engines {
		if !e.Leaving && !e.Unable && !e.Restricted && e.ColdFor <= 0 {
			running, count = running+e.Running, count+1
		}
	}
	return float64(running) / float64(max(1, count))
}

// ability returns how many sound engines an engine is worth, from 0 to 1.
func ability(e Engine, usual float64, ready time.Duration) float64 {
	switch {
	case e.Unable || e.ColdFor > ready:
		return 0
	case e.Restricted && usual > 0:
		return min(1, float64(e.Running)/usual)
	}
	return 1
}

// IsCrowded reports whether the engines that can work are nearly full.
func (p Pool) IsCrowded() bool {
	able := 0.0
	for _, supply := range p.Supply {
		if !supply.Out {
			able += supply.Able
		}
	}
	return p.Need > crowdedFactor*able
}

// PartOf returns the part of the pool's need that falls to a data centre: an equal part of what data centres in use need, and of what
// others can't serve because they have lost engines below the minimum.
func (p Pool) PartOf(here fleet.DataCentre, limits Limits) float64 {
	if p.Supply[here].Out {
		return 0
	}
	inUse := 0
	for _, supply := range p.Supply {
		if !supply.Out {
			inUse++
		}
	}
	part := p.Need / float64(max(1, inUse))
	total := part
	for dataCentre, supply := range p.Supply {
		if dataCentre != here && !supply.Out {
			total += max(0, min(part, float64(limits.Min))-supply.Able) / float64(max(1, inUse-1))
		}
	}
	return total
}
