package dissemination

import (
	"slices"

	"agateswitch/core/fleet"
)

// Sizes for the publication of load values, which change with each request.
const (
	// MaxDirectFleetSize is the size of the largest fleet whose routers publish to each other
	// directly. The number of messages grows with the square of the fleet's size.
	MaxDirectFleetSize = 16
	// RelayGroupSize is how many routers of a data centre one relay serves. In the users' largest
	// installation a relay receives from about a dozen routers and nine relays.
	RelayGroupSize = 10
)

// relayKey is the rendezvous key by which relays are chosen among hosts of equal capacity.
const relayKey = "relay"

// RelayPlan states whether a router is a relay, and which relays it sends to.
type RelayPlan struct {
	// Direct is true in a small fleet, where every router is a relay.
	Direct bool
	// Others lists the relays that a relay publishes to. It is nil on a router that is no relay.
	Others []fleet.HostID
	// Near lists the relays of the router's data centre in order of preference. It is nil on a
	// relay.
	Near []fleet.HostID
}

// IsRelay reports whether the router is a relay itself.
func (p RelayPlan) IsRelay() bool { return p.Near == nil }

// PlanRelays returns the relay plan of a router. Every router of a small fleet is a relay. Only
// the freshness of load values depends on the plan, so the routers' lists may differ.
func PlanRelays(routers []fleet.Host, self fleet.Host) RelayPlan {
	small := len(routers) <= MaxDirectFleetSize
	inDataCentre := map[fleet.DataCentre][]fleet.Host{}
	for _, router := range routers {
		inDataCentre[router.DataCentre] = append(inDataCentre[router.DataCentre], router)
	}
	var others, near []fleet.HostID
	isRelay := small
	for dataCentre, hosts := range inDataCentre {
		members, relays := ByCapacity(relayKey, hosts), len(hosts)
		if !small {
			relays = (len(members) + RelayGroupSize - 1) / RelayGroupSize
		}
		ownIndex := max(0, slices.Index(members, self.ID))
		for i, relay := range members[:relays] {
			if relay == self.ID {
				isRelay = true
				continue
			}
			others = append(others, relay)
			if dataCentre == self.DataCentre {
				// Relays are assigned to members in turn, so that the groups have equal sizes.
				near = append(near, members[(ownIndex+i)%relays])
			}
		}
	}
	if isRelay {
		return RelayPlan{Direct: small, Others: others}
	}
	return RelayPlan{Near: near}
}
