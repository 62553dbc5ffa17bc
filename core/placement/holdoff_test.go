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

// probeRun sends a request every 10 ms for a time. Each ends at once, as outcome tells for
// its upstream. It returns how many requests the first upstream got in each second.
func probeRun(o *Owner, list []fleet.Upstream, from time.Time, length time.Duration,
	outcome func(fleet.UpstreamID) fleet.Outcome) []int {
	const interval = 10 * time.Millisecond
	perSecond := make([]int, length/second)
	for passed := time.Duration(0); passed < length; passed += interval {
		now := from.Add(passed)
		if passed%(500*time.Millisecond) == 0 {
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
			perSecond[passed/second]++
		}
		o.Complete(now, fleet.Completion{Grant: decision.Grant.ID, Upstream: on, Outcome: outcome(on)})
	}
	return perSecond
}

// An upstream that takes no connection gets nothing but single probes within 5 s, the time
// in which a leaving upstream has to be left alone, and is used again once it answers.
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
		probeRun(o, list, start, 5*second, alive)
		lost := probeRun(o, list, start.Add(5*second), 25*second, dead)
		back := probeRun(o, list, start.Add(30*second), 20*second, alive)
		t.Logf("%s: requests a second on the dead upstream %v, after its return %v", failure, lost, back)
		probes := 0
		for _, count := range lost[5:] {
			probes += count
		}
		must.LessEq(t, 20/int(holdMax/second)+1, probes)
		must.Positive(t, back[len(back)-1])
	}
}

// One request that fails wherever it runs does not take upstreams out of use.
func TestPoisonousRequestHoldsNoUpstream(t *testing.T) {
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
	perSecond := probeRun(o, list, start, 10*second, outcome)
	for _, got := range perSecond {
		must.Positive(t, got)
	}
}
