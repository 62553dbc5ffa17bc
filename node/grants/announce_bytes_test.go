package grants

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

const (
	// grantsPerAnnouncement is how many grants an entry router holds in a shard at the target:
	// 1.2 M tokens a second at one in 66 ms are 79,200 streams, in 75 shards and on 380 routers.
	grantsPerAnnouncement = 3
	// changeSeconds is the target's time for a change to take effect in the whole fleet. The
	// announcements after the loss of an owner must fit into the new owner's traffic in this time.
	changeSeconds = 14
)

// After the loss of an owner, the announcements of all entry routers fit into the control traffic
// of the new owner. The bytes are printed for several numbers of grants per announcement.
func TestCapacityOfAnnouncements(t *testing.T) {
	owner, entry := meshPair(t)
	for _, count := range []int{1, grantsPerAnnouncement, 10, 100} {
		message := announceMessage{Pool: string(testPool), Home: "farrier-lm-50"}
		for i := range count {
			grant := fleet.GrantID(fmt.Sprintf("%s-%d-%d", entry.self.ID, time.Now().UnixMilli()&0xffffffff, i))
			message.Held = append(message.Held, heldMessage{Grant: string(grant), Upstream: "farrier-lm-50", Work: 3000})
		}
		// The first call opens the connection.
		must.NoError(t, entry.mesh.Call(t.Context(), owner.self.ID, methodAnnounce, announceMessage{Pool: string(testPool), Home: "farrier-lm-50"}, &emptyReply{}))
		before := owner.bytes()
		must.NoError(t, entry.mesh.Call(t.Context(), owner.self.ID, methodAnnounce, message, &emptyReply{}))
		perMessage := owner.bytes() - before
		// Each entry router sends one message for a shard whose owner changes.
		t.Logf("%d grants: %.0f bytes; of all routers at the target: %.0f", count, perMessage, targetRouters*perMessage)
		if count == grantsPerAnnouncement {
			must.LessEq(t, targetBudget*changeSeconds, targetRouters*perMessage)
		}
	}
}
