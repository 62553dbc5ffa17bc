package placement

import (
	"testing"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// Freeing a router's grants ends those and no others, and gives their place to a request
// that waits.
func TestFreeGivesTheTurnToThoseThatWait(t *testing.T) {
	o := NewOwner("router-0", 1, testSettings())
	o.SetUpstreams(start, upstreams(1))
	now := start.Add(LearnWindow)
	ask := func(from fleet.HostID, nonce uint64) Decision {
		return o.Acquire(now, Request{Ticket: admission.Ticket{From: from, Nonce: nonce}, Chat: nonce, Decode: 100, Share: 1, Deadline: now.Add(30 * second)})
	}
	must.False(t, ask("lost", 1).Waiting)
	must.False(t, ask("alive", 2).Waiting)
	must.True(t, ask("alive", 3).Waiting)
	must.Eq(t, 0, o.Free(now, "unknown"))
	must.SliceEmpty(t, o.Resolved())
	must.Eq(t, 1, o.Free(now, "lost"))
	resolved := o.Resolved()
	must.Len(t, 1, resolved)
	must.Eq(t, uint64(3), resolved[0].Ticket.Nonce)
	holding := map[fleet.HostID]bool{}
	o.Holders(holding)
	must.Eq(t, map[fleet.HostID]bool{"alive": true}, holding)
}
