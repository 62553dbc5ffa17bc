package configsync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// inForceLimit is the target for the time until a change is in force on every router.
const inForceLimit = 14 * time.Second

// startFleet starts routers spread over four data centres, and waits until all are loaded.
func startFleet(ctx context.Context, t *testing.T, count int) (*fakeFleet, []*fakeNode) {
	t.Helper()
	f := newFakeFleet()
	var nodes []*fakeNode
	for i := range count {
		nodes = append(nodes, f.add(ctx, fleet.HostID(fmt.Sprintf("r%03d", i)), fleet.DataCentre(fmt.Sprintf("dc%d", i%4))))
	}
	for _, node := range nodes {
		<-node.Loaded()
	}
	sleep(t, 5*time.Second)
	return f, nodes
}

// withFleet runs a test in virtual time on a started fleet, and stops the fleet afterwards.
func withFleet(t *testing.T, count int, run func(t *testing.T, f *fakeFleet, nodes []*fakeNode)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			// Calls that outlive their router end at their own timeouts.
			sleep(t, time.Minute)
		}()
		f, nodes := startFleet(ctx, t, count)
		run(t, f, nodes)
	})
}

// timeToInForce waits until every node has a revision in force, and returns how long that took.
func timeToInForce(t *testing.T, nodes []*fakeNode, revision configuration.Revision) time.Duration {
	t.Helper()
	start := time.Now()
	for _, node := range nodes {
		for node.Current().Revision() < revision {
			if time.Since(start) > inForceLimit {
				t.Fatalf("%s has revision %d, not %d, after %s", node.host.ID, node.Current().Revision(), revision, inForceLimit)
			}
			sleep(t, time.Millisecond)
		}
	}
	return time.Since(start)
}

func accept(t *testing.T, node *fakeNode, name string, out bool) configuration.Revision {
	t.Helper()
	result := node.Accept(t.Context(), dataCentreChange(name, out))
	must.Nil(t, result.Refusal)
	return result.Revision
}

// The number of watches, the store's read rate and each router's traffic do not grow with the
// fleet.
func TestControlTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	const (
		window = 60 * time.Second
		// maxBytesPerSecond is a tenth of the target for control traffic, 28 KB/s.
		maxBytesPerSecond = 2800
	)
	for _, count := range []int{3, 8, 64} {
		withFleet(t, count, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
			f.mu.Lock()
			for _, node := range nodes {
				node.bytes, node.calls = 0, 0
			}
			f.mu.Unlock()
			reads, _ := f.store.stats()
			sleep(t, window)
			f.mu.Lock()
			defer f.mu.Unlock()
			worst, total := 0, 0
			for _, node := range nodes {
				worst, total = max(worst, node.bytes), total+node.bytes
			}
			perSecond := float64(worst) / window.Seconds()
			after, waiting := f.store.stats()
			readsPerSecond := float64(after-reads) / window.Seconds()
			t.Logf("%d routers: %d watches waiting, %.2f reads/s, bytes/s a router: mean %.0f, most %.0f",
				count, waiting, readsPerSecond, float64(total)/float64(count)/window.Seconds(), perSecond)
			must.Eq(t, dissemination.MinWatchers, waiting)
			must.LessEq(t, dissemination.MinWatchers/dissemination.HeadReadInterval.Seconds(), readsPerSecond)
			must.LessEq(t, maxBytesPerSecond, perSecond)
		})
	}
}

// A change is in force on every router within the limit, whatever the fleet's size.
func TestChangeIsInForceEverywhere(t *testing.T) {
	for _, count := range []int{3, 8, 64} {
		withFleet(t, count, func(t *testing.T, _ *fakeFleet, nodes []*fakeNode) {
			took := timeToInForce(t, nodes, accept(t, nodes[1], "arima", true))
			t.Logf("%d routers: in force everywhere after %s", count, took)
		})
	}
}

// The accepting router fails after the commit, and all watchers fail with it.
func TestInForceAfterWatcherFailure(t *testing.T) {
	withFleet(t, 16, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
		revision := soloNode(f.store).Accept(t.Context(), dataCentreChange("arima", true)).Revision
		var survivors []*fakeNode
		for _, node := range nodes {
			if node.State().Watching {
				node.set(&node.peersPartitioned, true)
				node.set(&node.storePartitioned, true)
				continue
			}
			survivors = append(survivors, node)
		}
		must.SliceLen(t, len(nodes)-dissemination.MinWatchers, survivors)
		timeToInForce(t, survivors, revision)
	})
}

// A watch's connection stalls while new calls work.
func TestStalledWatchIsDetected(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
		for _, node := range nodes {
			f.store.mu.Lock()
			node.link.stalled = true
			f.store.mu.Unlock()
		}
		revision := soloNode(f.store).Accept(t.Context(), dataCentreChange("arima", true)).Revision
		timeToInForce(t, nodes, revision)
	})
}

// Routers partitioned from the store receive changes from peers. Routers partitioned from their
// peers read the store. Routers partitioned from both catch up after the partition.
func TestPartitionedRouters(t *testing.T) {
	withFleet(t, 8, func(t *testing.T, _ *fakeFleet, nodes []*fakeNode) {
		nodes[5].set(&nodes[5].storePartitioned, true)
		nodes[6].set(&nodes[6].peersPartitioned, true)
		nodes[7].set(&nodes[7].peersPartitioned, true)
		nodes[7].set(&nodes[7].storePartitioned, true)
		sleep(t, 5*time.Second)
		revision := accept(t, nodes[0], "arima", true)
		timeToInForce(t, nodes[:7], revision)
		must.Less(t, revision, nodes[7].Current().Revision())
		nodes[7].set(&nodes[7].peersPartitioned, false)
		timeToInForce(t, nodes[7:], revision)
	})
}

// A router that starts while the store is down applies its peers' configuration. Without a peer it
// remains unloaded until the store is up.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
		revision := accept(t, nodes[0], "arima", true)
		timeToInForce(t, nodes, revision)
		f.store.setDown(true)
		started := f.add(t.Context(), "late", "dc0")
		defer started.stop()
		<-started.Loaded()
		must.Eq(t, revision, started.Current().Revision())

		emptyFleet := newFakeFleet()
		emptyFleet.store.setDown(true)
		isolated := emptyFleet.add(t.Context(), "lonely", "dc0")
		defer isolated.stop()
		sleep(t, time.Minute)
		must.False(t, isolated.isLoaded())
		emptyFleet.store.setDown(false)
		<-isolated.Loaded()
	})
}

// A wiped store rolls back neither the running routers nor a router that starts afterwards.
func TestWipedStoreDoesNotRollBackTheFleet(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
		revision := accept(t, nodes[0], "arima", true)
		timeToInForce(t, nodes, revision)
		f.store.mu.Lock()
		clear(f.store.keys)
		f.store.mu.Unlock()
		started := f.add(t.Context(), "late", "dc0")
		defer started.stop()
		<-started.Loaded()
		must.Eq(t, revision, started.Current().Revision())
		sleep(t, 10*time.Second)
		behind := 0
		for _, node := range append(nodes, started) {
			must.True(t, node.Current().IsOut("arima"))
			if node.State().StoreBehind {
				behind++
			}
		}
		must.Positive(t, behind)
	})
}

// With 1,100 contracts, a change is sent to each router as a few deltas, never as the complete
// configuration. A starting router fetches the complete configuration in pages.
func TestChangeIsSentAsDelta(t *testing.T) {
	const (
		contracts = 1100
		// maxBytesPerChange is what the target of 28 KB/s allows in one second. 1,700 changes a day
		// are one in 51 s.
		maxBytesPerChange = 28_000
	)
	withFleet(t, 8, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
		last := f.store.fill(contracts)
		timeToInForce(t, nodes, last)
		sleep(t, 5*time.Second)
		before := f.bytesOf(nodes)
		key := configuration.Key{Kind: configuration.KindContract, Name: "team-0007"}
		result := nodes[0].Accept(t.Context(), Change{Key: key, Value: contractValue("team-0007"), Expected: AnyRevision})
		synctest.Wait()
		timeToInForce(t, nodes, result.Revision)
		// Redundant pushes that arrive later count as well.
		sleep(t, 100*time.Millisecond)
		perRouter := (f.bytesOf(nodes) - before) / len(nodes)
		f.store.setDown(true)
		started := f.add(t.Context(), "late", "dc0")
		defer started.stop()
		<-started.Loaded()
		must.Eq(t, result.Revision, started.Current().Revision())
		t.Logf("one change with %d contracts: %d bytes a router; a start: %d bytes", contracts, perRouter, f.bytesOf([]*fakeNode{started}))
		must.LessEq(t, maxBytesPerChange, perRouter)
	})
}

// bytesOf returns the total traffic of some nodes, in bytes.
func (f *fakeFleet) bytesOf(nodes []*fakeNode) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, node := range nodes {
		total += node.bytes
	}
	return total
}
