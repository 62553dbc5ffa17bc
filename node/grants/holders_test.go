package grants

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// leaveLimit is what a leaving host may take, by the brief.
const leaveLimit = 5 * time.Second

// loseEntry kills a router and takes it off the list of all others.
func loseEntry(n *network, lost fleet.HostID) {
	n.set(func() {
		n.dead[lost] = true
		n.unlist(lost)
	})
}

// unlist takes a router off the list of all others. The caller holds the network's lock.
func (n *network) unlist(gone fleet.HostID) {
	var left []fleet.Host
	for id, node := range n.nodes {
		if id != gone {
			left = append(left, node.self)
		}
	}
	for _, node := range n.nodes {
		node.view.SetHosts(left, node.view.Upstreams(testPool))
	}
}

// Grants of a router that died stop to count within leaveLimit of the list's change, those
// that the owner gave and those that it adopted. Others' grants go on counting.
func TestGrantsOfALostRouterAreFreed(t *testing.T) {
	truth := newEngines()
	truth.mute = true
	inFleet(t, 3, testUpstreams(1), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		owner, entry := n.ownerOf("chat-1")
		// The entry router does not run: it sends nothing after its grants.
		for _, node := range n.nodes {
			if node != entry {
				run(node)
			}
		}
		acquire(t, entry, truth, "chat-1")
		acquire(t, owner, truth, "chat-2")
		must.NoError(t, entry.Call(t.Context(), owner.self.ID, methodAnnounce, announceMessage{
			Pool: string(testPool), Home: "engine-0", Held: []heldMessage{{Grant: "router-9-1-1", Upstream: "engine-0", Work: 1}},
		}, &empty{}))
		must.Eq(t, 3, runningAt(owner))
		loseEntry(n, entry.self.ID)
		lost := time.Now()
		for runningAt(owner) > 1 && time.Since(lost) < grantLife {
			time.Sleep(tickInterval)
		}
		t.Logf("grants of the lost router counted for %s", time.Since(lost))
		must.Less(t, leaveLimit, time.Since(lost))
		time.Sleep(leaveLimit)
		must.Eq(t, 1, runningAt(owner))
	})
}

// Neither a router that the list lacks for a moment nor one that the list lacks but that
// goes on sending is taken for lost.
func TestGrantsOfALivingRouterStay(t *testing.T) {
	truth := newEngines()
	truth.mute = true
	inFleet(t, 3, testUpstreams(1), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		owner, entry := n.ownerOf("chat-1")
		run(owner)
		acquire(t, entry, truth, "chat-1")
		listed := []fleet.Host{}
		for _, node := range n.nodes {
			listed = append(listed, node.self)
		}
		n.set(func() { n.unlist(entry.self.ID) })
		time.Sleep(3 * holderGrace / 4)
		n.set(func() { owner.view.SetHosts(listed, testUpstreams(1)) })
		time.Sleep(leaveLimit)
		must.Eq(t, 1, runningAt(owner))

		n.set(func() { n.unlist(entry.self.ID) })
		for range 10 {
			time.Sleep(holderGrace / 2)
			must.NoError(t, entry.Call(t.Context(), owner.self.ID, methodEnd, endMessage{}, &empty{}))
		}
		must.Eq(t, 1, runningAt(owner))
	})
}
