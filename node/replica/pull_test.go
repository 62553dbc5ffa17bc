package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// A router used to miss a removal when it pulled from one that had started since: that one has read a
// list without the entry and without its removal.
func TestRemovalIsNotMissedByAPullFromARouterThatHasJustStarted(t *testing.T) {
	runFleetWithState(t, 2, versioned(1), func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		known := f.store.put(engineKey, versioned(1))
		time.Sleep(leaveLimit)
		for _, r := range f.routers {
			r.isolated.Store(true)
		}
		f.store.remove(engineKey)
		started := f.start()
		time.Sleep(leaveLimit)
		request, err := msgpack.Marshal(pullRequest{After: map[string]revision.Revision{upstreamKey: known}})
		must.NoError(t, err)
		answer, err := started.replica.handlePull(t.Context(), "router-00", func(into any) error { return msgpack.Unmarshal(request, into) })
		must.NoError(t, err)
		tree := answer.(pullResponse).Trees[0]
		must.True(t, tree.AsOf.After(known))
		must.True(t, tree.Complete)
		time.Sleep(staleTimeout + settlePeriod + leaveLimit)
		f.checkValues(t, engineKey, nil)
	})
}

// Routers of an earlier software version have other methods: the pulls from such watchers are refused. A
// router then watches the store itself, and pulls again as soon as a watcher has the same version.
func TestRouterWatchesTheStoreWhileItsWatchersHaveAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f := &fakeFleet{store: newFakeStore(), bytesPerSecond: slowLinkBytesPerSecond, cores: slowCores}
		var hosts []*host
		for range 4 {
			hosts = append(hosts, f.add())
		}
		f.watchers = []fleet.HostID{hosts[0].id, hosts[1].id}
		f.store.put(desiredKey, versioned(1))
		f.store.put(engineKey, versioned(1))
		updated := testFleet{store: f.store, routers: []*testRouter{startRouter(ctx, hosts[2]), startRouter(ctx, hosts[3])}}
		time.Sleep(silentWatchersTimeout + 2*time.Second)
		for version := 2; version < 10; version++ {
			f.store.put(engineKey, versioned(version))
			time.Sleep(leaveLimit)
			updated.checkValues(t, engineKey, versioned(version))
		}
		f.store.put(desiredKey, versioned(2))
		time.Sleep(applyLimit)
		updated.checkValues(t, desiredKey, versioned(2))

		for _, watcher := range hosts[:2] {
			updated.routers = append(updated.routers, startRouter(ctx, watcher))
		}
		time.Sleep(minWatchTime + watchWait + 2*time.Second)
		must.Zero(t, hosts[2].watches.Load())
		f.store.remove(engineKey)
		time.Sleep(leaveLimit)
		updated.checkValues(t, engineKey, nil)
	})
}
