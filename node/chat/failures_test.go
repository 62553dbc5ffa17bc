package chat_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/node/chat"
	"agateswitch/port"
	"agateswitch/standin/engine"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// freshWithin is the users' goal: the first try of a fresh connection after silence.
const freshWithin = 3 * time.Second

// cancelledWithin is how long an engine may go on with work that nobody waits for.
const cancelledWithin = 3 * time.Second

// failureCase is a run of plans of an engine's connections, and what the caller must get.
type failureCase struct {
	name    string
	stream  bool
	plans   []engine.Plan
	outcome string
	// longest is the most time without progress that the caller may see.
	longest time.Duration
}

func repeat(plan engine.Plan, times int) []engine.Plan {
	plans := make([]engine.Plan, times)
	for i := range plans {
		plans[i] = plan
	}
	return plans
}

func failureCases() []failureCase {
	plan := func(fault engine.Fault, after int) []engine.Plan { return []engine.Plan{{Fault: fault, After: after}} }
	wholeTime := (tokens + 1) * interval
	return []failureCase{
		{"stream, no fault", true, nil, "complete", freshWithin},
		{"stream, silent at its start", true, plan(engine.FaultSilent, 0), "complete", freshWithin},
		{"stream, silent after 5", true, plan(engine.FaultSilent, 5), "complete", freshWithin},
		{"stream, silent on two connections", true, repeat(engine.Plan{Fault: engine.FaultSilent, After: 5}, 2), "complete", freshWithin},
		{"stream, cut after 5", true, plan(engine.FaultTruncated, 5), "complete", freshWithin},
		{"stream, cut on every connection but the last", true, repeat(engine.Plan{Fault: engine.FaultTruncated, After: 1}, tokens-1), "complete", freshWithin},
		{"stream, ended without its end", true, plan(engine.FaultEnd, 5), "complete", freshWithin},
		{"stream, every event twice", true, plan(engine.FaultTwice, 0), "complete", freshWithin},
		{"stream, an event missing", true, plan(engine.FaultGap, 5), "complete", freshWithin},
		{"stream, crossed", true, plan(engine.FaultMismatched, 0), "complete", freshWithin},
		{"stream, lost before it ran", true, plan(engine.FaultLost, 0), "complete", freshWithin},
		{"stream, engine overloaded", true, plan(engine.FaultReject, 0), "complete", freshWithin},
		{"stream, only pings after 5", true, plan(engine.FaultPings, 5), "complete", exchange.KeepAliveFactor*silence + time.Second},
		{"stream, only pings for ever", true, append(plan(engine.FaultPings, 5), repeat(engine.Plan{Fault: engine.FaultPings}, 9)...), "cut, said so", 0},
		{"stream, forgotten at its start", true, plan(engine.FaultForget, 0), "complete", freshWithin},
		{"stream, forgotten after 5", true, plan(engine.FaultForget, 5), "cut, said so", 0},
		{"stream, cut for ever", true, repeat(engine.Plan{Fault: engine.FaultTruncated, After: 0}, 200), "unknown", 0},
		{"whole, no fault", false, nil, "complete", wholeTime + freshWithin},
		{"whole, silent", false, plan(engine.FaultSilent, 0), "complete", wholeTime + freshWithin},
		{"whole, cut", false, plan(engine.FaultTruncated, 0), "complete", 2*wholeTime + freshWithin},
		{"whole, crossed", false, plan(engine.FaultMismatched, 0), "complete", 2*wholeTime + freshWithin},
		{"whole, lost before it ran", false, plan(engine.FaultLost, 0), "complete", wholeTime + freshWithin},
		{"whole, engine overloaded", false, plan(engine.FaultReject, 0), "complete", wholeTime + freshWithin},
		{"whole, cut for ever", false, repeat(engine.Plan{Fault: engine.FaultTruncated}, 200), "unknown", 0},
	}
}

// Every failure ends in the complete answer or in a true refusal, within the limits.
func TestFailuresEndWholeOrInATrueRefusal(t *testing.T) {
	for i, c := range failureCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				b.engines["e1"].Inject(c.plans...)
				if c.outcome != "complete" {
					b.engines["e2"].Inject(c.plans...)
				}
				id := fleet.RequestID(fmt.Sprintf("r%d", i))
				got := newCaller()
				b.service.Run(t.Context(), call(id, c.stream), got)
				b.checkInvariants(t, id, got)
				t.Logf("%-45s %-13s longest wait %-6s in %s", c.name, got.outcome(), got.longest, time.Since(got.started))
				must.Eq(t, c.outcome, got.outcome())
				must.Eq(t, 1, got.answers)
				if c.longest > 0 {
					must.LessEq(t, c.longest, got.longest)
				}
			})
		})
	}
}

// A connection that loses everything while new ones work costs the caller no answer:
// in the middle of an answer, before it, and when it waited in the pool.
func TestSilentConnectionCostsNoAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, when := range []time.Duration{0, interval / 2, 7*interval + interval/2} {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				var warming sync.WaitGroup
				for i := range 2 {
					warming.Go(func() {
						b.service.Run(t.Context(), call(fleet.RequestID(fmt.Sprint("warm", i)), stream), newCaller())
					})
				}
				warming.Wait()
				must.Eq(t, 2, b.network.Dials(), must.Sprint("the pool holds two connections"))
				time.AfterFunc(when, b.network.Blackhole)
				synctest.Wait()
				got := newCaller()
				b.service.Run(t.Context(), call("r1", stream), got)
				b.checkInvariants(t, "r1", got)
				must.Eq(t, "complete", got.outcome())
				must.LessEq(t, freshWithin+(tokens+1)*interval, got.longest)
			})
		}
	}
}

// An engine that stops answering is given up within bounds, with a final answer at once.
func TestUnreachableEngineInMidStreamEndsInAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		time.AfterFunc(5*interval+interval/2, func() { b.servers[0].Close() })
		got := newCaller()
		b.service.Run(t.Context(), call("r1", true), got)
		b.checkInvariants(t, "r1", got)
		must.Eq(t, "cut, said so", got.outcome())
		must.Eq(t, fleet.CodeResumeImpossible, got.refusal.Code)
		must.Eq(t, fleet.DidRun, got.refusal.Ran)
		must.LessEq(t, 5*time.Second, time.Since(got.started))
	})
}

// Any other router gives the rest of a stream, without state of the first.
func TestAnotherRouterResumesAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		first := newCaller()
		life, die := context.WithCancel(t.Context())
		time.AfterFunc(6*interval+interval/2, func() {
			b.engines["e1"].Inject(engine.Plan{Fault: engine.FaultTruncated, After: 3})
			b.network.Blackhole()
		})
		done := make(chan struct{})
		go func() { defer close(done); b.service.Run(life, call("r1", true), first) }()
		<-time.After(7 * interval)
		synctest.Wait()
		other := chat.New(b.placer, b.upstreams, versions{}, port.Telemetry{Log: log.New(io.Discard)})
		rest := newCaller()
		rest.from = len(first.ids)
		other.Resume(t.Context(), chat.Resumption{
			Request: "r1", Upstream: b.placer.upstreams[0], After: int64(rest.from), Silence: silence,
		}, rest)
		b.checkInvariants(t, "r1", rest)
		must.Eq(t, "complete", rest.outcome())
		must.Eq(t, 7, rest.from)
		die()
		<-done
	})
}

// joined are peers of which each reaches the only other router.
type joined struct{ handlers map[string]port.PeerHandler }

func (j joined) Handle(method string, handler port.PeerHandler) { j.handlers[method] = handler }

func (j joined) Call(ctx context.Context, _ fleet.HostID, method string, request, _ any) error {
	_, err := j.handlers[method](ctx, "second", func(into any) error {
		reflect.ValueOf(into).Elem().Set(reflect.ValueOf(request))
		return nil
	})
	return err
}

// many is how many tokens a stream has that goes on for 10 s.
const many = 200

func withTokens(call chat.Call, count int) chat.Call {
	call.Body = bytes.Replace(call.Body, []byte(`"max_tokens":20`), fmt.Appendf(nil, `"max_tokens":%d`, count), 1)
	return call
}

// asking are the peers of a router that others do not call.
type asking struct{ joined }

func (asking) Handle(string, port.PeerHandler) {}

// A caller that resumes at another router and then leaves the first keeps its work, also
// when it leaves the first before it resumes.
func TestCallerThatResumesElsewhereKeepsItsWork(t *testing.T) {
	for _, resumesAfter := range []time.Duration{-time.Second, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			peers := joined{handlers: map[string]port.PeerHandler{}}
			b.service.Join(peers)
			long := withTokens(call("r1", true), many)
			first, rest := newCaller(), newCaller()
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(2*time.Second, leave)
			var both sync.WaitGroup
			both.Go(func() { b.service.Run(ctx, long, first) })
			<-time.After(2*time.Second + resumesAfter)
			other := chat.New(b.placer, b.upstreams, versions{}, port.Telemetry{Log: log.New(io.Discard)})
			other.Join(asking{peers})
			other.Resume(t.Context(), chat.Resumption{
				Request: "r1", Upstream: b.placer.upstreams[0], Host: "first", Silence: silence,
			}, rest)
			both.Wait()
			other.Wait()
			must.True(t, rest.done)
			must.Eq(t, many, len(rest.ids))
			must.Zero(t, b.engines["e1"].Counts().Cancelled)
			<-time.After(many * interval)
		})
	}
}

// Retries on other engines stay within the budget when every engine rejects.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		const calls = 100
		b.engines["e1"].Inject(repeat(engine.Plan{Fault: engine.FaultReject}, 2*calls)...)
		b.engines["e2"].Inject(repeat(engine.Plan{Fault: engine.FaultReject}, 2*calls)...)
		for i := range calls {
			b.service.Run(t.Context(), call(fleet.RequestID(fmt.Sprint(i)), true), newCaller())
		}
		retries := len(b.placer.outcomes) - calls
		must.Positive(t, retries)
		must.LessEq(t, int(admission.DefaultRetrySettings().Reserve), retries)
	})
}

// A caller that goes away ends the engine's work.
func TestCallerThatLeavesCancelsTheWork(t *testing.T) {
	for _, stream := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			ctx, leave := context.WithCancel(t.Context())
			got := newCaller()
			got.leave, got.leaveAfter = leave, 3
			if !stream {
				time.AfterFunc(5*interval, leave)
			}
			b.service.Run(ctx, withTokens(call("r1", stream), many), got)
			left := time.Now()
			b.service.Wait()
			must.LessEq(t, cancelledWithin, time.Since(left))
			must.Eq(t, int64(1), b.engines["e1"].Counts().Cancelled)
			must.Eq(t, []fleet.Outcome{fleet.OutcomeCancelled}, b.placer.outcomes)
			b.checkInvariants(t, "r1", got)
			<-time.After(2 * interval)
			must.Zero(t, b.engines["e1"].Counts().Running)
		})
	}
}

// A caller that left while its call waited for a grant has nothing sent.
func TestCallerThatLeftWhileQueuedHasNothingSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		ctx, leave := context.WithCancel(t.Context())
		leave()
		b.service.Run(ctx, call("r1", true), newCaller())
		must.Zero(t, b.network.Dials())
		must.Eq(t, []fleet.Outcome{fleet.OutcomeCancelled}, b.placer.outcomes)
	})
}
