package grants

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

const (
	// grantsHeld is how many grants an entry router holds in a shard at the target: 1.2 M tokens
	// a second at one in 66 ms are 79,200 streams, in 75 shards and on 380 routers.
	grantsHeld = 3
	// surgeSeconds is the target's time for a change to be in force everywhere. The
	// announcements after a loss have to fit into a new owner's traffic within it.
	surgeSeconds = 14
)

// Bytes of the announcements that a new owner gets after a loss, by the grants in each.
func TestCapacityOfAnnouncements(t *testing.T) {
	owner, entry := meshPair(t)
	for _, count := range []int{1, grantsHeld, 10, 100} {
		message := announceMessage{Pool: string(testPool), Home: "farrier-lm-50"}
		for i := range count {
			grant := fleet.GrantID(fmt.Sprintf("%s-%d-%d", entry.self.ID, time.Now().UnixMilli()&0xffffffff, i))
			message.Held = append(message.Held, heldMessage{Grant: string(grant), Upstream: "farrier-lm-50", Work: 3000})
		}
		// The first call opens the connection.
		must.NoError(t, entry.mesh.Call(t.Context(), owner.self.ID, methodAnnounce, announceMessage{Pool: string(testPool), Home: "farrier-lm-50"}, &empty{}))
		before := owner.bytes()
		must.NoError(t, entry.mesh.Call(t.Context(), owner.self.ID, methodAnnounce, message, &empty{}))
		perMessage := owner.bytes() - before
		// Every entry router sends one message for a shard that moves.
		t.Logf("%d grants: %.0f bytes; of all routers at the target: %.0f", count, perMessage, targetRouters*perMessage)
		if count == grantsHeld {
			must.LessEq(t, targetBudget*surgeSeconds, targetRouters*perMessage)
		}
	}
}
