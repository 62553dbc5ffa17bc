package placement

import (
	"testing"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// Releasing a router's grants ends only those, and a waiting request is granted in their place.
func TestReleasedGrantsServeWaitingRequests(t *testing.T) {
	o := NewOwner("router-0", 1, testSettings())
	o.SetUpstreams(start, upstreams(1))
	now := start.Add(FirstReportTimeout)
	acquire := func(from fleet.HostID, nonce uint64) Decision {
		return o.Acquire(now, Request{Ticket: admission.Ticket{From: from, Nonce: nonce}, Chat: nonce, Decode: 100, Share: 1, Deadline: now.Add(30 * second)})
	}
	must.False(t, acquire("lost", 1).Waiting)
	must.False(t, acquire("alive", 2).Waiting)
	must.True(t, acquire("alive", 3).Waiting)
	must.Eq(t, 0, o.ReleaseGrants(now, "unknown"))
	must.SliceEmpty(t, o.Resolved())
	must.Eq(t, 1, o.ReleaseGrants(now, "lost"))
	resolved := o.Resolved()
	must.Len(t, 1, resolved)
	must.Eq(t, uint64(3), resolved[0].Ticket.Nonce)
	holding := map[fleet.HostID]bool{}
	o.CollectHolders(holding)
	must.Eq(t, map[fleet.HostID]bool{"alive": true}, holding)
}
