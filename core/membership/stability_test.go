package membership

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// Whatever the host list shows: an upstream is held off only after FlapLimit returns in
// the window, and one that stays live gets work again after HoldMax at the latest.
func TestOnlyFlappingUpstreamsAreHeldOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, presences := epoch, NewPresences()
		var returns []time.Time
		live, known := false, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
			next := rapid.Bool().Draw(t, "live")
			if next && !live && known {
				returns = append(returns, now)
			}
			live, known = next, known || next
			var listed []fleet.Upstream
			if live {
				listed = append(listed, fleet.Upstream{ID: "e1", State: fleet.Live})
			}
			presences.Observe(now, listed)
			if !presences.IsHeldOff(now, "e1") {
				continue
			}
			must.True(t, hasFlapped(returns, now.Add(-HoldMax)))
		}
	})
}

// hasFlapped tells whether a return after a time was at least the FlapLimit-th of its window.
func hasFlapped(returns []time.Time, after time.Time) bool {
	for i, at := range returns {
		first := i - FlapLimit + 1
		if at.After(after) && first >= 0 && at.Sub(returns[first]) <= FlapWindow {
			return true
		}
	}
	return false
}

// An upstream that comes and goes every few seconds stops getting work until it stays.
func TestFlappingUpstreamIsHeldOffUntilItStays(t *testing.T) {
	view, now := NewView(fleet.Host{ID: "self"}), epoch
	upstream := fleet.Upstream{ID: "e1", Pool: "p", State: fleet.Live}
	usablePeriods := 0
	for i := range 40 {
		now = now.Add(2 * time.Second)
		listed := []fleet.Upstream{upstream}
		if i%2 == 1 {
			listed[0].State = fleet.Leaving
		}
		view.TakeList(now, nil, listed)
		if i%2 == 0 && !view.IsHeldOff(now, "e1") {
			usablePeriods++
		}
	}
	must.Eq(t, FlapLimit, usablePeriods)
	view.TakeList(now.Add(2*time.Second), nil, []fleet.Upstream{upstream})
	must.False(t, view.IsHeldOff(now.Add(2*time.Second+HoldMax), "e1"))
}

// An empty or shrunken list is not believed at once; leaving members are.
func TestShrunkenListIsNotBelievedAtOnce(t *testing.T) {
	view := NewView(fleet.Host{ID: "self", State: fleet.Live})
	var routers []fleet.Host
	var upstreams []fleet.Upstream
	for i := range 10 {
		routers = append(routers, fleet.Host{ID: fleet.HostID(fmt.Sprint("h", i)), State: fleet.Live})
		upstreams = append(upstreams, fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprint("e", i)), Pool: "p", State: fleet.Live})
	}
	view.TakeList(epoch, routers, upstreams)
	shrunk := []fleet.Upstream{{ID: "e0", Pool: "p", State: fleet.Leaving}}
	must.Positive(t, view.TakeList(epoch.Add(time.Second), routers[:2], shrunk).Kept)
	must.SliceLen(t, 11, view.Routers(epoch.Add(time.Second)))
	must.SliceLen(t, 10, view.Upstreams("p"))
	must.Eq(t, fleet.Leaving, view.Upstreams("p")[0].State)
	view.TakeList(epoch.Add(time.Second+ShrinkHold), routers[:2], shrunk)
	must.SliceLen(t, 1, view.Upstreams("p"))
	must.SliceLen(t, 3, view.Routers(epoch.Add(time.Second+ShrinkHold)))

	view.TakeList(epoch.Add(time.Minute), routers, upstreams)
	view.TakeList(epoch.Add(time.Minute+time.Second), nil, nil)
	view.TakeList(epoch.Add(time.Minute+EmptyHold), nil, nil)
	must.SliceLen(t, 10, view.Upstreams("p"))
	view.TakeList(epoch.Add(time.Minute+time.Second+EmptyHold), nil, nil)
	must.SliceEmpty(t, view.Upstreams("p"))
	// A half that leaves, such as of two data centres, is believed at once.
	view.TakeList(epoch.Add(time.Hour), routers, upstreams)
	view.TakeList(epoch.Add(time.Hour+time.Second), routers[:5], upstreams[:5])
	must.SliceLen(t, 5, view.Upstreams("p"))
}
