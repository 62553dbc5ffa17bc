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

func acquire(t *testing.T, service port.Store, self string) *Lease {
	t.Helper()
	held, err := Acquire(t.Context(), service, "moves", fleet.HostID(self), ttl)
	must.NoError(t, err)
	return held
}

// A second process can't acquire a lease while its holder renews it. After the release it can, with a
// higher fencing number.
func TestOneHolderWithGrowingFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		first := acquire(t, service, "a")
		_, err := Acquire(t.Context(), service, "moves", "b", ttl)
		must.ErrorIs(t, err, ErrHeld)
		time.Sleep(10 * ttl)
		must.True(t, first.Valid(time.Now()))
		first.Release()
		must.False(t, first.Valid(time.Now()))
		synctest.Wait()
		second := acquire(t, service, "b")
		must.Greater(t, first.Fence, second.Fence)
		second.Release()
	})
}

// A holder that can't renew its lease stops before another process can acquire it.
func TestHolderStopsBeforeExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		held := acquire(t, service, "a")
		time.Sleep(3 * ttl)
		service.SetDown(true)
		<-held.Done()
		must.False(t, held.Valid(time.Now()))
		// The holder's own release fails during the outage, so that only expiry could free the name.
		synctest.Wait()
		service.SetDown(false)
		_, err := Acquire(t.Context(), service, "moves", "b", ttl)
		must.ErrorIs(t, err, ErrHeld, must.Sprint("the holder stopped only after its lease had expired"))
	})
}

// A paused process receives the answer to a renewal long after the service renewed the lease. The
// TTL counts from before the request.
func TestLateRenewalDoesNotExtend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		held := acquire(t, service, "a")
		service.SetKeepAliveDelay(ttl / 2)
		time.Sleep(ttl/renewalsPerTTL + ttl/2 + time.Millisecond)
		service.SetDown(true)
		renewedAt := time.Now().Add(-ttl / 2)
		<-held.Done()
		must.Less(t, ttl, time.Since(renewedAt))
		// Wait until the delayed goroutines of the store have ended.
		time.Sleep(ttl)
	})
}

// A lease stays invalid when a renewal is answered after its expiry.
func TestNoRenewalAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		held := acquire(t, service, "a")
		service.SetKeepAliveDelay(2 * ttl)
		<-held.Done()
		time.Sleep(3 * ttl)
		must.False(t, held.Valid(time.Now()))
	})
}

// A holder whose lease was revoked by the service stops at its next renewal. Until then its lower
// fencing number distinguishes it from the next holder.
func TestRevokedLeaseIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := store.NewDirect()
		first := acquire(t, service, "a")
		service.ExpireLeases()
		second := acquire(t, service, "b")
		must.Greater(t, first.Fence, second.Fence)
		time.Sleep(ttl/renewalsPerTTL + time.Millisecond)
		must.False(t, first.Valid(time.Now()))
		must.True(t, second.Valid(time.Now()))
		second.Release()
	})
}

// When the answer to the write of the lease's key is lost, reading the key back shows whether the lease
// is held. In no case does the name remain held afterwards.
func TestLostAnswerIsReadBack(t *testing.T) {
	for outcome, wanted := range map[store.CallOutcome]error{
		store.AnswerLost: nil, store.RequestLost: port.ErrUnavailable, store.Duplicated: nil, store.Delayed: nil,
	} {
		synctest.Test(t, func(t *testing.T) {
			service := store.NewDirect()
			service.SetOutcome(func(port.Transaction) store.CallOutcome { return outcome })
			held, err := Acquire(t.Context(), service, "moves", "a", ttl)
			must.True(t, errors.Is(err, wanted), must.Sprint(outcome, err))
			if held != nil {
				held.Release()
			}
			synctest.Wait()
			service.SetOutcome(nil)
			next, err := Acquire(context.Background(), service, "moves", "b", ttl)
			must.NoError(t, err)
			next.Release()
			synctest.Wait()
		})
	}
}

// A process that was paused past its lease's expiry may handle the answer to a renewal before it
// detects the expiry. The lease must not become valid again.
func TestNoRenewalWhenExpiryIsUndetected(t *testing.T) {
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
