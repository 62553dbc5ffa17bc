package capacity

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/membership"
)

// BenchmarkRouters is one reading of the live routers, which each periodic task makes.
func BenchmarkRouters(b *testing.B) {
	for _, size := range []int{98, 490, 980} {
		b.Run(fmt.Sprint("hosts=", size), func(b *testing.B) {
			view := membership.NewView(fleet.Host{ID: "self", State: fleet.Live})
			routers, upstreams := fleetList(size)
			view.ApplyList(start, routers, upstreams)
			b.ReportAllocs()
			for b.Loop() {
				view.Routers(start)
			}
		})
	}
}

// BenchmarkTakeList is what a router does with each host list, one a second.
func BenchmarkTakeList(b *testing.B) {
	for _, size := range []int{98, 490, 980} {
		b.Run(fmt.Sprint("hosts=", size), func(b *testing.B) {
			view := membership.NewView(fleet.Host{ID: "self", State: fleet.Live})
			routers, upstreams := fleetList(size)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				view.ApplyList(now, routers, upstreams)
			}
		})
	}
}
