package detour

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/detour"
	"agateswitch/core/fleet"
	"agateswitch/node/keeper"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// fakePeers delivers the calls of router "a" to the only other router.
type fakePeers struct {
	handlers map[string]port.PeerHandler
	isSilent atomic.Bool
	calls    atomic.Int64
	callTime time.Duration
}

func (f *fakePeers) Handle(method string, handler port.PeerHandler) { f.handlers[method] = handler }

func (f *fakePeers) Call(ctx context.Context, _ fleet.HostID, method string, request, response any) error {
	f.calls.Add(1)
	time.Sleep(f.callTime)
	if f.isSilent.Load() {
		<-ctx.Done()
		return errors.WithType(ctx.Err(), port.ErrPeerUnreachable)
	}
	handler, found := f.handlers[method]
	if !found {
		return errors.Trace(port.ErrUnknownMethod)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	value, err := handler(ctx, "a", func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	answer, err := msgpack.Marshal(value)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(answer, response)
}

// runPair runs a test with the router that asks and the one that works for it, in virtual time.
func runPair(t *testing.T, test func(t *testing.T, peers *fakePeers, asking, working *Service)) {
	synctest.Test(t, func(t *testing.T) {
		peers := &fakePeers{handlers: map[string]port.PeerHandler{}}
		asking, working := New(noFleet{}, nil, 1), New(noFleet{}, nil, 1)
		working.Join(peers, log.New(io.Discard))
		asking.Join(&fakePeers{handlers: map[string]port.PeerHandler{}}, log.New(io.Discard))
		asking.leases.peers = peers
		test(t, peers, asking, working)
		// The renewals end.
		time.Sleep(2 * detour.LeaseTime)
	})
}

func begin(t *testing.T, asking, working *Service, isKept bool) (*Lease, context.Context, *Work) {
	lease, err := asking.Lease(t.Context(), "b", isKept)
	must.NoError(t, err)
	ctx, work, isGood := working.BeginWork(t.Context(), "a", *lease.Grant())
	must.True(t, isGood)
	return lease, ctx, work
}

func TestWorkGoesOnWhileItsLeaseIsRenewed(t *testing.T) {
	runPair(t, func(t *testing.T, _ *fakePeers, asking, working *Service) {
		lease, ctx, work := begin(t, asking, working, false)
		time.Sleep(time.Minute)
		must.NoError(t, ctx.Err())
		must.True(t, work.MaySend())
		lease.End()
		work.End()
	})
}

// A router that hears nothing ends its work before the one that has asked for it goes on elsewhere.
func TestWorkHasEndedWhenTheWaitForASilentRouterIsOver(t *testing.T) {
	runPair(t, func(t *testing.T, peers *fakePeers, asking, working *Service) {
		lease, ctx, work := begin(t, asking, working, false)
		time.Sleep(10*time.Second + detour.RenewInterval/2)
		peers.isSilent.Store(true)
		began := time.Now()
		must.True(t, lease.Stop(t.Context()))
		must.ErrorIs(t, context.Cause(ctx), errLeaseEnded)
		must.LessEq(t, detour.WaitTime, time.Since(began))
		must.False(t, work.MaySend())
		work.End()
	})
}

// Without the other router's word, and without the time to wait for it, nothing goes on elsewhere.
func TestWaitForASilentRouterEndsWithTheRequest(t *testing.T) {
	runPair(t, func(t *testing.T, peers *fakePeers, asking, working *Service) {
		lease, _, work := begin(t, asking, working, false)
		peers.isSilent.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), detour.LeaseTime/2)
		defer cancel()
		must.False(t, lease.Stop(ctx))
		work.End()
	})
}

func TestRouterThatIsReachedSaysWhenItsWorkHasEnded(t *testing.T) {
	runPair(t, func(t *testing.T, _ *fakePeers, asking, working *Service) {
		lease, ctx, work := begin(t, asking, working, false)
		go func() {
			<-ctx.Done()
			time.Sleep(10 * time.Millisecond)
			work.End()
		}()
		began := time.Now()
		must.True(t, lease.Stop(t.Context()))
		must.Eq(t, 10*time.Millisecond, time.Since(began))
		_, _, isGood := working.BeginWork(t.Context(), "a", *lease.Grant())
		must.False(t, isGood)
	})
}

// An order that was held up on its way, or was given up before it came, must not begin.
func TestOrderThatComesTooLateIsNotBegun(t *testing.T) {
	runPair(t, func(t *testing.T, _ *fakePeers, asking, working *Service) {
		late, err := asking.Lease(t.Context(), "b", true)
		must.NoError(t, err)
		time.Sleep(detour.LeaseTime)
		_, _, isGood := working.BeginWork(t.Context(), "a", *late.Grant())
		must.False(t, isGood)
		late.End()
		stopped, err := asking.Lease(t.Context(), "b", false)
		must.NoError(t, err)
		must.True(t, stopped.Stop(t.Context()))
		_, _, isGood = working.BeginWork(t.Context(), "a", *stopped.Grant())
		must.False(t, isGood)
	})
}

// A process that was paused has run no timer; it must not send under a lease that ended meanwhile. Work that is done nowhere else
// goes on once it was sent.
func TestPausedRouterSendsNothingUnderAnEndedLease(t *testing.T) {
	for _, isKept := range []bool{false, true} {
		runPair(t, func(t *testing.T, peers *fakePeers, asking, working *Service) {
			lease, ctx, work := begin(t, asking, working, isKept)
			peers.isSilent.Store(true)
			if !isKept {
				work.timer.Stop()
			}
			time.Sleep(detour.LeaseTime)
			must.False(t, work.MaySend())
			must.NoError(t, ctx.Err())
			peers.isSilent.Store(false)
			time.Sleep(detour.LeaseTime)
			must.False(t, work.MaySend())
			lease.End()
			work.End()
		})
	}
}

// Routers of the last landing know no leases: they are asked without one, and not asked for a stamp each time.
func TestRouterOfAnEarlierVersionWorksWithoutALease(t *testing.T) {
	runPair(t, func(t *testing.T, peers *fakePeers, asking, _ *Service) {
		peers.handlers = nil
		for range 3 {
			lease, err := asking.Lease(t.Context(), "b", false)
			must.NoError(t, err)
			must.Nil(t, lease.Grant())
			lease.End()
			must.True(t, lease.Stop(t.Context()))
		}
		must.Eq(t, 1, peers.calls.Load())
		time.Sleep(keeper.UnableTime)
		_, err := asking.Lease(t.Context(), "b", false)
		must.NoError(t, err)
		must.Eq(t, 2, peers.calls.Load())
	})
}

// What was known of a router used to be dropped while its first stamp was under way, if another router was used meanwhile. The order had
// no stamp then, which the router took for one that it could not do, and it was avoided by all requests for a while.
func TestFirstStampsOfTwoRoutersDoNotDisplaceEachOther(t *testing.T) {
	runPair(t, func(t *testing.T, peers *fakePeers, asking, working *Service) {
		peers.callTime = 10 * time.Millisecond
		go func() {
			time.Sleep(peers.callTime / 2)
			other, err := asking.Lease(context.Background(), "c", false)
			must.NoError(t, err)
			other.End()
		}()
		lease, err := asking.Lease(t.Context(), "b", false)
		must.NoError(t, err)
		_, work, begun := working.BeginWork(t.Context(), "a", *lease.Grant())
		must.True(t, begun)
		work.End()
		lease.End()
		time.Sleep(2 * detour.RenewInterval)
	})
}
