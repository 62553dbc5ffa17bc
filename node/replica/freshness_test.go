package replica

import (
	"context"
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

// A watch that had delivered a large desired state waited to be replaced by separate ones. If the state in force was a
// smaller one, read by a confirmation meanwhile or kept over an older version, nothing replaced the watch, and the router
// followed the store no more.
func TestLeaveMarkIsAppliedAfterALargeStateThatIsNotInForce(t *testing.T) {
	const latestVersion = 1000
	cases := map[string]func(f testFleet, version int){
		"outdated": func(f testFleet, version int) {
			f.store.put(desiredKey, largeState(version))
		},
	}
	for _, after := range []time.Duration{80 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		cases["shrinks after "+after.String()] = func(f testFleet, version int) {
			f.store.put(desiredKey, largeState(latestVersion+2*version+1))
			time.Sleep(after)
			f.store.put(desiredKey, versioned(latestVersion+2*version+2))
		}
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			runFleetWithState(t, 2, versioned(latestVersion), func(t *testing.T, f testFleet) {
				f.stopUpstreams()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f.refuseUnknownKeys(ctx)
				for round := range 8 {
					change(f, round)
					time.Sleep(applyLimit)
					mark := f.store.put(upstreamKey+"leaving", []byte(`{"state": "draining"}`))
					took, late := f.applyTime(upstreamKey+"leaving", mark, leaveLimit)
					must.LessEq(t, leaveLimit, took, must.Sprintf("round %d, last: %s", round, late))
					time.Sleep(3*time.Second + time.Duration(round)*watchWait/7)
				}
			})
		})
	}
}
