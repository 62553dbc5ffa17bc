package membership

import (
	"sort"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// EntryOrder returns the routers that a caller should use, best first: those of the
// caller's data centre before the others, each group in the key's rendezvous order, so
// that callers spread evenly and a chat keeps its entry.
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

// WithoutOut leaves out the routers of data centres that are taken out. When that would
// leave nobody, it keeps all: a caller without any address could not even be refused.
func WithoutOut(routers []fleet.Host, isOut func(fleet.DataCentre) bool) []fleet.Host {
	var left []fleet.Host
	for _, host := range routers {
		if !isOut(host.DataCentre) {
			left = append(left, host)
		}
	}
	if len(left) == 0 {
		return routers
	}
	return left
}
