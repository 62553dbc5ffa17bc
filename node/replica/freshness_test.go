package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A router whose watchers do not get the store's responses any more used to rely on their copies for 3.5 s, which
// is longer than the deadline of some installations and, with the call that follows, close to that of others.
func TestLeaveMarkIsInForceByTheDeadlineWhileWatchersStall(t *testing.T) {
	for _, deadline := range []time.Duration{4 * time.Second, 3 * time.Second, 2 * time.Second} {
		for _, stalled := range []int{1, 2} {
			runFleetWithDeadline(t, 20, largeState(0), deadline, func(t *testing.T, f testFleet) {
				f.stopUpstreams()
				for phase := range 8 {
					time.Sleep(6*time.Second + time.Duration(phase)*watchWait/7)
					for _, r := range f.routers[:stalled] {
						r.stalled.Store(true)
					}
					mark := f.store.put(upstreamKey+"leaving", []byte(`{"state": "draining"}`))
					took, late := applyTimeOf(f.routers[stalled:], upstreamKey+"leaving", mark, deadline)
					must.LessEq(t, deadline, took, must.Sprintf("watchers stalled: %d, phase %d, last: %s", stalled, phase, late))
					for _, r := range f.routers[:stalled] {
						r.stalled.Store(false)
					}
				}
			})
		}
	}
}

// A router that had lost the store while it watched for itself counted as one that regains it at its next watch of its
// own, also long after. It then postponed removals by 2.3 s, as after an outage, and kept no deadline.
func TestRemovalIsNotPostponedByALossThatIsOver(t *testing.T) {
	const deadline = 3 * time.Second
	runFleetWithDeadline(t, 20, largeState(0), deadline, func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		f.store.put(engineKey, versioned(1))
		for _, lost := range []bool{true, false} {
			for _, r := range f.routers {
				r.isolated.Store(lost)
			}
			time.Sleep(10 * time.Second)
		}
		for _, r := range f.routers[:2] {
			r.stalled.Store(true)
		}
		f.store.remove(engineKey)
		time.Sleep(deadline)
		for _, r := range f.routers[2:] {
			must.Eq(t, "", string(r.value(engineKey)), must.Sprint(r.id))
		}
	})
}
