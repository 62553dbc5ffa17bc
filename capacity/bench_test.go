package capacity

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/membership"
)

// BenchmarkRouters measures one query of the live routers, which each periodic task makes.
func BenchmarkRouters(b *testing.B) {
	for _, size := range []int{98, 490, 980} {
		b.Run(fmt.Sprint("hosts=", size), func(b *testing.B) {
			view := membership.NewView(fleet.Host{ID: "self", State: fleet.Live})
			routers, upstreams := fleetHosts(size)
			view.ApplyList(start, routers, upstreams)
			b.ReportAllocs()
			for b.Loop() {
				view.Routers(start)
			}
		})
	}
}

// BenchmarkTakeList measures applying a host list, which a router does once a second.
func BenchmarkTakeList(b *testing.B) {
	for _, size := range []int{98, 490, 980} {
		b.Run(fmt.Sprint("hosts=", size), func(b *testing.B) {
			view := membership.NewView(fleet.Host{ID: "self", State: fleet.Live})
			routers, upstreams := fleetHosts(size)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				view.ApplyList(now, routers, upstreams)
			}
		})
	}
}
