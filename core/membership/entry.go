package membership

import (
	"sort"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// EntryOrder returns the routers that a caller should use, best first: those of the
// caller's data centre before the others, each group in the key's rendezvous order. Callers
// are thus distributed evenly, and a chat keeps its entry host.
func EntryOrder(key string, near fleet.DataCentre, routers []fleet.Host) []fleet.Host {
	ordered := append([]fleet.Host(nil), routers...)
	sort.SliceStable(ordered, func(i, j int) bool {
		leftNear := ordered[i].DataCentre == near
		rightNear := ordered[j].DataCentre == near
		if leftNear != rightNear {
			return leftNear
		}
		left := rendezvous.Score(key, string(ordered[i].ID))
		right := rendezvous.Score(key, string(ordered[j].ID))
		return left > right
	})
	return ordered
}

// ExcludeOutOfService returns the routers without those whose data centre is taken out. If
// none remains it returns all of them: a caller without any address can't even be refused.
func ExcludeOutOfService(routers []fleet.Host, isOut func(fleet.DataCentre) bool) []fleet.Host {
	var inService []fleet.Host
	for _, host := range routers {
		if !isOut(host.DataCentre) {
			inService = append(inService, host)
		}
	}
	if len(inService) == 0 {
		return routers
	}
	return inService
}
