package placement

import (
	"time"

	"agateswitch/core/fleet"
)

// Holders adds the routers that hold grants of the shard to a set.
func (o *Owner) Holders(into map[fleet.HostID]bool) {
	for _, grant := range o.grants {
		into[grant.holder] = true
	}
}

// Free ends the grants of a router that is lost, and returns how many there were. Their
// requests ended with the router's connections.
func (o *Owner) Free(now time.Time, holder fleet.HostID) int {
	o.observe(now)
	freed := 0
	for id, grant := range o.grants {
		if grant.holder == holder {
			o.drop(id, grant)
			freed++
		}
	}
	o.dispatch(now)
	return freed
}
