package dissemination

import (
	"cmp"
	"slices"

	"agateswitch/core/fleet"
)

// ByCapacity returns routers in the order in which they take on work for the others: those with the
// fastest links first, then those with the most cores, and equal ones in the rendezvous order of key.
func ByCapacity(key string, routers []fleet.Host) []fleet.HostID {
	ordered := rendezvousOrder(key, routers)
	slices.SortStableFunc(ordered, func(a, b *fleet.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity.LinkMbps, a.Capacity.LinkMbps), cmp.Compare(b.Capacity.Cores, a.Capacity.Cores))
	})
	ids := make([]fleet.HostID, len(ordered))
	for i, host := range ordered {
		ids[i] = host.ID
	}
	return ids
}
