package replica

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// Entries that can't be read give way on every router, also those that pull, and what they have replaced is not kept: an
// engine whose entry another writer has overwritten would stay in use.
func TestUnreadableEntriesGiveWayOnAllRouters(t *testing.T) {
	unreadable := bytes.Repeat([]byte{0xfe}, maxEntryBytes)
	isReadable := func(_ string, value []byte) bool { return !bytes.HasPrefix(value, unreadable[:1]) }
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(10 * time.Second)
		defer cancel()
		f := &fakeFleet{store: newFakeStore(), deadline: drainLimit, bytesPerSecond: 100 * slowLinkBytesPerSecond, cores: 1}
		f.store.put(desiredKey, []byte("{}"))
		f.store.put(upstreamKey+"overwritten", versioned(1))
		f.store.put(upstreamKey+"removed", versioned(1))
		keys := Keys{Desired: desiredKey, Prefixes: []string{upstreamKey}, IsOutdated: isOutdated, IsReadable: isReadable}
		f.watchers = []fleet.HostID{f.add().id, f.add().id}
		f.add()
		f.add()
		var routers []*testRouter
		for _, h := range f.all() {
			routers = append(routers, startRouterWithKeys(ctx, h, keys, log.New(io.Discard)))
		}
		time.Sleep(5 * time.Second)
		const others = 2 * maxHeldBytes / maxEntryBytes
		for i := range others {
			f.store.put(fmt.Sprint(upstreamKey, "other-", i), unreadable)
			time.Sleep(20 * time.Millisecond)
			switch i {
			case others / 2:
				f.store.put(upstreamKey+"overwritten", unreadable)
			case others - 5:
				f.store.put(upstreamKey+"added", versioned(1))
				f.store.remove(upstreamKey + "removed")
			}
		}
		time.Sleep(5 * time.Second)
		routers = append(routers, startRouterWithKeys(ctx, f.add(), keys, log.New(io.Discard)))
		time.Sleep(5 * time.Second)
		for _, r := range routers {
			r.replica.mu.Lock()
			must.LessEq(t, maxHeldBytes, r.replica.heldBytes(), must.Sprint(r.id))
			r.replica.mu.Unlock()
			must.Eq(t, string(versioned(1)), string(r.value(upstreamKey+"added")), must.Sprint(r.id))
			must.NotEq(t, string(versioned(1)), string(r.value(upstreamKey+"overwritten")), must.Sprint(r.id))
			must.Eq(t, "", string(r.value(upstreamKey+"removed")), must.Sprint(r.id))
		}
	})
}

// Tombstones and earlier states of entries that can all be read give way, and no entry does.
func TestReadableEntriesStayInAFullCopy(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		const upstreams, bytesEach = 150, maxEntryBytes / 2
		for write := range 6 {
			for i := range upstreams {
				f.store.put(fmt.Sprint(upstreamKey, "large-", i), append(versioned(write), bytes.Repeat([]byte(" "), bytesEach)...))
			}
			time.Sleep(4 * time.Second)
		}
		for _, r := range f.routers {
			r.replica.mu.Lock()
			must.LessEq(t, maxHeldBytes+shedStep, r.replica.heldBytes(), must.Sprint(r.id))
			r.replica.mu.Unlock()
			for i := range upstreams {
				must.Eq(t, 5, entryVersion(r.value(fmt.Sprint(upstreamKey, "large-", i))), must.Sprint(r.id))
			}
		}
	})
}
