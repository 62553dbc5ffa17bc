// Package lease lets one process at a time hold a name by a lease in the platform's key-value
// service. Each holder gets a fencing number above all earlier ones, and stops before its lease can
// have expired.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// ErrHeld is returned while another process holds the name.
const ErrHeld = errors.ConstError("lease is held by another process")

// keyPrefix precedes the name in the key of a lease.
const keyPrefix = "agateswitch/lease/"

// MinTTL is the minimum TTL of a lease. The service rounds TTLs to whole seconds; MinTTL is one second
// above the smallest of them.
const MinTTL = 2 * time.Second

const (
	// renewalsPerTTL is the number of renewals per TTL. At 4, two successive renewals may fail.
	renewalsPerTTL = 4
	// marginDivisor sets the safety margin: a holder stops ttl/marginDivisor before its lease
	// expires. The margin covers clocks that run at different rates.
	marginDivisor = 10
	// revokeTimeout bounds the request that revokes a lease.
	revokeTimeout = time.Second
)

// Lease is a held lease. It is safe for concurrent use.
type Lease struct {
	// Fence is the fencing number. It is above that of every earlier holder of the name.
	Fence int64

	store  port.Store
	id     port.LeaseID
	done   chan struct{}
	cancel context.CancelFunc

	mu     sync.Mutex
	until  fleet.Deadline
	closed bool
}

// holder is the value of a lease's key.
type holder struct {
	Host fleet.HostID `json:"host"`
	// Lease is the number of the lease.
	Lease int64 `json:"lease"`
}

// Acquire acquires the lease of a name and renews it until ctx ends, Release is called, or the lease
// is lost. It returns ErrHeld while another process holds the lease, and port.ErrUnavailable when the
// service gave no answer; in both cases nothing is held. The TTL is rounded up to whole seconds.
func Acquire(ctx context.Context, store port.Store, name string, self fleet.HostID, ttl time.Duration) (*Lease, error) {
	if ttl < MinTTL {
		return nil, errors.NotValidf("lease of %s, below %s,", ttl, MinTTL)
	}
	// The TTL counts from before the request, because the service starts to count after it.
	requestedAt := time.Now()
	id, err := store.GrantLease(ctx, ttl)
	if err != nil {
		return nil, errors.Annotatef(err, "granting the lease of %s", name)
	}
	fence, err := acquireKey(ctx, store, keyPrefix+name, holder{Host: self, Lease: id.Number})
	if err != nil {
		// A write whose answer was lost may still take effect; its key is removed with the lease.
		revoke(ctx, store, id)
		return nil, errors.Annotatef(err, "taking the lease of %s", name)
	}
	renewCtx, cancel := context.WithCancel(ctx)
	held := &Lease{
		Fence: fence, store: store, id: id, done: make(chan struct{}), cancel: cancel,
		until: fleet.DeadlineAt(requestedAt.Add(usableDuration(ttl))),
	}
	go held.renewUntilDone(renewCtx, ttl)
	return held, nil
}

// acquireKey writes the key if it is absent. It returns the key's revision as the fencing number,
// because the service's revision increases with every change.
func acquireKey(ctx context.Context, store port.Store, key string, wanted holder) (int64, error) {
	value, err := json.Marshal(wanted)
	if err != nil {
		return 0, errors.Trace(err)
	}
	result, err := store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: key}},
		Writes:     []port.Write{{Key: key, Value: value, Lease: port.LeaseID{Number: wanted.Lease}}},
	})
	if err == nil && result.Applied {
		return result.Revision.Number, nil
	}
	// After a lost answer, reading the key back shows whether the write took effect.
	entry, readErr := store.Get(ctx, key)
	if readErr != nil {
		return 0, readErr
	}
	if entry.Revision.IsAbsent() {
		return 0, errors.WithType(errors.New("the write took no effect"), port.ErrUnavailable)
	}
	var found holder
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return 0, errors.Annotate(err, "decoding the holder")
	}
	if found != wanted {
		return 0, errors.WithType(errors.Errorf("held by %s", found.Host), ErrHeld)
	}
	return entry.Revision.Number, nil
}

// usableDuration returns how long a holder may act under a lease of the given TTL.
func usableDuration(ttl time.Duration) time.Duration { return ttl - ttl/marginDivisor }

// Valid reports whether the holder may still act at the given time. Callers check it right before
// each action, because a paused process doesn't see in time that Done is closed.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.until.HasPassed(now)
}

// Done returns a channel that is closed when the holder must stop, before the lease can have expired.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Release ends the lease, so that the next holder doesn't have to wait for its expiry.
func (l *Lease) Release() {
	l.cancel()
	<-l.done
}

// renewUntilDone renews the lease until it is lost or ctx ends. It then revokes the lease.
func (l *Lease) renewUntilDone(ctx context.Context, ttl time.Duration) {
	defer revoke(ctx, l.store, l.id)
	defer l.cancel()
	defer l.markDone()
	interval := ttl / renewalsPerTTL
	renewals := time.NewTicker(interval)
	defer renewals.Stop()
	// The capacity of 1 lets a renewal that ends after this loop send its result without blocking.
	renewed := make(chan bool, 1)
	running := false
	for {
		// Renewals run in their own goroutine, so that a missing answer doesn't delay the detection
		// of the lease's expiry.
		select {
		case <-renewals.C:
			if !running {
				running = true
				go func() { renewed <- l.renew(ctx, interval) }()
			}
		case alive := <-renewed:
			running = false
			if !alive {
				return
			}
		case <-l.expired():
			return
		case <-ctx.Done():
			return
		}
	}
}

// expired returns a channel that receives a value at the currently known expiry of the lease.
func (l *Lease) expired() <-chan time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.After(l.until.Until(time.Now()))
}

// renew extends the lease. It returns false when the lease has expired.
func (l *Lease) renew(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestedAt := time.Now()
	ttl, err := l.store.KeepAlive(ctx, l.id)
	if err != nil {
		// The next renewal may succeed; until then the previous expiry applies.
		return true
	}
	if ttl <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until.HasPassed(time.Now()) {
		// The holder must have stopped already and doesn't resume under the same fencing number.
		return false
	}
	l.until = fleet.DeadlineAt(requestedAt.Add(usableDuration(ttl)))
	return true
}

// markDone marks the lease as ended and closes Done.
func (l *Lease) markDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.done)
}

// revoke revokes a lease, also after ctx has ended.
func revoke(ctx context.Context, store port.Store, id port.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	// A lease that can't be revoked expires by itself.
	_ = store.RevokeLease(ctx, id)
}
