package placement

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
)

// sendEvery10ms sends a request every 10 ms for a duration. Each ends at once with the outcome given
// for its upstream. It returns the number of requests on the first upstream in each second.
func sendEvery10ms(o *Owner, list []fleet.Upstream, from time.Time, duration time.Duration,
	outcome func(fleet.UpstreamID) fleet.Outcome) []int {
	const interval = 10 * time.Millisecond
	perSecond := make([]int, duration/second)
	for elapsed := time.Duration(0); elapsed < duration; elapsed += interval {
		now := from.Add(elapsed)
		if elapsed%(500*time.Millisecond) == 0 {
			for _, upstream := range list {
				o.Report(now, upstream.ID, fleet.LoadReport{Incarnation: "one"})
			}
		}
		o.Tick(now)
		decision := o.Acquire(now, Request{
			Ticket: admission.Ticket{From: "entry", Nonce: uint64(now.UnixNano())}, Chat: rendezvous.Hash(fmt.Sprint(now.UnixNano())),
			Team: "team", Prefill: 100, Decode: 100, Deadline: now.Add(second),
		})
		if decision.Refusal != nil || decision.Waiting {
			continue
		}
		on := decision.Grant.Upstream.ID
		if on == list[0].ID {
			perSecond[elapsed/second]++
		}
		o.Complete(now, fleet.Completion{Grant: decision.Grant.ID, Upstream: on, Outcome: outcome(on)})
	}
	return perSecond
}

// An upstream that accepts no connection, or fails every request, receives only single probes after
// at most 5 s, the limit for a departed upstream, and is used again once it answers.
func TestDeadUpstreamGetsOnlyProbes(t *testing.T) {
	for _, failure := range []fleet.Outcome{fleet.OutcomeUnsent, fleet.OutcomeFailed} {
		list := upstreams(8)
		o := NewOwner("router-0", 1, testSettings())
		o.SetUpstreams(start, list)
		alive := func(fleet.UpstreamID) fleet.Outcome { return fleet.OutcomeComplete }
		dead := func(id fleet.UpstreamID) fleet.Outcome {
			if id == list[0].ID {
				return failure
			}
			return fleet.OutcomeComplete
		}
		sendEvery10ms(o, list, start, 5*second, alive)
		lost := sendEvery10ms(o, list, start.Add(5*second), 25*second, dead)
		back := sendEvery10ms(o, list, start.Add(30*second), 20*second, alive)
		t.Logf("%s: requests a second on the dead upstream %v, after its return %v", failure, lost, back)
		probes := 0
		for _, count := range lost[5:] {
			probes += count
		}
		must.LessEq(t, 20/int(maxOpenDuration/second)+1, probes)
		must.Positive(t, back[len(back)-1])
	}
}

// A request that fails on every upstream does not open their breakers, as other requests complete
// in between.
func TestFailingRequestOpensNoBreaker(t *testing.T) {
	list := upstreams(4)
	o := NewOwner("router-0", 1, testSettings())
	o.SetUpstreams(start, list)
	count := 0
	outcome := func(fleet.UpstreamID) fleet.Outcome {
		count++
		if count%4 == 0 {
			return fleet.OutcomeFailed
		}
		return fleet.OutcomeComplete
	}
	perSecond := sendEvery10ms(o, list, start, 10*second, outcome)
	for _, got := range perSecond {
		must.Positive(t, got)
	}
}
