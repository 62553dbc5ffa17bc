package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ownerWithBusyWarmUpstream returns an owner of two upstreams and a request of a chat of 8,000
// tokens. The chat last ran on the first upstream, which is just above its bound.
func ownerWithBusyWarmUpstream(perToken time.Duration) (*Owner, Request) {
	o := warmOwner(2)
	o.progress = progress{firstToken: 100 * time.Millisecond, perToken: perToken}
	o.progressUpdated = start
	for i, running := range []int{15, 10} {
		e := o.engines[i]
		e.ramp.nanosPerPromptToken = float64(100 * time.Microsecond)
		for range running {
			e.addGrant(start, 100)
		}
	}
	returning := request(1, 100, start.Add(second))
	returning.Prefill = 8000
	o.memory.record(returning.Chat, o.engines[0], 8000)
	return o, returning
}

// A request waits briefly for the upstream that has its prefix cached when that is faster than
// computing the prompt elsewhere. It does not wait when the upstream's load falls too slowly.
func TestShortWaitForWarmUpstream(t *testing.T) {
	o, returning := ownerWithBusyWarmUpstream(10 * time.Millisecond)
	must.True(t, o.Acquire(start, returning).Waiting)
	// Further work raises the mean, so that the first upstream is within its bound.
	o.engines[1].addGrant(start, 300)
	o.Tick(start.Add(200 * time.Millisecond))
	resolved := o.Resolved()
	must.Len(t, 1, resolved)
	must.Eq(t, o.engines[0].ID, resolved[0].Grant.Upstream.ID)
	must.True(t, resolved[0].Grant.Warm)

	o, returning = ownerWithBusyWarmUpstream(10 * time.Second)
	decision := o.Acquire(start, returning)
	must.False(t, decision.Waiting)
	must.Eq(t, o.engines[1].ID, decision.Grant.Upstream.ID)
}

// A request that would miss its deadline after a wait runs elsewhere at once.
func TestLateRequestDoesNotWaitForWarmUpstream(t *testing.T) {
	o, returning := ownerWithBusyWarmUpstream(10 * time.Millisecond)
	returning.Deadline = start.Add(50 * time.Millisecond)
	decision := o.Acquire(start, returning)
	must.Nil(t, decision.Refusal)
	must.Eq(t, o.engines[1].ID, decision.Grant.Upstream.ID)
}

// The wait for a warm upstream whose load does not fall ends after maxWarmWait, and the request
// runs elsewhere.
func TestWarmWaitEnds(t *testing.T) {
	o, returning := ownerWithBusyWarmUpstream(10 * time.Millisecond)
	must.True(t, o.Acquire(start, returning).Waiting)
	for range 20 {
		o.engines[0].addGrant(start, 100)
	}
	o.Tick(start.Add(maxWarmWait + time.Millisecond))
	resolved := o.Resolved()
	must.Len(t, 1, resolved)
	must.Eq(t, o.engines[1].ID, resolved[0].Grant.Upstream.ID)
}
