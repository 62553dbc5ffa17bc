package workload

import (
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// What an upstream states to one router reaches all others while it still has weight, in fleets with and without relays.
func TestWorkTimesReachAllRouters(t *testing.T) {
	for _, routers := range []int{6, 40} {
		synctest.Test(t, func(t *testing.T) {
			w := newNetwork(routers)
			defer w.run()()
			time.Sleep(agreeTime)
			for range 5 {
				w.node(routers-1).StateWorkTime("e1", 250)
				w.node(routers-1).Start("e1", 10, nil).End()
				time.Sleep(100 * time.Millisecond)
			}
			for i := range routers {
				must.Greater(t, 1, w.node(i).WorkTime("e1", time.Now()), must.Sprint(w.node(i).id))
				must.Eq(t, 0, w.node(i).WorkTime("e2", time.Now()))
			}
			time.Sleep(3 * time.Second)
			must.Eq(t, 1, w.node(0).WorkTime("e1", time.Now()))
		})
	}
}

// Routers of an earlier version read messages with work times, and send some without.
func TestWorkTimesMayBeAbsent(t *testing.T) {
	sent := message{
		Load:      map[fleet.UpstreamID]Load{"e1": {Running: 3}},
		WorkTimes: []balance.WorkTimeMark{{Upstream: "e1", Percent: 250, AgeMs: 20}},
	}
	encoded, err := msgpack.Marshal(sent)
	must.NoError(t, err)
	var earlier struct {
		Load map[fleet.UpstreamID]Load `msgpack:"l,omitempty"`
	}
	must.NoError(t, msgpack.Unmarshal(encoded, &earlier))
	must.Eq(t, sent.Load, earlier.Load)
	encoded, err = msgpack.Marshal(earlier)
	must.NoError(t, err)
	var read message
	must.NoError(t, msgpack.Unmarshal(encoded, &read))
	must.Eq(t, message{Load: sent.Load}, read)
	// A full message stays in the bounds of one packet or two.
	var w balance.WorkTimes
	for i := range 200 {
		w.State(fleet.UpstreamID("engine-"+string(rune('0'+i%10))+string(rune('0'+i/10%10))+string(rune('0'+i/100))), 300, time.Now())
	}
	encoded, err = msgpack.Marshal(message{WorkTimes: w.TakeNews(time.Now())})
	must.NoError(t, err)
	must.LessEq(t, 24*balance.MaxWorkTimesPerMessage, len(encoded))
}
