// Package dissemination decides how a change of configuration reaches every router:
// which routers watch the key-value service, and with which peers a router exchanges
// digests. No number here grows with the fleet.
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
	// Watchers is how many routers watch the key-value service.
	Watchers = 3
	// MaxWatchers bounds how many watch while nothing is heard of the service.
	MaxWatchers = 9
	// Neighbours is with how many peers a router exchanges digests in turn.
	Neighbours = 6
	// PushFanOut is to how many neighbours a router pushes a change.
	PushFanOut = 4
)

// Times of the exchange.
const (
	// ExchangeInterval is the time between two exchanges that a router starts.
	ExchangeInterval = time.Second
	// HeadInterval is the time between a watcher's readings of the head, which find out a
	// watch that has gone silent.
	HeadInterval = 2 * time.Second
	// StaleAfter is the age of the last confirmation by the service above which one more
	// router begins to watch, and then one more each StaleStep.
	StaleAfter = 5 * time.Second
	StaleStep  = time.Second
)

const (
	watchKey     = "configuration/watch"
	neighbourKey = "configuration/neighbour/"
)

// WatcherCount returns how many routers are to watch when the key-value service last
// confirmed the head so long ago.
func WatcherCount(staleness time.Duration) int {
	if staleness <= StaleAfter {
		return Watchers
	}
	more := 1 + int(min((staleness-StaleAfter)/StaleStep, MaxWatchers))
	return min(Watchers+more, MaxWatchers)
}

// Ranking returns the first count routers in the order in which they take over the
// watch: rendezvous order, but a data centre comes again only after all others.
func Ranking(routers []fleet.Host, count int) []fleet.HostID {
	ordered := ranked(watchKey, routers)
	var chosen []fleet.HostID
	for len(ordered) > 0 && len(chosen) < count {
		used := map[fleet.DataCentre]bool{}
		var later []*fleet.Host
		for _, host := range ordered {
			if used[host.DataCentre] {
				later = append(later, host)
				continue
			}
			used[host.DataCentre] = true
			chosen = append(chosen, host.ID)
		}
		ordered = later
	}
	return chosen[:min(count, len(chosen))]
}

// ranked returns the routers in rendezvous order, without changing the argument.
func ranked(key string, routers []fleet.Host) []*fleet.Host {
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
// router that dies is replaced by the next in the order; the others stay.
func NeighboursOf(self fleet.HostID, routers []fleet.Host) []fleet.HostID {
	var neighbours []fleet.HostID
	for _, host := range ranked(neighbourKey+string(self), routers) {
		if host.ID != self && len(neighbours) < Neighbours {
			neighbours = append(neighbours, host.ID)
		}
	}
	return neighbours
}

// ExchangePartner returns the peer of a round. Routers that would take over the watch ask
// the watchers themselves in every other round, so that they learn of a watcher's end at
// once; all others take their neighbours in turn.
func ExchangePartner(self fleet.HostID, routers []fleet.Host, round int) (fleet.HostID, bool) {
	ranking := Ranking(routers, MaxWatchers)
	rank := slices.Index(ranking, self)
	if rank >= 0 && round%2 == 0 && len(ranking) > 1 {
		watchers := slices.DeleteFunc(ranking[:min(Watchers, len(ranking))], func(id fleet.HostID) bool { return id == self })
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

// Split cuts hosts into at most parts groups of nearly equal size.
func Split(hosts []fleet.HostID, parts int) [][]fleet.HostID {
	var groups [][]fleet.HostID
	for i := range parts {
		from, to := i*len(hosts)/parts, (i+1)*len(hosts)/parts
		if from < to {
			groups = append(groups, hosts[from:to])
		}
	}
	return groups
}
