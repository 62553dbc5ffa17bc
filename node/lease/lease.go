// Package lease lets one process at a time hold a name, through a lease of the
// platform's key-value service. Each holder gets a fencing number above all earlier
// ones, and stops before its lease can have lapsed.
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

// ErrHeld means that another process holds the name.
const ErrHeld = errors.ConstError("lease is held by another process")

const keyPrefix = "agateswitch/lease/"

// MinTTL is the shortest lease, one step of the service's clock above its rounding.
const MinTTL = 2 * time.Second

const (
	// renewalsPerTTL is how often a lease is renewed in its time, so that two renewals may fail.
	renewalsPerTTL = 4
	// marginParts is the part of the time by which a holder stops before its lease lapses.
	// It covers clocks that run at different rates.
	marginParts = 10
	// revokeTimeout bounds the release of a lease whose holder stops.
	revokeTimeout = time.Second
)

// Lease is a held lease. It is safe for concurrent use.
type Lease struct {
	// Fence is the fencing number: it is above that of every earlier holder of the name.
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
	Host  fleet.HostID `json:"host"`
	Lease port.LeaseID `json:"lease"`
}

// Hold takes the lease of a name and renews it until ctx ends, Release, or loss. It
// returns ErrHeld while another process holds it, and port.ErrUnavailable when the
// service gave no answer; then nothing is held. TTL is rounded up to whole seconds.
func Hold(ctx context.Context, store port.Store, name string, self fleet.HostID, ttl time.Duration) (*Lease, error) {
	if ttl < MinTTL {
		return nil, errors.NotValidf("lease of %s, below %s,", ttl, MinTTL)
	}
	// The time counts from before the request, as the service's clock starts after it.
	asked := time.Now()
	id, err := store.GrantLease(ctx, ttl)
	if err != nil {
		return nil, errors.Annotatef(err, "granting the lease of %s", name)
	}
	fence, err := take(ctx, store, keyPrefix+name, holder{Host: self, Lease: id})
	if err != nil {
		// A write whose answer was lost may still take effect, and lapses with the lease.
		revoke(ctx, store, id)
		return nil, errors.Annotatef(err, "taking the lease of %s", name)
	}
	life, cancel := context.WithCancel(ctx)
	held := &Lease{
		Fence: fence, store: store, id: id, done: make(chan struct{}), cancel: cancel,
		until: fleet.DeadlineAt(asked.Add(usable(ttl))),
	}
	go held.keep(life, ttl)
	return held, nil
}

// take writes the key if it is absent. Its revision is the fencing number, as the
// service's revision grows with every change.
func take(ctx context.Context, store port.Store, key string, wanted holder) (int64, error) {
	value, err := json.Marshal(wanted)
	if err != nil {
		return 0, errors.Trace(err)
	}
	result, err := store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: key}},
		Writes:     []port.Write{{Key: key, Value: value, Lease: wanted.Lease}},
	})
	if err == nil && result.Applied {
		return result.Revision, nil
	}
	// A lost answer is settled by reading back.
	entry, readErr := store.Get(ctx, key)
	if readErr != nil {
		return 0, readErr
	}
	if entry.Revision == 0 {
		return 0, errors.WithType(errors.New("the write took no effect"), port.ErrUnavailable)
	}
	var found holder
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return 0, errors.Annotate(err, "decoding the holder")
	}
	if found != wanted {
		return 0, errors.WithType(errors.Errorf("held by %s", found.Host), ErrHeld)
	}
	return entry.Revision, nil
}

func usable(ttl time.Duration) time.Duration { return ttl - ttl/marginParts }

// Valid tells whether the holder may still act at now, which is time.Now(). It is to be
// asked right before each act, since a paused process misses the closing of Done.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.until.HasPassed(now)
}

// Done is closed when the holder must have stopped: before the lease can have lapsed.
func (l *Lease) Done() <-chan struct{} { return l.done }

// Release ends the lease, so that the next holder need not wait for it to lapse.
func (l *Lease) Release() {
	l.cancel()
	<-l.done
}

// keep renews the lease until it is lost or ctx ends.
func (l *Lease) keep(ctx context.Context, ttl time.Duration) {
	defer revoke(ctx, l.store, l.id)
	defer l.cancel()
	defer l.close()
	pause := ttl / renewalsPerTTL
	renewals := time.NewTicker(pause)
	defer renewals.Stop()
	// The channel has room for the one renewal that runs, so that a late one ends too.
	renewed := make(chan bool, 1)
	running := false
	for {
		// The renewal runs beside the wait for the lease's end, which an answer that never
		// comes must not hold up.
		select {
		case <-renewals.C:
			if !running {
				running = true
				go func() { renewed <- l.renew(ctx, pause) }()
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

// expired returns a channel that gets a value at the end of the time known now.
func (l *Lease) expired() <-chan time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.After(l.until.Until(time.Now()))
}

// renew extends the lease. It returns false when the lease has lapsed.
func (l *Lease) renew(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := time.Now()
	ttl, err := l.store.KeepAlive(ctx, l.id)
	if err != nil {
		// The next renewal may succeed; until then the old time counts.
		return true
	}
	if ttl <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until.HasPassed(time.Now()) {
		// The holder was told to stop; it does not start again under the same number.
		return false
	}
	l.until = fleet.DeadlineAt(asked.Add(usable(ttl)))
	return true
}

func (l *Lease) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.done)
}

func revoke(ctx context.Context, store port.Store, id port.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	// A lease that cannot be revoked lapses by itself.
	_ = store.RevokeLease(ctx, id)
}
