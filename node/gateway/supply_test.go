package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/core/scaling"
	"agateswitch/node/workload"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// alone is a fleet of one router.
type alone struct{ port.Peers }

func (alone) Handle(string, port.PeerHandler)        {}
func (alone) Others() []fleet.HostID                 { return nil }
func (alone) Nearest() []fleet.HostID                { return nil }
func (alone) Relays() (plan dissemination.RelayPlan) { return plan }

func TestPoolEnginesAreWhatTheyCanDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{Dependencies: Dependencies{Workload: workload.New("a", alone{}, alone{}, log.New(io.Discard))}, view: newTestView(nil)}
		must.SliceEmpty(t, g.ScaledPools())
		engines := map[fleet.UpstreamID]*engine{}
		current := &snapshot{engines: map[fleet.PoolID][]*engine{}, dataCentresOut: map[fleet.DataCentre]bool{"b": true}}
		for _, id := range []fleet.UpstreamID{"sound", "leaving", "paused", "unreachable", "limited", "restarted", "cold"} {
			e := newEngine(port.EngineEntry{Incarnation: 7, Upstream: fleet.Upstream{ID: id, Pool: "lm", DataCentre: "a", State: fleet.Live}})
			e.applyEntry(port.EngineEntry{Incarnation: 7, Slots: 32, Upstream: fleet.Upstream{ID: id, Pool: "lm", DataCentre: "a", State: fleet.Live}}, time.Now())
			engines[id], current.engines["lm"] = e, append(current.engines["lm"], e)
		}
		current.table = routing.Compile(routing.State{Pools: []routing.Pool{{ID: "lm", Scaling: &routing.Scaling{Min: 1, Max: 9}}, {ID: "app"}}})
		g.view.current.Store(current)
		engines["leaving"].markLeaving()
		engines["paused"].askPause(time.Now(), time.Second)
		engines["unreachable"].recordNoConnection(time.Now(), pathRefused)
		engines["cold"].assumeCold(time.Now().Add(time.Second))
		g.Workload.StateRateLimit("limited", 7, 2)
		g.Workload.StateRateLimit("restarted", 6, 2)
		g.Workload.Start("sound", 300, nil)
		known, out := g.PoolEngines("lm")
		plain := scaling.Engine{DataCentre: "a", Slots: 32}
		sound, leaving, unable, limited, cold := plain, plain, plain, plain, plain
		sound.Running, sound.Pending, leaving.Leaving, unable.Unable, limited.Restricted, cold.ColdFor = 1, 300, true, true, true, time.Second
		must.Eq(t, []scaling.Engine{sound, leaving, unable, unable, limited, plain, cold}, known)
		must.True(t, out["b"])
		must.Len(t, 1, g.ScaledPools())
	})
}
