// Package drain decides how much new work a data centre takes while it leaves and returns.
package drain

import (
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// StartWeight is the weight with which a data centre begins to come back.
const StartWeight = 0.05

// Weight returns the weight of a data centre's upstreams, from 0 (takes no new work) to 1.
// After a return it grows evenly over the ramp, counted from the configuration change, so
// that routers disagree by no more than their clocks.
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
	return StartWeight + (1-StartWeight)*progress
}

// Change returns the new configuration of a data centre. A change to the state that it
// already has keeps the time of the last change, and so does not start the ramp again.
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

// Effect tells what taking a data centre out does to one pool.
type Effect struct {
	Pool fleet.PoolID `json:"pool"`
	// Leaving of Total upstreams in use are in the data centre.
	Leaving int `json:"leaving"`
	Total   int `json:"total"`
	// BoundPercent is what the mean load of the rest becomes, in percent of the bound that
	// holds now. 100 or more means that the rest is at its bound. Zero: nothing is left.
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
	if left := effect.Total - effect.Leaving; left > 0 {
		// The rest takes over all load: its mean grows by total/left.
		effect.BoundPercent = 100 * float64(effect.Total) / float64(left) / pool.BoundFactor
	}
	return effect
}

// IsLastIn tells whether no known data centre would be in without this one.
func IsLastIn(dataCentre fleet.DataCentre, known []fleet.DataCentre, current *configuration.Snapshot) bool {
	for _, other := range known {
		if other != dataCentre && !current.IsOut(other) {
			return false
		}
	}
	return true
}
