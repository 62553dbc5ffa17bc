package store

import (
	"context"
	"sync"
	"time"

	"agateswitch/adapter/kv"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Fate is what happens to one call of a Direct store.
type Fate int

// Fates of calls.
const (
	// Answered calls take effect and are answered.
	Answered Fate = iota
	// LostBefore calls take no effect and are not answered.
	LostBefore
	// LostAfter calls take effect and are not answered.
	LostAfter
	// Doubled calls take effect twice, the second time after the answer.
	Doubled
	// Late calls are not answered and take effect with the next call.
	Late
)

// Direct is a port.Store without a network, for tests in virtual time.
type Direct struct {
	state *state

	mu    sync.Mutex
	calls Calls
	late  []func()
	// fate decides about each commit; nil answers all.
	fate func(port.Transaction) Fate
	// latency is the time that each call takes. Default: none.
	latency time.Duration
	down    bool
	// keepAliveDelay is the time from the renewal of a lease to its answer.
	keepAliveDelay time.Duration
}

// NewDirect makes an empty store.
func NewDirect() *Direct { return &Direct{state: newState()} }

// SetFate lets a function decide about each later commit.
func (d *Direct) SetFate(fate func(port.Transaction) Fate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fate = fate
}

// SetDown starts or ends an outage.
func (d *Direct) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// SetLatency sets the time that each call takes.
func (d *Direct) SetLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = latency
}

// SetKeepAliveDelay sets the time from the renewal of a lease to its answer.
func (d *Direct) SetKeepAliveDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keepAliveDelay = delay
}

// LapseLeases ends all leases, as if their time had passed.
func (d *Direct) LapseLeases() { d.state.lapse() }

// Calls returns the counts since the start.
func (d *Direct) Calls() Calls {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

var errLost = errors.WithType(errors.New("no answer"), port.ErrUnavailable)

// begin counts a call, lets late ones take effect, and waits the latency.
func (d *Direct) begin(ctx context.Context, count func(*Calls)) error {
	d.mu.Lock()
	count(&d.calls)
	late, latency, down := d.late, d.latency, d.down
	d.late = nil
	d.mu.Unlock()
	for _, effect := range late {
		effect()
	}
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-ctx.Done():
			return errors.WithType(ctx.Err(), port.ErrUnavailable)
		}
	}
	if down {
		return errLost
	}
	return nil
}

func countRead(calls *Calls)  { calls.Reads++ }
func countWrite(calls *Calls) { calls.Writes++ }

// Get implements port.Store.
func (d *Direct) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := d.begin(ctx, countRead); err != nil {
		return port.Entry{}, err
	}
	found := d.state.read(kv.RangeRequest{Key: []byte(key)})
	if len(found.KVs) == 0 {
		return port.Entry{Key: key}, nil
	}
	return entry(found.KVs[0]), nil
}

func entry(value kv.KeyValue) port.Entry {
	return port.Entry{Key: string(value.Key), Value: value.Value, Revision: value.ModRevision}
}

// List implements port.Store.
func (d *Direct) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	if err := d.begin(ctx, countRead); err != nil {
		return nil, 0, err
	}
	found := d.state.read(kv.RangeRequest{Key: []byte(prefix), RangeEnd: kv.PrefixEnd(prefix)})
	var entries []port.Entry
	for _, value := range found.KVs {
		entries = append(entries, entry(value))
	}
	return entries, found.Header.Revision, nil
}

// Commit implements port.Store. A transaction without writes counts as a read.
func (d *Direct) Commit(ctx context.Context, transaction port.Transaction) (port.CommitResult, error) {
	request, err := kv.TransactionRequest(transaction)
	if err != nil {
		return port.CommitResult{}, err
	}
	count := countWrite
	if len(transaction.Writes) == 0 {
		count = countRead
	}
	if err := d.begin(ctx, count); err != nil {
		return port.CommitResult{}, err
	}
	switch d.decide(transaction) {
	case LostBefore:
		return port.CommitResult{}, errLost
	case LostAfter:
		d.state.commit(request)
		return port.CommitResult{}, errLost
	case Late:
		d.postpone(func() { d.state.commit(request) })
		return port.CommitResult{}, errLost
	case Doubled:
		d.postpone(func() { d.state.commit(request) })
	}
	return kv.TransactionResult(transaction, d.state.commit(request))
}

func (d *Direct) decide(transaction port.Transaction) Fate {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fate == nil {
		return Answered
	}
	return d.fate(transaction)
}

func (d *Direct) postpone(effect func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late = append(d.late, effect)
}

// Watch implements port.Store by an immediate end: nothing that uses Direct watches.
func (d *Direct) Watch(context.Context, string, int64) <-chan port.WatchEvent {
	events := make(chan port.WatchEvent, 1)
	events <- port.WatchEvent{Err: errLost}
	close(events)
	return events
}

// GrantLease implements port.Store.
func (d *Direct) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	if err := d.begin(ctx, countWrite); err != nil {
		return 0, err
	}
	return port.LeaseID(d.state.grantLease(ttl)), nil
}

// KeepAlive implements port.Store.
func (d *Direct) KeepAlive(ctx context.Context, lease port.LeaseID) (time.Duration, error) {
	if err := d.begin(ctx, countWrite); err != nil {
		return 0, err
	}
	ttl := d.state.keepAlive(int64(lease))
	d.mu.Lock()
	delay := d.keepAliveDelay
	d.mu.Unlock()
	if delay > 0 {
		// The answer comes even when the caller's context has ended: a paused process
		// finds it in its socket when it goes on.
		time.Sleep(delay)
	}
	return ttl, nil
}

// RevokeLease implements port.Store.
func (d *Direct) RevokeLease(ctx context.Context, lease port.LeaseID) error {
	if err := d.begin(ctx, countWrite); err != nil {
		return err
	}
	d.state.revokeLease(int64(lease))
	return nil
}
