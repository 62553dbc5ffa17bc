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
	// RelayGroupSize is how many routers of a data centre one relay serves.
	RelayGroupSize = 10
	// LargeRelayGroupSize is the same for a relay on a host with a link of at least largeRelayMbps. The
	// messages between relays grow with the square of their number.
	LargeRelayGroupSize = 20
	largeRelayMbps      = 100
)

// relayKey is the rendezvous key by which relays are chosen among hosts of equal capacity.
const relayKey = "relay"

// RelayPlan states whether a router is a relay, and which relays it sends to.
type RelayPlan struct {
	// Direct is true in a small fleet, where every router is a relay.
	Direct bool
	// Others lists the other relays, to which a relay publishes.
	Others []fleet.HostID
	// Near lists the relays of the router's data centre in order of preference. It is nil on a
	// relay.
	Near []fleet.HostID
	// Members lists the routers that prefer a relay.
	Members []fleet.HostID
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
	var others, near, served []fleet.HostID
	isRelay := small
	for dataCentre, hosts := range inDataCentre {
		members := ByCapacity(relayKey, hosts)
		relays := members
		if !small {
			relays = members[:relayCount(hosts, members)]
		}
		isRelay = isRelay || slices.Contains(relays, self.ID)
		for _, relay := range relays {
			if relay != self.ID {
				others = append(others, relay)
			}
		}
		if dataCentre == self.DataCentre {
			seats := relaySeats(hosts, relays)
			near = nearRelays(seats, relays, max(0, slices.Index(members, self.ID)))
			for i := len(relays); i < len(members); i++ {
				if nearRelays(seats, relays, i)[0] == self.ID {
					served = append(served, members[i])
				}
			}
		}
	}
	if isRelay {
		return RelayPlan{Direct: small, Others: others, Members: served}
	}
	return RelayPlan{Near: near, Others: others}
}

// relayCount returns how many of a data centre's routers, in the order of members, serve all of them.
func relayCount(hosts []fleet.Host, members []fleet.HostID) int {
	count, served := 0, 0
	for served < len(members) {
		served += relayGroupSize(hosts, members[count])
		count++
	}
	return count
}

// relayGroupSize returns how many routers a router serves as a relay.
func relayGroupSize(hosts []fleet.Host, relay fleet.HostID) int {
	at := slices.IndexFunc(hosts, func(host fleet.Host) bool { return host.ID == relay })
	if hosts[at].Capacity.LinkMbps >= largeRelayMbps {
		return LargeRelayGroupSize
	}
	return RelayGroupSize
}

// relaySeats returns which relays the members of a data centre use first, in turn, so that the groups have the sizes that the relays can
// bear.
func relaySeats(hosts []fleet.Host, relays []fleet.HostID) (seats []int) {
	for round := range LargeRelayGroupSize {
		for i, relay := range relays {
			if round < relayGroupSize(hosts, relay) {
				seats = append(seats, i)
			}
		}
	}
	return seats
}

// nearRelays returns the relays in the order in which a member uses them.
func nearRelays(seats []int, relays []fleet.HostID, member int) []fleet.HostID {
	if len(seats) == 0 {
		return nil
	}
	first := seats[member%len(seats)]
	return append(slices.Clone(relays[first:]), relays[:first]...)
}
