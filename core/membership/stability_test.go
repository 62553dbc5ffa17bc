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

// For any sequence of host lists, an upstream is held down only after FlapThreshold returns in
// the window, and for at most HoldDownMax after the last of them.
func TestOnlyFlappingUpstreamsAreHeldDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, detector := epoch, NewFlapDetector()
		var returns []time.Time
		live, listedBefore := false, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second)
			next := rapid.Bool().Draw(t, "live")
			if next && !live && listedBefore {
				returns = append(returns, now)
			}
			live, listedBefore = next, listedBefore || next
			var listed []fleet.Upstream
			if live {
				listed = append(listed, fleet.Upstream{ID: "e1", State: fleet.Live})
			}
			detector.Observe(now, listed)
			if !detector.IsHeldDown(now, "e1") {
				continue
			}
			must.True(t, hasFlapped(returns, now.Add(-HoldDownMax)))
		}
	})
}

// hasFlapped reports whether a return later than after was at least the FlapThreshold-th of its
// window.
func hasFlapped(returns []time.Time, after time.Time) bool {
	for i, at := range returns {
		first := i - FlapThreshold + 1
		if at.After(after) && first >= 0 && at.Sub(returns[first]) <= FlapWindow {
			return true
		}
	}
	return false
}

// An upstream that leaves and rejoins the host list every few seconds gets no work until it
// has stayed live for the hold-down time.
func TestFlappingUpstreamIsHeldDownUntilStable(t *testing.T) {
	view, now := NewView(fleet.Host{ID: "self"}), epoch
	upstream := fleet.Upstream{ID: "e1", Pool: "p", State: fleet.Live}
	usablePeriods := 0
	for i := range 40 {
		now = now.Add(2 * time.Second)
		listed := []fleet.Upstream{upstream}
		if i%2 == 1 {
			listed[0].State = fleet.Leaving
		}
		view.ApplyList(now, nil, listed)
		if i%2 == 0 && !view.IsHeldDown(now, "e1") {
			usablePeriods++
		}
	}
	must.Eq(t, FlapThreshold, usablePeriods)
	view.ApplyList(now.Add(2*time.Second), nil, []fleet.Upstream{upstream})
	must.False(t, view.IsHeldDown(now.Add(2*time.Second+HoldDownMax), "e1"))
}

// Members that are missing from an empty or shrunken list are removed after a delay only, so that
// a fault of the platform doesn't empty the fleet. Members listed as leaving are leaving at once.
func TestShrunkListIsAppliedAfterDelay(t *testing.T) {
	view := NewView(fleet.Host{ID: "self", State: fleet.Live})
	var routers []fleet.Host
	var upstreams []fleet.Upstream
	for i := range 10 {
		routers = append(routers, fleet.Host{ID: fleet.HostID(fmt.Sprint("h", i)), State: fleet.Live})
		upstreams = append(upstreams, fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprint("e", i)), Pool: "p", State: fleet.Live})
	}
	view.ApplyList(epoch, routers, upstreams)
	shrunk := []fleet.Upstream{{ID: "e0", Pool: "p", State: fleet.Leaving}}
	must.Positive(t, view.ApplyList(epoch.Add(time.Second), routers[:2], shrunk).Kept)
	must.SliceLen(t, 11, view.Routers(epoch.Add(time.Second)))
	must.SliceLen(t, 10, view.Upstreams("p"))
	must.Eq(t, fleet.Leaving, view.Upstreams("p")[0].State)
	view.ApplyList(epoch.Add(time.Second+ShrunkListDelay), routers[:2], shrunk)
	must.SliceLen(t, 1, view.Upstreams("p"))
	must.SliceLen(t, 3, view.Routers(epoch.Add(time.Second+ShrunkListDelay)))

	view.ApplyList(epoch.Add(time.Minute), routers, upstreams)
	view.ApplyList(epoch.Add(time.Minute+time.Second), nil, nil)
	view.ApplyList(epoch.Add(time.Minute+EmptyListDelay), nil, nil)
	must.SliceLen(t, 10, view.Upstreams("p"))
	view.ApplyList(epoch.Add(time.Minute+time.Second+EmptyListDelay), nil, nil)
	must.SliceEmpty(t, view.Upstreams("p"))
	// A list that lacks just half of the members, such as one of two data centres, applies at once.
	view.ApplyList(epoch.Add(time.Hour), routers, upstreams)
	view.ApplyList(epoch.Add(time.Hour+time.Second), routers[:5], upstreams[:5])
	must.SliceLen(t, 5, view.Upstreams("p"))
}
