package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// busyOwner has two upstreams, of which the first, where a chat of 8,000 tokens last ran, is
// just above its bound.
func busyOwner(perToken time.Duration) (*Owner, Request) {
	o := warmOwner(2)
	o.progress = progress{firstToken: 100 * time.Millisecond, perToken: perToken}
	o.advanced = start
	for i, running := range []int{15, 10} {
		e := o.engines[i]
		e.ramp.pace = float64(100 * time.Microsecond)
		for range running {
			e.take(start, 100)
		}
	}
	returning := request(1, 100, start.Add(second))
	returning.Prefill = 8000
	o.memory.remember(returning.Chat, o.engines[0], 8000)
	return o, returning
}

// A request waits a little for the upstream that has its prefix, when that is sooner than
// computing the prompt elsewhere; it does not wait when the upstream takes longer to drain.
func TestWarmUpstreamIsWorthAShortWait(t *testing.T) {
	o, returning := busyOwner(10 * time.Millisecond)
	must.True(t, o.Acquire(start, returning).Waiting)
	// Work that arrives meanwhile raises the mean.
	o.engines[1].take(start, 300)
	o.Tick(start.Add(200 * time.Millisecond))
	resolved := o.Resolved()
	must.Len(t, 1, resolved)
	must.Eq(t, o.engines[0].ID, resolved[0].Grant.Upstream.ID)
	must.True(t, resolved[0].Grant.Warm)

	o, returning = busyOwner(10 * time.Second)
	decision := o.Acquire(start, returning)
	must.False(t, decision.Waiting)
	must.Eq(t, o.engines[1].ID, decision.Grant.Upstream.ID)
}

// A request that would be late after a wait runs elsewhere at once.
func TestLateRequestDoesNotWaitForWarmUpstream(t *testing.T) {
	o, returning := busyOwner(10 * time.Millisecond)
	returning.Deadline = start.Add(50 * time.Millisecond)
	decision := o.Acquire(start, returning)
	must.Nil(t, decision.Refusal)
	must.Eq(t, o.engines[1].ID, decision.Grant.Upstream.ID)
}

// A wait for a warm upstream that does not drain ends in time for a run elsewhere.
func TestWarmWaitEnds(t *testing.T) {
	o, returning := busyOwner(10 * time.Millisecond)
	must.True(t, o.Acquire(start, returning).Waiting)
	for range 20 {
		o.engines[0].take(start, 100)
	}
	o.Tick(start.Add(maxWarmWait + time.Millisecond))
	resolved := o.Resolved()
	must.Len(t, 1, resolved)
	must.Eq(t, o.engines[1].ID, resolved[0].Grant.Upstream.ID)
}
