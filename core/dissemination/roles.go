// Package dissemination decides how a change of configuration reaches every router:
// which routers watch the key-value service, and with which peers a router exchanges
// digests. The cost for one router does not grow with the fleet. The package also plans the
// relays through which large fleets publish load values.
package dissemination

import (
	"cmp"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/cespare/xxhash/v2"
)

// Numbers of routers.
const (
	// MinWatchers is how many routers watch the key-value service while it responds.
	MinWatchers = 3
	// MaxWatchers is how many routers watch at most while the service does not respond.
	MaxWatchers = 9
	// NeighbourCount is the number of peers with which a router exchanges digests in turn.
	NeighbourCount = 6
	// PushFanOut is the number of neighbours to which a router pushes a change.
	PushFanOut = 4
)

// Intervals and timeouts of watches and exchanges.
const (
	// ExchangeInterval is the time between two exchanges that a router starts.
	ExchangeInterval = time.Second
	// HeadReadInterval is the time between a watcher's reads of the head, which detect a
	// stalled watch.
	HeadReadInterval = 2 * time.Second
	// StaleTimeout is the age of the last confirmation by the service above which one more
	// router begins to watch. Another one follows after each ExtraWatcherInterval.
	StaleTimeout         = 5 * time.Second
	ExtraWatcherInterval = time.Second
)

// Rendezvous keys.
const (
	watchKey     = "configuration/watch"
	neighbourKey = "configuration/neighbour/"
)

// WatcherCount returns how many routers watch when staleness has elapsed since the key-value
// service last confirmed the head.
func WatcherCount(staleness time.Duration) int {
	if staleness <= StaleTimeout {
		return MinWatchers
	}
	extra := 1 + int(min((staleness-StaleTimeout)/ExtraWatcherInterval, MaxWatchers))
	return min(MinWatchers+extra, MaxWatchers)
}

// WatcherRanking returns the first count routers in the order in which they take over the
// watch: rendezvous order, but a second router of a data centre is ranked only after one of
// every other data centre, and so on.
func WatcherRanking(routers []fleet.Host, count int) []fleet.HostID {
	ordered := rendezvousOrder(watchKey, routers)
	var chosen []fleet.HostID
	for len(ordered) > 0 && len(chosen) < count {
		used := map[fleet.DataCentre]bool{}
		var deferred []*fleet.Host
		for _, host := range ordered {
			if used[host.DataCentre] {
				deferred = append(deferred, host)
				continue
			}
			used[host.DataCentre] = true
			chosen = append(chosen, host.ID)
		}
		ordered = deferred
	}
	return chosen[:min(count, len(chosen))]
}

// rendezvousOrder returns the routers in the key's rendezvous order and leaves its argument
// unchanged.
func rendezvousOrder(key string, routers []fleet.Host) []*fleet.Host {
	type scored struct {
		score uint64
		host  *fleet.Host
	}
	scores := make([]scored, len(routers))
	keyHash := xxhash.Sum64String(key)
	for i := range routers {
		nodeHash := xxhash.Sum64String(string(routers[i].ID))
		scores[i] = scored{score: rendezvous.Mix(keyHash, nodeHash), host: &routers[i]}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.host.ID, b.host.ID)
	})
	ordered := make([]*fleet.Host, len(routers))
	for i, scored := range scores {
		ordered[i] = scored.host
	}
	return ordered
}

// NeighboursOf returns the peers with which a router exchanges digests, best first. A
// router that fails is replaced by the next in the order; the others stay.
func NeighboursOf(self fleet.HostID, routers []fleet.Host) []fleet.HostID {
	var neighbours []fleet.HostID
	for _, host := range rendezvousOrder(neighbourKey+string(self), routers) {
		if host.ID != self && len(neighbours) < NeighbourCount {
			neighbours = append(neighbours, host.ID)
		}
	}
	return neighbours
}

// ExchangePartner returns the peer for a round. Routers that may take over the watch query the
// watchers themselves in every other round, so that they detect the failure of a watcher
// at once. All others use their neighbours in turn.
func ExchangePartner(self fleet.HostID, routers []fleet.Host, round int) (fleet.HostID, bool) {
	ranking := WatcherRanking(routers, MaxWatchers)
	rank := slices.Index(ranking, self)
	if rank >= 0 && round%2 == 0 && len(ranking) > 1 {
		watchers := slices.DeleteFunc(ranking[:min(MinWatchers, len(ranking))], func(id fleet.HostID) bool { return id == self })
		if len(watchers) > 0 {
			return watchers[(round/2)%len(watchers)], true
		}
	}
	neighbours := NeighboursOf(self, routers)
	if len(neighbours) == 0 {
		return "", false
	}
	return neighbours[round%len(neighbours)], true
}

// Split divides hosts into at most maxGroups groups of nearly equal size.
func Split(hosts []fleet.HostID, maxGroups int) [][]fleet.HostID {
	var groups [][]fleet.HostID
	for i := range maxGroups {
		from, to := i*len(hosts)/maxGroups, (i+1)*len(hosts)/maxGroups
		if from < to {
			groups = append(groups, hosts[from:to])
		}
	}
	return groups
}
