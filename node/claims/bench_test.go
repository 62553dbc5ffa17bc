package claims

import (
	"fmt"
	"io"
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
)

// BenchmarkRank measures the rank update of all claim shards, which each router does once a second.
func BenchmarkRank(b *testing.B) {
	for _, size := range []int{8, 95, 380} {
		b.Run(fmt.Sprint(size, " routers"), func(b *testing.B) {
			b.ReportAllocs()
			var hosts []fleet.Host
			for i := range size {
				hosts = append(hosts, fleet.Host{ID: fleet.HostID(fmt.Sprint("router-", i)), State: fleet.Live})
			}
			bus := &network{handlers: map[fleet.HostID]map[string]port.PeerHandler{"router-0": {}}}
			s := New(store.NewDirect(), members{self: "router-0", routers: hosts}, peers{network: bus, self: "router-0"},
				0, port.Telemetry{Log: log.New(io.Discard)})
			for b.Loop() {
				ids := s.routerIDs()
				for _, w := range s.workers {
					w.updateRank(time.Now(), ids)
				}
			}
		})
	}
}
