package dissemination

import (
	"slices"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// Sizes of the spreading of figures that change with each request.
const (
	// DirectFleet is the largest fleet whose routers tell each other directly. The messages of a
	// larger one would grow with its square.
	DirectFleet = 16
	// RelayGroup is how many routers of a data centre one relay serves. At the users' largest
	// installation a relay then hears a dozen routers and nine relays.
	RelayGroup = 10
)

const relayKey = "relay"

// Relays is a router's place among the relays.
type Relays struct {
	// Direct is true in a small fleet, where every router is a relay.
	Direct bool
	// Others are the relays that a relay tells. Nil on a router that is none.
	Others []fleet.HostID
	// Near are the relays of the router's data centre in the order in which it turns to them.
	// Nil on a relay.
	Near []fleet.HostID
}

// IsRelay tells whether the router is a relay itself.
func (r Relays) IsRelay() bool { return r.Near == nil }

// PlanRelays finds the place of a router. Every router of a small fleet is a relay. Nothing but the
// freshness of figures depends on it, so that routers need not agree on the list.
func PlanRelays(routers []fleet.Host, self fleet.Host) Relays {
	small := len(routers) <= DirectFleet
	inDataCentre := map[fleet.DataCentre][]string{}
	for _, router := range routers {
		inDataCentre[router.DataCentre] = append(inDataCentre[router.DataCentre], string(router.ID))
	}
	var others, near []fleet.HostID
	isRelay := small
	for place, members := range inDataCentre {
		relays := len(members)
		if !small {
			members = rendezvous.Order(relayKey, members)
			relays = (len(members) + RelayGroup - 1) / RelayGroup
		}
		own := max(0, slices.Index(members, string(self.ID)))
		for i, relay := range members[:relays] {
			if relay == string(self.ID) {
				isRelay = true
				continue
			}
			others = append(others, fleet.HostID(relay))
			if place == self.DataCentre {
				// Dealt in turn, so that groups are of one size.
				near = append(near, fleet.HostID(members[(own+i)%relays]))
			}
		}
	}
	if isRelay {
		return Relays{Direct: small, Others: others}
	}
	return Relays{Near: near}
}
