package workload

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// limitNewsTime is the time within which all routers know a limit, on links of 10 Mbit/s.
const limitNewsTime = 1500 * time.Millisecond

// recentNewsTime is longer than changes are repeated.
const recentNewsTime = 5 * time.Second

func TestAllRoutersLearnARateLimitAndItsEnd(t *testing.T) {
	for _, routers := range []int{3, 16, 60, 120} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork(routers)
				w.bytesPerSecond = 10e6 / 8
				defer w.run()()
				time.Sleep(2 * time.Second)
				must.True(t, w.node(routers-1).StateRateLimit("e1", 7, 2.5))
				time.Sleep(limitNewsTime)
				for _, n := range w.nodes {
					perSecond, limited := n.RateLimit("e1", 7)
					must.True(t, limited, must.Sprint(n.id))
					must.Eq(t, 2.5, perSecond)
					_, limited = n.RateLimit("e1", 8)
					must.False(t, limited)
				}
				must.True(t, w.node(0).EndRateLimit("e1", 7, time.Now()))
				time.Sleep(limitNewsTime)
				for _, n := range w.nodes {
					_, limited := n.RateLimit("e1", 7)
					must.False(t, limited, must.Sprint(n.id))
				}
			})
		})
	}
}

// A router that starts learns the limits that were stated before.
func TestStartingRouterLearnsRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(4)
		started := w.node(3)
		w.disconnect(started)
		defer w.run()()
		for i := range 3 {
			w.node(i).SetBootstrapped()
		}
		w.node(1).StateRateLimit("e1", 7, 2.5)
		time.Sleep(recentNewsTime)
		_, limited := started.RateLimit("e1", 7)
		must.False(t, limited)
		w.mu.Lock()
		started.unresponsive = false
		w.mu.Unlock()
		must.True(t, started.Bootstrap(t.Context()))
		_, limited = started.RateLimit("e1", 7)
		must.True(t, limited)
	})
}
