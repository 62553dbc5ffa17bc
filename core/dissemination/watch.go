package dissemination

import (
	"slices"

	"agateswitch/core/fleet"
)

// Sizes for the watch of the store. A watch takes two calls a second to the store, whose price grows with
// the calls, and a pull some 100 bytes and a few hundredths of a millisecond from another router.
const (
	// WatcherGroupSize is how many routers of a data centre pull from one of them.
	WatcherGroupSize = 15
	// watchersPerRoot is how many of these pull from one that watches the store itself.
	watchersPerRoot = 8
	// minRoots is how many routers of a large fleet watch the store at least.
	minRoots = 2
)

// Rendezvous keys by which watchers are chosen among hosts of equal capacity.
const (
	watcherKey = "store watcher"
	rootKey    = "store root"
)

// PlanWatch returns the routers of which a router pulls the changes of the store from one. An empty list
// means that it watches the store itself. In a small fleet all do. In a large one the members of each data
// centre pull from a few of it, and those pull from a few of the whole fleet, which watch the store: the
// calls to it then hardly grow with the fleet or with its data centres.
func PlanWatch(routers []fleet.Host, self fleet.Host) []fleet.HostID {
	if len(routers) <= MaxDirectFleetSize {
		return nil
	}
	inDataCentre := map[fleet.DataCentre][]fleet.Host{}
	for _, router := range routers {
		inDataCentre[router.DataCentre] = append(inDataCentre[router.DataCentre], router)
	}
	near := watchersOf(inDataCentre[self.DataCentre])
	if len(near) > 0 && !slices.Contains(near, self.ID) {
		return near
	}
	var watchers []fleet.Host
	for _, members := range inDataCentre {
		chosen := watchersOf(members)
		for _, member := range members {
			if slices.Contains(chosen, member.ID) {
				watchers = append(watchers, member)
			}
		}
	}
	roots := ByCapacity(rootKey, watchers)
	roots = roots[:min(len(roots), max(minRoots, groups(len(roots), watchersPerRoot)))]
	if slices.Contains(roots, self.ID) {
		return nil
	}
	return roots
}

// watchersOf returns the routers of a data centre from which its other members pull.
func watchersOf(members []fleet.Host) []fleet.HostID {
	order := ByCapacity(watcherKey, members)
	return order[:groups(len(order), WatcherGroupSize)]
}

// groups returns how many groups of a size members make.
func groups(members, size int) int { return (members + size - 1) / size }
