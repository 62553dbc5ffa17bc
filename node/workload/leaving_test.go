package workload

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/departure"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// leaveLimit is the time after which an upstream that has said that it leaves may get no request.
const leaveLimit = 2 * time.Second

// displacedLimit is the age of loads up to which a large fleet's routers place requests by them.
const displacedLimit = time.Second

// All routers learn that an upstream leaves from the answer that one of them has had, also in a large
// fleet on links of 10 Mbit/s whose relays carry the load of many requests.
func TestAllRoutersLearnThatAnUpstreamLeaves(t *testing.T) {
	for _, routers := range []int{3, 16, 60, 120} {
		synctest.Test(t, func(t *testing.T) {
			w := newNetwork(routers)
			w.bytesPerSecond = 10e6 / 8
			told := map[fleet.HostID]int{}
			for _, n := range w.nodes {
				n.OnLeaving(func(mark departure.Mark) {
					w.mu.Lock()
					defer w.mu.Unlock()
					told[n.id]++
				})
			}
			defer w.run()()
			time.Sleep(2 * time.Second)
			first := w.node(routers - 1)
			must.True(t, first.MarkLeaving("e1", 7))
			must.False(t, first.MarkLeaving("e1", 7))
			time.Sleep(leaveLimit)
			for _, n := range w.nodes {
				must.True(t, n.Leaves("e1", 7), must.Sprint(n.id))
				must.False(t, n.Leaves("e1", 8), must.Sprint(n.id))
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			must.Eq(t, routers-1, len(told))
			for id, times := range told {
				must.Eq(t, 1, times, must.Sprint(id))
			}
		})
	}
}

// So they learn that the address of an upstream belongs to another one.
func TestAllRoutersLearnThatAnUpstreamIsDisplaced(t *testing.T) {
	for _, routers := range []int{3, 16, 60, 120} {
		synctest.Test(t, func(t *testing.T) {
			w := newNetwork(routers)
			w.bytesPerSecond = 10e6 / 8
			defer w.run()()
			time.Sleep(2 * time.Second)
			const upstreams = 55
			for i := range upstreams {
				w.node(i%routers).MarkDisplaced(fleet.UpstreamID(fmt.Sprint("e", i)), 7, "a")
			}
			time.Sleep(displacedLimit)
			for _, n := range w.nodes {
				for i := range upstreams {
					must.True(t, n.IsDisplaced(fleet.UpstreamID(fmt.Sprint("e", i)), 7, "a"), must.Sprint(n.id, " of ", routers))
				}
				must.False(t, n.IsDisplaced("e1", 8, "a"), must.Sprint(n.id))
			}
			time.Sleep(departure.DisplacedTime)
			must.False(t, w.node(0).IsDisplaced("e1", 7, "a"))
		})
	}
}
