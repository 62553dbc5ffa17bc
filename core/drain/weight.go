// Package drain computes how much new work a data centre gets while it is taken out and while it
// returns.
package drain

import (
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// RampStartWeight is the weight of a data centre at the start of the ramp after its return.
const RampStartWeight = 0.05

// Weight returns the weight of a data centre's upstreams, from 0 (no new work) to 1. After a
// return it grows linearly over the ramp. The ramp starts at the time of the configuration
// change, so the routers' weights differ only by the difference of their clocks.
func Weight(dataCentre configuration.DataCentre, now time.Time) float64 {
	if dataCentre.Out {
		return 0
	}
	if dataCentre.ChangedMillis == 0 {
		return 1
	}
	ramp := time.Duration(dataCentre.RampSeconds) * time.Second
	if ramp == 0 {
		ramp = configuration.DefaultRampSeconds * time.Second
	}
	elapsed := now.Sub(time.UnixMilli(dataCentre.ChangedMillis))
	progress := min(max(float64(elapsed)/float64(ramp), 0), 1)
	return RampStartWeight + (1-RampStartWeight)*progress
}

// Change returns the new configuration of a data centre. Setting the state that it already has
// keeps the time of the last change, and therefore does not restart the ramp.
func Change(before configuration.DataCentre, out bool, rampSeconds int, now time.Time) configuration.DataCentre {
	after := before
	after.Out = out
	if rampSeconds > 0 {
		after.RampSeconds = rampSeconds
	}
	if before.Out != out {
		after.ChangedMillis = now.UnixMilli()
	}
	return after
}

// Effect describes how taking a data centre out affects one pool.
type Effect struct {
	Pool fleet.PoolID `json:"pool"`
	// Leaving is the number of upstreams in the data centre, out of Total upstreams in use.
	Leaving int `json:"leaving"`
	Total   int `json:"total"`
	// BoundPercent is the resulting mean load of the remaining upstreams, in percent of the
	// current bound. 100 or more means that they are at the bound. Zero means that no upstream
	// remains.
	BoundPercent float64 `json:"bound_percent"`
}

// EffectOn computes the effect on a pool from the upstreams that are in use.
func EffectOn(pool configuration.Pool, usable []fleet.Upstream, dataCentre fleet.DataCentre) Effect {
	effect := Effect{Pool: pool.Name, Total: len(usable)}
	for _, upstream := range usable {
		if upstream.DataCentre == dataCentre {
			effect.Leaving++
		}
	}
	if remaining := effect.Total - effect.Leaving; remaining > 0 {
		// The remaining upstreams take over all load: their mean grows by total/remaining.
		effect.BoundPercent = 100 * float64(effect.Total) / float64(remaining) / pool.BoundFactor
	}
	return effect
}

// IsLastInService reports whether no data centre except the given one is in service.
func IsLastInService(dataCentre fleet.DataCentre, dataCentres []fleet.DataCentre, current *configuration.Snapshot) bool {
	for _, other := range dataCentres {
		if other != dataCentre && !current.IsOut(other) {
			return false
		}
	}
	return true
}
