package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
	"agateswitch/standin/store"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

const ttl = 8 * time.Second

func hold(t *testing.T, service port.Store, self string) *Lease {
	t.Helper()
	held, err := Hold(t.Context(), service, "moves", fleet.HostID(self), ttl)
	must.NoError(t, err)
	return held
}

func TestOneHolderWithGrowingFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		first := hold(t, service, "a")
		_, err := Hold(t.Context(), service, "moves", "b", ttl)
		must.ErrorIs(t, err, ErrHeld)
		time.Sleep(10 * ttl)
		must.True(t, first.Valid(time.Now()))
		first.Release()
		must.False(t, first.Valid(time.Now()))
		synctest.Wait()
		second := hold(t, service, "b")
		must.Greater(t, first.Fence, second.Fence)
		second.Release()
	})
}

// A holder that can't renew stops before another can hold the name.
func TestHolderStopsBeforeLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		held := hold(t, service, "a")
		time.Sleep(3 * ttl)
		service.SetDown(true)
		<-held.Done()
		must.False(t, held.Valid(time.Now()))
		// The holder's own release fails in the outage, so that only a lapse could free the name.
		synctest.Wait()
		service.SetDown(false)
		_, err := Hold(t.Context(), service, "moves", "b", ttl)
		must.ErrorIs(t, err, ErrHeld, must.Sprint("the holder stopped only when its lease had lapsed"))
	})
}

// The answer of a renewal reaches a paused process long after the service renewed: the
// time counts from before the request.
func TestLateRenewalDoesNotExtend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		held := hold(t, service, "a")
		service.SetKeepAliveDelay(ttl / 2)
		time.Sleep(ttl/renewalsPerTTL + ttl/2 + time.Millisecond)
		service.SetDown(true)
		renewedAt := time.Now().Add(-ttl / 2)
		<-held.Done()
		must.Less(t, ttl, time.Since(renewedAt))
		// The delayed goroutines of the store end within the test.
		time.Sleep(ttl)
	})
}

// A holder does not come back under its number when a renewal is answered after its end.
func TestNoRevivalAfterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		held := hold(t, service, "a")
		service.SetKeepAliveDelay(2 * ttl)
		<-held.Done()
		time.Sleep(3 * ttl)
		must.False(t, held.Valid(time.Now()))
	})
}

// A holder whose lease the service dropped stops at its next renewal; until then its
// fencing number tells it from the next holder.
func TestDroppedLeaseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		first := hold(t, service, "a")
		service.LapseLeases()
		second := hold(t, service, "b")
		must.Greater(t, first.Fence, second.Fence)
		time.Sleep(ttl/renewalsPerTTL + time.Millisecond)
		must.False(t, first.Valid(time.Now()))
		must.True(t, second.Valid(time.Now()))
		second.Release()
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	for fate, wanted := range map[store.Fate]error{
		store.LostAfter: nil, store.LostBefore: port.ErrUnavailable, store.Doubled: nil, store.Late: nil,
	} {
		synctest.Test(t, func(t *testing.T) {
			service := store.NewDirect()
			service.SetFate(func(port.Transaction) store.Fate { return fate })
			held, err := Hold(t.Context(), service, "moves", "a", ttl)
			must.True(t, errors.Is(err, wanted), must.Sprint(fate, err))
			if held != nil {
				held.Release()
			}
			synctest.Wait()
			service.SetFate(nil)
			next, err := Hold(context.Background(), service, "moves", "b", ttl)
			must.NoError(t, err)
			next.Release()
			synctest.Wait()
		})
	}
}

// A process that was paused past its time may read the renewal's answer before it sees
// that the time has passed.
func TestNoRevivalBeforeEndIsSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		id, err := service.GrantLease(t.Context(), ttl)
		must.NoError(t, err)
		held := &Lease{store: service, id: id, until: fleet.DeadlineAt(time.Now().Add(ttl / 4))}
		service.SetKeepAliveDelay(ttl / 2)
		must.False(t, held.renew(t.Context(), ttl))
		must.False(t, held.Valid(time.Now()))
	})
}
