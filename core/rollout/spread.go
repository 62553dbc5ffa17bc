package rollout

import (
	"strconv"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/cespare/xxhash/v2"
)

// Spread of evidence and rollbacks among routers.
const (
	// treeWidth is how many routers report to one.
	treeWidth = 8
	// ReportInterval is the least time between two reports of a router on one move. A fleet
	// of 380 routers has three levels, so that evidence is at the leader within 0.6 s.
	ReportInterval = 200 * time.Millisecond
	// GossipFanout is how many routers a router tells of a rollback in one round, and
	// GossipRounds how many rounds it does so. A router that can be reached is missed by
	// all with a probability of e^-18.
	GossipFanout = 6
	GossipRounds = 3
)

// Parent returns the router to which self reports the evidence of a move. Evidence goes
// up a tree, so that no router hears more than eight others, however large the fleet is.
// The root leads the move; it has no parent.
func Parent(id MoveID, self fleet.HostID, routers []fleet.Host) (parent fleet.HostID, isLeader bool) {
	order := rendezvous.Order("move/"+string(id), names(routers))
	for rank, name := range order {
		if name != string(self) {
			continue
		}
		if rank == 0 {
			return "", true
		}
		return fleet.HostID(order[(rank-1)/treeWidth]), false
	}
	// A router that is leaving is not in the order: it reports to the leader.
	if len(order) > 0 {
		return fleet.HostID(order[0]), false
	}
	return "", true
}

// Listeners returns the routers that self tells of a rollback in a round.
func Listeners(id MoveID, self fleet.HostID, round int, routers []fleet.Host) []fleet.HostID {
	others := names(routers)
	for i, name := range others {
		if name == string(self) {
			others = append(others[:i], others[i+1:]...)
			break
		}
	}
	order := rendezvous.Order("gossip/"+string(id)+"/"+string(self)+"/"+strconv.Itoa(round), others)
	chosen := make([]fleet.HostID, 0, GossipFanout)
	for _, name := range order[:min(GossipFanout, len(order))] {
		chosen = append(chosen, fleet.HostID(name))
	}
	return chosen
}

func names(routers []fleet.Host) []string {
	all := make([]string, 0, len(routers))
	for _, router := range routers {
		all = append(all, string(router.ID))
	}
	return all
}

// Fingerprint returns a number that changes when the set of routers does, whatever their
// order, so that a place in a tree need not be computed again while it stays the same.
func Fingerprint(routers []fleet.Host) uint64 {
	var sum uint64
	for _, router := range routers {
		sum += xxhash.Sum64String(string(router.ID))
	}
	return sum
}

// Leader returns the router that decides about a move.
func Leader(id MoveID, routers []fleet.Host) fleet.HostID {
	first, _ := rendezvous.First("move/"+string(id), names(routers))
	return fleet.HostID(first)
}
