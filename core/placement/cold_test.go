package placement

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// acquireMany sends many requests at once and returns the grants.
func acquireMany(o *Owner, now time.Time, requests int, firstNonce uint64) []fleet.Grant {
	var grants []fleet.Grant
	for i := range requests {
		decision := o.Acquire(now, request(firstNonce+uint64(i), 100, now.Add(second)))
		if !decision.Waiting && decision.Refusal == nil {
			grants = append(grants, decision.Grant)
		}
	}
	for _, decision := range o.Resolved() {
		if decision.Refusal == nil {
			grants = append(grants, decision.Grant)
		}
	}
	return grants
}

// complete ends grants with the same outcome.
func complete(o *Owner, now time.Time, grants []fleet.Grant, outcome fleet.Outcome, firstToken time.Duration) {
	for _, grant := range grants {
		o.Complete(now, fleet.Completion{Grant: grant.ID, Upstream: grant.Upstream.ID, Outcome: outcome, FirstToken: firstToken})
	}
}

// endAllGrants ends every grant, including those that waiting requests receive meanwhile.
func endAllGrants(o *Owner, now time.Time) {
	for len(o.grants) > 0 {
		for id := range o.grants {
			o.Complete(now, fleet.Completion{Grant: id, Outcome: fleet.OutcomeCancelled})
		}
	}
	o.Resolved()
}

// A pool of cold upstreams receives only its cold concurrency, though all routers send requests at
// once. Complete answers raise the limit.
func TestColdPoolRampsByItsAnswers(t *testing.T) {
	const count, cold = 8, 2
	o := NewOwner("router-1", 1, testSettings())
	o.SetUpstreams(start, upstreams(count))
	grants := acquireMany(o, start, 500, 1)
	must.Len(t, count*cold, grants)

	now := start.Add(200 * time.Millisecond)
	for id := range o.waiting {
		o.Abandon(now, id)
	}
	complete(o, now, grants, fleet.OutcomeComplete, 100*time.Millisecond)
	for _, upstream := range upstreams(count) {
		o.Report(now, upstream.ID, fleet.LoadReport{Incarnation: "1", Completed: cold, CacheEntries: cold})
	}
	must.Len(t, count*2*cold, acquireMany(o, now, 500, 1000))
}

// Each signal of a restart resets a warm upstream to its cold concurrency at once.
func TestColdStartCauses(t *testing.T) {
	const cold = 2
	triggers := map[ColdStartCause]func(o *Owner, now time.Time, grant fleet.Grant){
		CauseRequestFailed: func(o *Owner, now time.Time, grant fleet.Grant) {
			complete(o, now, []fleet.Grant{grant}, fleet.OutcomeFailed, 0)
		},
		CauseSlowFirstToken: func(o *Owner, now time.Time, grant fleet.Grant) {
			complete(o, now, []fleet.Grant{grant}, fleet.OutcomeComplete, 2*time.Second)
		},
		CauseIncarnationChanged: func(o *Owner, now time.Time, grant fleet.Grant) {
			o.Report(now, grant.Upstream.ID, fleet.LoadReport{Incarnation: "2"})
		},
		CauseCacheEmptied: func(o *Owner, now time.Time, grant fleet.Grant) {
			o.Report(now, grant.Upstream.ID, fleet.LoadReport{Incarnation: "1", Completed: 1000})
		},
	}
	for cause, trigger := range triggers {
		t.Run(string(cause), func(t *testing.T) {
			o := warmOwner(1)
			for i := range uint64(2 * minLatencySamples) {
				complete(o, start, acquireMany(o, start, 1, 100+i), fleet.OutcomeComplete, 100*time.Millisecond)
			}
			must.Eq(t, testSettings().MaxConcurrency, o.Stats(start).Upstreams[0].Allowed)
			trigger(o, start, acquireMany(o, start, 1, 1)[0])
			endAllGrants(o, start)
			must.Eq(t, cold, o.Stats(start).Upstreams[0].Allowed)
			must.Eq(t, cause, o.engines[0].ramp.cause)
			must.Len(t, cold, acquireMany(o, start, 100, 1000))
		})
	}
}

// A new owner limits an upstream to the cold concurrency until it reports its load, and counts the
// reported load from then on.
func TestNewOwnerGrantsLittleUntilReports(t *testing.T) {
	const count, cold, atEngine = 4, 2, 20
	o := NewOwner("router-2", 1, testSettings())
	list := upstreams(count)
	o.SetUpstreams(start, list)
	must.Len(t, count*cold, acquireMany(o, start, 200, 1))
	endAllGrants(o, start)
	now := start.Add(2 * maxReportLag)
	for _, upstream := range list {
		o.Report(now, upstream.ID, fleet.LoadReport{Incarnation: "1", Running: atEngine, Work: atEngine * 100, Completed: 1000, CacheEntries: 9})
	}
	granted := acquireMany(o, now, 200, 1000)
	must.Len(t, count*(testSettings().MaxConcurrency-atEngine), granted)
}

// Announced grants count as the new owner's until they complete.
func TestNewOwnerAdoptsAnnouncedGrants(t *testing.T) {
	old := warmOwner(1)
	grants := acquireMany(old, start, 10, 1)
	o := NewOwner("router-2", 1, testSettings())
	o.SetUpstreams(start, upstreams(1))
	var announcements []Announcement
	for _, grant := range grants {
		announcements = append(announcements, Announcement{Grant: grant.ID, Upstream: grant.Upstream.ID, Work: grant.Work})
	}
	o.Announce(start, announcements)
	o.Announce(start, announcements)
	must.Eq(t, len(grants), o.Stats(start).Upstreams[0].Running)
	must.Eq(t, fleet.Work(100*len(grants)), o.Stats(start).Upstreams[0].Load)
	complete(o, start, grants, fleet.OutcomeCancelled, 0)
	must.Eq(t, 0, o.Stats(start).Upstreams[0].Load)
}

// An owner whose process was paused discards its state: its epoch changes, waiting requests are
// refused, and it starts like a new owner.
func TestPausedOwnerStartsAgain(t *testing.T) {
	const cold = 2
	o := warmOwner(1)
	grants := acquireMany(o, start, 100, 1)
	must.Len(t, testSettings().MaxConcurrency, grants)
	must.Positive(t, o.Stats(start).Waiting)

	resumed := start.Add(MaxEventGap + time.Millisecond)
	fresh := acquireMany(o, resumed, 100, 1000)
	must.Len(t, cold, fresh)
	must.Eq(t, 2, o.Epoch())
	must.NotEq(t, grants[0].ID, fresh[0].ID)
	complete(o, resumed, grants, fleet.OutcomeComplete, time.Millisecond)
	must.Eq(t, cold, o.Stats(resumed).Upstreams[0].Running)
}

// Complete answers do not raise a new owner's limit before it knows the grants of other owners.
func TestNewOwnerDoesNotRampBeforeReports(t *testing.T) {
	const cold = 2
	o := NewOwner("router-2", 1, testSettings())
	o.SetUpstreams(start, upstreams(1))
	complete(o, start, acquireMany(o, start, cold, 1), fleet.OutcomeComplete, time.Millisecond)
	must.Len(t, cold, acquireMany(o, start, 100, 1000))
	endAllGrants(o, start)
	must.Greater(t, cold, len(acquireMany(o, start.Add(FirstReportTimeout), 100, 2000)))
}

// Upstreams that are full at their cold-start limit do not count in the mean, so that the others
// accept the requests that cold upstreams cannot.
func TestColdUpstreamsDoNotHoldBackWarmOnes(t *testing.T) {
	const count, lost, cold = 8, 6, 2
	o := warmOwner(count)
	for _, e := range o.engines[:lost] {
		o.Report(start, e.ID, fleet.LoadReport{Incarnation: "2"})
	}
	must.Len(t, lost*cold+(count-lost)*testSettings().MaxConcurrency, acquireMany(o, start, 300, 1))
}

// A request that ended before a report, but whose completion arrives after it, does not make the
// owner count foreign load as its own.
func TestLateCompletionCorrectsForeignLoad(t *testing.T) {
	const foreign = 5
	o := warmOwner(1)
	grants := acquireMany(o, start, 4, 1)
	now := start.Add(second)
	o.Report(now, grants[0].Upstream.ID, fleet.LoadReport{Incarnation: "1", Running: 3 + foreign, Work: 100 * (3 + foreign), CacheEntries: 9})
	must.Eq(t, 4+foreign-1, o.Stats(now).Upstreams[0].Running)
	o.Complete(now.Add(200*time.Millisecond), fleet.Completion{Grant: grants[0].ID, Outcome: fleet.OutcomeComplete, Age: 300 * time.Millisecond})
	must.Eq(t, 3+foreign, o.Stats(now).Upstreams[0].Running)
	must.Eq(t, 100*(3+foreign), o.Stats(now).Upstreams[0].Load)
}

// A grant whose request has not reached the upstream does not make the owner count foreign load as
// its own.
func TestGrantInFlightDoesNotHideForeignLoad(t *testing.T) {
	const foreign = 5
	o := warmOwner(1)
	grants := acquireMany(o, start, 1, 1)
	o.Report(start.Add(maxReportLag/2), grants[0].Upstream.ID, fleet.LoadReport{Incarnation: "1", Running: foreign, Work: 100 * foreign, CacheEntries: 9})
	must.Eq(t, 1+foreign, o.Stats(start).Upstreams[0].Running)
}

// A long prompt that has left the cache is not a signal of a restart, although its first token
// takes long.
func TestLongPromptCausesNoColdStart(t *testing.T) {
	o := warmOwner(1)
	for i := range uint64(2 * minLatencySamples) {
		complete(o, start, acquireMany(o, start, 1, 100+i), fleet.OutcomeComplete, 100*time.Millisecond)
	}
	long := request(1, 100, start.Add(second))
	long.Prefill = 8000
	o.memory.record(long.Chat, o.engines[0], long.Prefill)
	grant := o.Acquire(start, long).Grant
	must.Eq(t, 100, grant.Work)
	complete(o, start, []fleet.Grant{grant}, fleet.OutcomeComplete, 900*time.Millisecond)
	must.False(t, o.engines[0].ramp.isCold())
}
