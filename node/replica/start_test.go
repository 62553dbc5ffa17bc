package replica

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

const routersKey = "router/"

// startingUpstreams is the number of upstreams of a fleet that starts.
const startingUpstreams = 160

// routerShare is the share of a router in the store's link of 1,000 Mbit/s when 300 start at once, in bytes a second.
const routerShare = 1000e6 / 8 / 300

var startKeys = Keys{
	Desired: desiredKey, Prefixes: []string{upstreamKey, routersKey}, Routers: routersKey, IsOutdated: isOutdated,
}

// recoverLimit is the users' recover_s.
const recoverLimit = 15 * time.Second

// startAll starts all routers of a fleet at once, whose first four watch the store, and returns them. Routers for which
// isDown is true don't start.
func startAll(ctx context.Context, startingRouters int, storeBytesPerSecond float64, isDown func(i int) bool) (*fakeFleet, []*testRouter) {
	f := &fakeFleet{store: newFakeStore(), deadline: 4 * time.Second, bytesPerSecond: slowLinkBytesPerSecond, cores: slowCores}
	f.store.up = newLink(storeBytesPerSecond)
	f.store.put(desiredKey, largeState(1))
	for i := range startingUpstreams {
		f.store.put(fmt.Sprint(upstreamKey, i), []byte(`{"pool": "lm", "address": "10.1.0.1:80", "state": "ready"}`))
	}
	for range startingRouters {
		h := f.add()
		f.store.put(routersKey+string(h.id), fmt.Appendf(nil, `{"id": %q, "callers": "10.1.0.1:80", "peers": "10.1.0.1:81"}`, h.id))
		go h.keepBusy(ctx, 0.6)
	}
	for _, h := range f.all()[:4] {
		f.watchers = append(f.watchers, h.id)
		h.up, h.down = newLink(10*slowLinkBytesPerSecond), newLink(10*slowLinkBytesPerSecond)
	}
	var routers []*testRouter
	for i, h := range f.all() {
		if isDown(i) {
			h.silent.Store(true)
			continue
		}
		routers = append(routers, startRouterWithKeys(ctx, h, startKeys, log.New(io.Discard)))
	}
	return f, routers
}

// loadTime returns when the last router has the state, or a longer time than the limit.
func loadTime(routers []*testRouter, limit time.Duration) (time.Duration, fleet.HostID) {
	startedAt := time.Now()
	for _, r := range routers {
		select {
		case <-r.replica.Loaded():
		case <-time.After(time.Until(startedAt.Add(2 * limit))):
			return time.Since(startedAt), r.id
		}
	}
	return time.Since(startedAt), ""
}

// Routers of a large fleet that start at once, after all of them lost power, used to read the whole state from the store:
// its link carried little else for two seconds.
func TestRoutersThatStartAtOnceShareFewReadsOfTheState(t *testing.T) {
	for name, isDown := range map[string]func(int) bool{
		"all":               func(int) bool { return false },
		"without a watcher": func(i int) bool { return i == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() {
					cancel()
					time.Sleep(10 * time.Second)
				}()
				const startingRouters = maxDirectReaders + 20
				f, routers := startAll(ctx, startingRouters, startingRouters*routerShare, isDown)
				state := len(largeState(1)) * 4 / 3
				took, last := loadTime(routers, startPullTimeout)
				t.Logf("ready after %s; %d kB from the store", took, f.store.up.total()/1000)
				must.LessEq(t, startPullTimeout, took, must.Sprint(last))
				must.LessEq(t, len(f.watchers)*2*state+startingRouters*state/4, f.store.up.total())
				for _, r := range routers {
					must.Eq(t, revision.Revision{Number: 2}, r.appliedRevision(desiredKey))
					must.NotEq(t, desiredKey, r.firstKey)
				}
			})
		})
	}
}

// When no router that watches the store has the state, each reads it itself.
func TestRouterStartsWithoutWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		const startingRouters = maxDirectReaders + 20
		_, routers := startAll(ctx, startingRouters, startingRouters*routerShare, func(i int) bool { return i < 4 })
		took, last := loadTime(routers, recoverLimit)
		t.Logf("ready after %s", took)
		must.LessEq(t, recoverLimit, took, must.Sprint(last))
	})
}

// A router that starts while the watchers have lost the store does not serve with what they had before.
func TestRouterStartsWithNoOldState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f, routers := startAll(ctx, maxDirectReaders+5, 1000e6/8, func(int) bool { return false })
		time.Sleep(2 * time.Second)
		for _, r := range routers[:len(f.watchers)] {
			r.isolated.Store(true)
		}
		time.Sleep(5 * time.Second)
		newest := f.store.put(desiredKey, largeState(2))
		time.Sleep(applyLimit)
		started := startRouterWithKeys(ctx, f.add(), startKeys, log.New(io.Discard))
		<-started.replica.Loaded()
		must.Eq(t, newest, started.appliedRevision(desiredKey))
	})
}

// Routers of a fleet that the store's link can serve read it when all start at once: waiting for watchers on slow links
// takes longer.
func TestMediumFleetReadsTheStoreAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		_, routers := startAll(ctx, 60, 1000e6/8, func(int) bool { return false })
		ownLink := time.Duration(float64(len(largeState(1))*4/3) / slowLinkBytesPerSecond * float64(time.Second))
		took, last := loadTime(routers, 2*ownLink)
		t.Logf("ready after %s, the state alone takes %s", took, ownLink)
		must.LessEq(t, 2*ownLink, took, must.Sprint(last))
	})
}

// A router that starts in a running large fleet reads little from the store, and needs no transfer of the whole state.
func TestRouterStartsInARunningFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f, _ := startAll(ctx, maxDirectReaders+5, 1000e6/8, func(int) bool { return false })
		time.Sleep(2 * time.Second)
		state := len(largeState(1)) * 4 / 3
		before := f.store.up.total()
		took, _ := loadTime([]*testRouter{startRouterWithKeys(ctx, f.add(), startKeys, log.New(io.Discard))}, recoverLimit)
		t.Logf("ready after %s, %d kB from the store", took, (f.store.up.total()-before)/1000)
		must.LessEq(t, time.Duration(float64(state)/slowLinkBytesPerSecond*float64(time.Second)), took)
		must.LessEq(t, state/4, f.store.up.total()-before)
	})
}

// A starting router that could not fetch the desired state from the router that had told it of one used to wait for six
// seconds.
func TestRouterStartsAlthoughAFetchFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f, _ := startAll(ctx, maxDirectReaders+5, 1000e6/8, func(int) bool { return false })
		time.Sleep(2 * time.Second)
		for _, h := range f.all() {
			h.Handle(methodFetch, func(context.Context, fleet.HostID, port.Decode) (any, error) {
				return nil, errors.New("out of order")
			})
		}
		took, last := loadTime([]*testRouter{startRouterWithKeys(ctx, f.add(), startKeys, log.New(io.Discard))}, applyLimit)
		must.LessEq(t, applyLimit, took, must.Sprint(last))
	})
}
