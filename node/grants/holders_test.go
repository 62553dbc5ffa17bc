package grants

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// departureLimit is the maximum time in which the fleet is required to stop counting a departed
// host.
const departureLimit = 5 * time.Second

// killRouter kills a router and removes it from the host lists of all others.
func killRouter(n *network, lost fleet.HostID) {
	n.set(func() {
		n.dead[lost] = true
		n.unlist(lost)
	})
}

// unlist removes a router from the host lists of all routers. The caller holds the network's lock.
func (n *network) unlist(removed fleet.HostID) {
	var remaining []fleet.Host
	for id, node := range n.nodes {
		if id != removed {
			remaining = append(remaining, node.self)
		}
	}
	for _, node := range n.nodes {
		node.view.SetHosts(remaining, node.view.Upstreams(testPool))
	}
}

// After a router is removed from the host list, its grants stop counting within departureLimit,
// whether the owner issued or adopted them. The grants of other routers still count.
func TestGrantsOfLostRouterAreReleased(t *testing.T) {
	engines := newEngines()
	engines.reportsDisabled = true
	inFleet(t, 3, testUpstreams(1), engines, func(t *testing.T, n *network, run func(*testRouter)) {
		owner, entry := n.ownerOf("chat-1")
		// The entry router does not run, so it sends nothing after its grants.
		for _, node := range n.nodes {
			if node != entry {
				run(node)
			}
		}
		acquire(t, entry, engines, "chat-1")
		acquire(t, owner, engines, "chat-2")
		must.NoError(t, entry.Call(t.Context(), owner.self.ID, methodAnnounce, announceMessage{
			Pool: string(testPool), Home: "engine-0", Held: []heldMessage{{Grant: "router-9-1-1", Upstream: "engine-0", Work: 1}},
		}, &emptyReply{}))
		must.Eq(t, 3, runningAt(owner))
		killRouter(n, entry.self.ID)
		lost := time.Now()
		for runningAt(owner) > 1 && time.Since(lost) < grantTTL {
			time.Sleep(tickInterval)
		}
		t.Logf("grants of the lost router counted for %s", time.Since(lost))
		must.Less(t, departureLimit, time.Since(lost))
		time.Sleep(departureLimit)
		must.Eq(t, 1, runningAt(owner))
	})
}

// A router is not considered lost while it is missing from the host list for less than
// holderGracePeriod, nor while it is missing but still sends messages.
func TestGrantsOfLiveRouterAreKept(t *testing.T) {
	engines := newEngines()
	engines.reportsDisabled = true
	inFleet(t, 3, testUpstreams(1), engines, func(t *testing.T, n *network, run func(*testRouter)) {
		owner, entry := n.ownerOf("chat-1")
		run(owner)
		acquire(t, entry, engines, "chat-1")
		listed := []fleet.Host{}
		for _, node := range n.nodes {
			listed = append(listed, node.self)
		}
		n.set(func() { n.unlist(entry.self.ID) })
		time.Sleep(3 * holderGracePeriod / 4)
		n.set(func() { owner.view.SetHosts(listed, testUpstreams(1)) })
		time.Sleep(departureLimit)
		must.Eq(t, 1, runningAt(owner))

		n.set(func() { n.unlist(entry.self.ID) })
		for range 10 {
			time.Sleep(holderGracePeriod / 2)
			must.NoError(t, entry.Call(t.Context(), owner.self.ID, methodEnd, endMessage{}, &emptyReply{}))
		}
		must.Eq(t, 1, runningAt(owner))
	})
}
