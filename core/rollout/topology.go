package rollout

import (
	"strconv"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the tree for evidence and of the gossip for rollbacks.
const (
	// maxChildren is how many routers report to one router.
	maxChildren = 8
	// ReportInterval is the minimum time between two reports of a router on one move. The tree of
	// 380 routers has three levels, so that evidence reaches the leader within 0.6 s.
	ReportInterval = 200 * time.Millisecond
	// GossipFanout is how many routers a router sends a rollback to in one round, and GossipRounds
	// the number of rounds. The probability that a reachable router gets no message is e^-18.
	GossipFanout = 6
	GossipRounds = 3
)

// Parent returns the router to which self reports the evidence of a move. Evidence is sent up a tree,
// so that no router receives reports of more than maxChildren others, however large the fleet is.
// The root leads the move and has no parent.
func Parent(id MoveID, self fleet.HostID, routers []fleet.Host) (parent fleet.HostID, isLeader bool) {
	order := rendezvous.Order("move/"+string(id), hostIDs(routers))
	for rank, name := range order {
		if name != string(self) {
			continue
		}
		if rank == 0 {
			return "", true
		}
		return fleet.HostID(order[(rank-1)/maxChildren]), false
	}
	// A leaving router is not in the order. It reports to the leader.
	if len(order) > 0 {
		return fleet.HostID(order[0]), false
	}
	return "", true
}

// GossipTargets returns the routers to which self sends a rollback in the given round.
func GossipTargets(id MoveID, self fleet.HostID, round int, routers []fleet.Host) []fleet.HostID {
	others := hostIDs(routers)
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

func hostIDs(routers []fleet.Host) []string {
	all := make([]string, 0, len(routers))
	for _, router := range routers {
		all = append(all, string(router.ID))
	}
	return all
}

// Fingerprint returns a hash of the set of routers, whatever their order. While it is the same,
// Parent's result for a move doesn't change and need not be computed again.
func Fingerprint(routers []fleet.Host) uint64 {
	var sum uint64
	for _, router := range routers {
		sum += xxhash.Sum64String(string(router.ID))
	}
	return sum
}

// Leader returns the router that leads a move.
func Leader(id MoveID, routers []fleet.Host) fleet.HostID {
	first, _ := rendezvous.First("move/"+string(id), hostIDs(routers))
	return fleet.HostID(first)
}
