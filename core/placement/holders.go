package placement

import (
	"time"

	"agateswitch/core/fleet"
)

// CollectHolders adds the routers that hold grants of the shard to a set.
func (o *Owner) CollectHolders(into map[fleet.HostID]bool) {
	for _, grant := range o.grants {
		into[grant.holder] = true
	}
}

// ReleaseGrants ends the grants of a lost router and returns their number. The requests ended
// when the router's connections closed.
func (o *Owner) ReleaseGrants(now time.Time, holder fleet.HostID) int {
	o.detectPause(now)
	released := 0
	for id, grant := range o.grants {
		if grant.holder == holder {
			o.endGrant(id, grant)
			released++
		}
	}
	o.dispatch(now)
	return released
}
