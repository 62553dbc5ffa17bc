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

// maxReconnectTime is the required limit for the first new connection after a connection became
// silent.
const maxReconnectTime = 3 * time.Second

// maxCancelTime is how long an engine may continue work after its caller disconnected.
const maxCancelTime = 3 * time.Second

// failureCase lists the faults of an engine's successive connections, and the outcome that the caller
// must see.
type failureCase struct {
	name    string
	stream  bool
	plans   []engine.Plan
	outcome string
	// maxGap is the longest time without progress that the caller may see; 0 means any.
	maxGap time.Duration
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
	bufferedTime := (tokens + 1) * interval
	return []failureCase{
		{"stream, no fault", true, nil, "complete", maxReconnectTime},
		{"stream, silent at its start", true, plan(engine.FaultSilent, 0), "complete", maxReconnectTime},
		{"stream, silent after 5", true, plan(engine.FaultSilent, 5), "complete", maxReconnectTime},
		{"stream, silent on two connections", true, repeat(engine.Plan{Fault: engine.FaultSilent, After: 5}, 2), "complete", maxReconnectTime},
		{"stream, cut after 5", true, plan(engine.FaultTruncated, 5), "complete", maxReconnectTime},
		{"stream, cut on every connection but the last", true, repeat(engine.Plan{Fault: engine.FaultTruncated, After: 1}, tokens-1), "complete", maxReconnectTime},
		{"stream, ended without its end", true, plan(engine.FaultEnd, 5), "complete", maxReconnectTime},
		{"stream, every event twice", true, plan(engine.FaultTwice, 0), "complete", maxReconnectTime},
		{"stream, an event missing", true, plan(engine.FaultGap, 5), "complete", maxReconnectTime},
		{"stream, crossed", true, plan(engine.FaultMismatched, 0), "complete", maxReconnectTime},
		{"stream, lost before it ran", true, plan(engine.FaultLost, 0), "complete", maxReconnectTime},
		{"stream, engine overloaded", true, plan(engine.FaultReject, 0), "complete", maxReconnectTime},
		{"stream, only pings after 5", true, plan(engine.FaultPings, 5), "complete", exchange.KeepAliveFactor*silence + time.Second},
		{"stream, only pings for ever", true, append(plan(engine.FaultPings, 5), repeat(engine.Plan{Fault: engine.FaultPings}, 9)...), "cut, said so", 0},
		{"stream, forgotten at its start", true, plan(engine.FaultForget, 0), "complete", maxReconnectTime},
		{"stream, forgotten after 5", true, plan(engine.FaultForget, 5), "cut, said so", 0},
		{"stream, cut for ever", true, repeat(engine.Plan{Fault: engine.FaultTruncated, After: 0}, 200), "unknown", 0},
		{"whole, no fault", false, nil, "complete", bufferedTime + maxReconnectTime},
		{"whole, silent", false, plan(engine.FaultSilent, 0), "complete", bufferedTime + maxReconnectTime},
		{"whole, cut", false, plan(engine.FaultTruncated, 0), "complete", 2*bufferedTime + maxReconnectTime},
		{"whole, crossed", false, plan(engine.FaultMismatched, 0), "complete", 2*bufferedTime + maxReconnectTime},
		{"whole, lost before it ran", false, plan(engine.FaultLost, 0), "complete", bufferedTime + maxReconnectTime},
		{"whole, engine overloaded", false, plan(engine.FaultReject, 0), "complete", bufferedTime + maxReconnectTime},
		{"whole, cut for ever", false, repeat(engine.Plan{Fault: engine.FaultTruncated}, 200), "unknown", 0},
	}
}

// Every failure of an engine's connections ends in the complete answer, or in a refusal that correctly
// states whether the request ran, within the time limits.
func TestFailuresEndInCompleteAnswerOrCorrectRefusal(t *testing.T) {
	for i, c := range failureCases() {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t)
				b.engines["e1"].Inject(c.plans...)
				if c.outcome != "complete" {
					b.engines["e2"].Inject(c.plans...)
				}
				id := fleet.RequestID(fmt.Sprintf("r%d", i))
				got := newCaller()
				b.service.Run(t.Context(), call(id, c.stream), got)
				b.checkInvariants(t, id, got)
				t.Logf("%-45s %-13s longest wait %-6s in %s", c.name, got.outcome(), got.longestGap, time.Since(got.started))
				must.Eq(t, c.outcome, got.outcome())
				must.Eq(t, 1, got.answers)
				if c.maxGap > 0 {
					must.LessEq(t, c.maxGap, got.longestGap)
				}
			})
		})
	}
}

// The caller receives its complete answer if a connection silently drops all packets while new
// connections work: during an answer, before it, and while the connection is idle in the pool.
func TestSilentConnectionLosesNoAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		for _, when := range []time.Duration{0, interval / 2, 7*interval + interval/2} {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t)
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
				must.LessEq(t, maxReconnectTime+(tokens+1)*interval, got.longestGap)
			})
		}
	}
}

// A stream whose engine becomes unreachable ends with one error within the time limit.
func TestUnreachableEngineEndsStreamWithError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
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

// Any other router can relay the rest of a stream, without state of the first router.
func TestAnotherRouterResumesAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
		first := newCaller()
		firstCtx, stopFirst := context.WithCancel(t.Context())
		time.AfterFunc(6*interval+interval/2, func() {
			b.engines["e1"].Inject(engine.Plan{Fault: engine.FaultTruncated, After: 3})
			b.network.Blackhole()
		})
		done := make(chan struct{})
		go func() { defer close(done); b.service.Run(firstCtx, call("r1", true), first) }()
		<-time.After(7 * interval)
		synctest.Wait()
		other := chat.New(b.placer, b.upstreams, versions{}, port.Telemetry{Log: log.New(io.Discard)})
		rest := newCaller()
		rest.resumedAfter = len(first.ids)
		other.Resume(t.Context(), chat.Resumption{
			Request: "r1", Upstream: b.placer.upstreams[0], After: int64(rest.resumedAfter), Silence: silence,
		}, rest)
		b.checkInvariants(t, "r1", rest)
		must.Eq(t, "complete", rest.outcome())
		must.Eq(t, 7, rest.resumedAfter)
		stopFirst()
		<-done
	})
}

// loopbackPeers are port.Peers that call the registered handlers directly.
type loopbackPeers struct{ handlers map[string]port.PeerHandler }

func (j loopbackPeers) Handle(method string, handler port.PeerHandler) { j.handlers[method] = handler }

func (j loopbackPeers) Call(ctx context.Context, _ fleet.HostID, method string, request, _ any) error {
	_, err := j.handlers[method](ctx, "second", func(into any) error {
		reflect.ValueOf(into).Elem().Set(reflect.ValueOf(request))
		return nil
	})
	return err
}

// longStreamTokens is the number of tokens of a stream that lasts 10 s.
const longStreamTokens = 200

func withTokens(call chat.Call, count int) chat.Call {
	call.Body = bytes.Replace(call.Body, []byte(`"max_tokens":20`), fmt.Appendf(nil, `"max_tokens":%d`, count), 1)
	return call
}

// callOnlyPeers are the peers of a router that calls others but registers no handlers.
type callOnlyPeers struct{ loopbackPeers }

func (callOnlyPeers) Handle(string, port.PeerHandler) {}

// A caller that resumed a stream at the router that it had just left used to lose it 2 s later, when
// that router cancelled the engine's work.
func TestResumptionAtTheSameRouterKeepsTheWork(t *testing.T) {
	for _, resumesAfter := range []time.Duration{-time.Second, 0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t)
			b.service.Join(loopbackPeers{handlers: map[string]port.PeerHandler{}})
			long := withTokens(call("r1", true), longStreamTokens)
			first, rest := newCaller(), newCaller()
			ctx, disconnect := context.WithCancel(t.Context())
			time.AfterFunc(2*time.Second, disconnect)
			var both sync.WaitGroup
			both.Go(func() { b.service.Run(ctx, long, first) })
			<-time.After(2*time.Second + resumesAfter)
			b.service.Resume(t.Context(), chat.Resumption{
				Request: "r1", Upstream: b.placer.upstreams[0], Host: "first", Silence: silence,
			}, rest)
			both.Wait()
			b.service.Wait()
			must.True(t, rest.done)
			must.Eq(t, longStreamTokens, len(rest.ids))
			must.Zero(t, b.engines["e1"].Counts().Cancelled)
			<-time.After(longStreamTokens * interval)
		})
	}
}

// The work of a stream that was resumed at the same router is still cancelled when the caller leaves
// for good.
func TestWorkIsCancelledAfterAResumptionAtTheSameRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
		b.service.Join(loopbackPeers{handlers: map[string]port.PeerHandler{}})
		for _, stay := range []time.Duration{2 * time.Second, time.Second} {
			ctx, disconnect := context.WithTimeout(t.Context(), stay)
			if stay == 2*time.Second {
				b.service.Run(ctx, withTokens(call("r1", true), longStreamTokens), newCaller())
			} else {
				b.service.Resume(ctx, chat.Resumption{
					Request: "r1", Upstream: b.placer.upstreams[0], Host: "first", Silence: silence,
				}, newCaller())
			}
			disconnect()
		}
		b.service.Wait()
		must.Eq(t, 1, b.engines["e1"].Counts().Cancelled)
		<-time.After(longStreamTokens * interval)
	})
}

// An engine's work is not cancelled if the caller resumes the stream at another router, whether the
// caller disconnects from the first router before or after that.
func TestResumptionElsewhereKeepsTheWork(t *testing.T) {
	for _, resumesAfter := range []time.Duration{-time.Second, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t)
			peers := loopbackPeers{handlers: map[string]port.PeerHandler{}}
			b.service.Join(peers)
			long := withTokens(call("r1", true), longStreamTokens)
			first, rest := newCaller(), newCaller()
			ctx, disconnect := context.WithCancel(t.Context())
			time.AfterFunc(2*time.Second, disconnect)
			var both sync.WaitGroup
			both.Go(func() { b.service.Run(ctx, long, first) })
			<-time.After(2*time.Second + resumesAfter)
			other := chat.New(b.placer, b.upstreams, versions{}, port.Telemetry{Log: log.New(io.Discard)})
			other.Join(callOnlyPeers{peers})
			other.Resume(t.Context(), chat.Resumption{
				Request: "r1", Upstream: b.placer.upstreams[0], Host: "first", Silence: silence,
			}, rest)
			both.Wait()
			other.Wait()
			must.True(t, rest.done)
			must.Eq(t, longStreamTokens, len(rest.ids))
			must.Zero(t, b.engines["e1"].Counts().Cancelled)
			<-time.After(longStreamTokens * interval)
		})
	}
}

// Retries do not exceed the retry budget if every engine rejects all requests.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
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

// If the caller disconnects, the engine's work is cancelled.
func TestDisconnectCancelsTheWork(t *testing.T) {
	for _, stream := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestbed(t)
			ctx, disconnect := context.WithCancel(t.Context())
			got := newCaller()
			got.disconnect, got.disconnectAfter = disconnect, 3
			if !stream {
				time.AfterFunc(5*interval, disconnect)
			}
			b.service.Run(ctx, withTokens(call("r1", stream), longStreamTokens), got)
			disconnected := time.Now()
			b.service.Wait()
			must.LessEq(t, maxCancelTime, time.Since(disconnected))
			must.Eq(t, int64(1), b.engines["e1"].Counts().Cancelled)
			must.Eq(t, []fleet.Outcome{fleet.OutcomeCancelled}, b.placer.outcomes)
			b.checkInvariants(t, "r1", got)
			<-time.After(2 * interval)
			must.Zero(t, b.engines["e1"].Counts().Running)
		})
	}
}

// Nothing is sent to an engine if the caller disconnected while its call waited for a grant.
func TestDisconnectInQueueSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
		ctx, disconnect := context.WithCancel(t.Context())
		disconnect()
		b.service.Run(ctx, call("r1", true), newCaller())
		must.Zero(t, b.network.Dials())
		must.Eq(t, []fleet.Outcome{fleet.OutcomeCancelled}, b.placer.outcomes)
	})
}
