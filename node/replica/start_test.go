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

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const routersKey = "router/"

// Sizes of a fleet that starts. The store's link has the share of a fleet of 300 on 1,000 Mbit/s.
const (
	startingRouters     = 60
	startingUpstreams   = 160
	storeBytesPerSecond = startingRouters * 1000e6 / 8 / 300
)

var startKeys = Keys{
	Desired: desiredKey, Prefixes: []string{upstreamKey, routersKey}, Routers: routersKey, IsOutdated: isOutdated,
}

// recoverLimit is the users' recover_s.
const recoverLimit = 15 * time.Second

// startAll starts all routers of a fleet at once, whose first four watch the store, and returns them. Routers for which
// isDown is true don't start.
func startAll(ctx context.Context, isDown func(i int) bool) (*fakeFleet, []*testRouter) {
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
				f, routers := startAll(ctx, isDown)
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
		_, routers := startAll(ctx, func(i int) bool { return i < 4 })
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
		f, routers := startAll(ctx, func(int) bool { return false })
		time.Sleep(5 * time.Second)
		for _, r := range routers[:len(f.watchers)] {
			r.isolated.Store(true)
		}
		time.Sleep(5 * time.Second)
		newest := f.store.put(desiredKey, largeState(2))
		time.Sleep(leaveLimit)
		started := startRouterWithKeys(ctx, f.add(), startKeys, log.New(io.Discard))
		<-started.replica.Loaded()
		must.Eq(t, newest, started.appliedRevision(desiredKey))
	})
}
