package store

import (
	"context"
	"sync"
	"time"

	"agateswitch/adapter/kv"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// CallOutcome is what happens to one call of a Direct store.
type CallOutcome int

// Outcomes of calls.
const (
	// Answered calls take effect and are answered.
	Answered CallOutcome = iota
	// RequestLost calls take no effect and are not answered.
	RequestLost
	// AnswerLost calls take effect and are not answered.
	AnswerLost
	// Duplicated calls take effect twice, the second time after the answer.
	Duplicated
	// Delayed calls are not answered and take effect at the start of the next call.
	Delayed
)

// Direct is an in-memory port.Store without a network, for tests in virtual time.
type Direct struct {
	state *state

	mu      sync.Mutex
	calls   Calls
	delayed []func()
	// chooseOutcome returns the outcome of each commit; nil means Answered for all.
	chooseOutcome func(port.Transaction) CallOutcome
	// latency is added to each call.
	latency time.Duration
	down    bool
	// keepAliveDelay is the delay between the renewal of a lease and its answer.
	keepAliveDelay time.Duration
}

// NewDirect returns an empty store.
func NewDirect() *Direct { return &Direct{state: newState()} }

// SetOutcome sets the function that chooses the outcome of each later commit; nil means Answered.
func (d *Direct) SetOutcome(choose func(port.Transaction) CallOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.chooseOutcome = choose
}

// SetDown starts or ends an outage.
func (d *Direct) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// SetLatency sets the time that is added to each call.
func (d *Direct) SetLatency(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = latency
}

// SetKeepAliveDelay sets the delay between the renewal of a lease and its answer.
func (d *Direct) SetKeepAliveDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keepAliveDelay = delay
}

// ExpireLeases expires all leases at once.
func (d *Direct) ExpireLeases() { d.state.expireAllLeases() }

// Calls returns the call counters since the store was made.
func (d *Direct) Calls() Calls {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

var errLost = errors.WithType(errors.New("no answer"), port.ErrUnavailable)

// begin counts a call, applies delayed calls, and waits for the latency. It returns errLost during an
// outage.
func (d *Direct) begin(ctx context.Context, count func(*Calls)) error {
	d.mu.Lock()
	count(&d.calls)
	delayed, latency, down := d.delayed, d.latency, d.down
	d.delayed = nil
	d.mu.Unlock()
	for _, effect := range delayed {
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
	return port.Entry{Key: string(value.Key), Value: value.Value, Revision: revision.Revision{Number: value.ModRevision}}
}

// List implements port.Store.
func (d *Direct) List(ctx context.Context, prefix string, visit func(port.Entry)) (revision.Revision, error) {
	if err := d.begin(ctx, countRead); err != nil {
		return revision.Revision{}, err
	}
	found := d.state.read(kv.RangeRequest{Key: []byte(prefix), RangeEnd: kv.PrefixEnd(prefix)})
	for _, value := range found.KVs {
		visit(entry(value))
	}
	return revision.Revision{Number: found.Header.Revision}, nil
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
	switch d.nextOutcome(transaction) {
	case RequestLost:
		return port.CommitResult{}, errLost
	case AnswerLost:
		d.state.commit(request)
		return port.CommitResult{}, errLost
	case Delayed:
		d.postpone(func() { d.state.commit(request) })
		return port.CommitResult{}, errLost
	case Duplicated:
		d.postpone(func() { d.state.commit(request) })
	}
	return kv.TransactionResult(transaction, d.state.commit(request))
}

// nextOutcome returns the chosen outcome of a commit.
func (d *Direct) nextOutcome(transaction port.Transaction) CallOutcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.chooseOutcome == nil {
		return Answered
	}
	return d.chooseOutcome(transaction)
}

// postpone queues an effect for the start of the next call.
func (d *Direct) postpone(effect func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delayed = append(d.delayed, effect)
}

// Watch implements port.Store. The watch fails at once, since no user of Direct watches.
func (d *Direct) Watch(context.Context, string, revision.Revision, time.Duration) <-chan port.WatchEvent {
	events := make(chan port.WatchEvent, 1)
	events <- port.WatchEvent{Err: errLost}
	close(events)
	return events
}

// GrantLease implements port.Store.
func (d *Direct) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	if err := d.begin(ctx, countWrite); err != nil {
		return port.LeaseID{}, err
	}
	return port.LeaseID{Number: d.state.grantLease(ttl)}, nil
}

// KeepAlive implements port.Store.
func (d *Direct) KeepAlive(ctx context.Context, lease port.LeaseID) (time.Duration, error) {
	if err := d.begin(ctx, countWrite); err != nil {
		return 0, err
	}
	ttl := d.state.keepAlive(lease.Number)
	d.mu.Lock()
	delay := d.keepAliveDelay
	d.mu.Unlock()
	if delay > 0 {
		// The answer arrives even after the caller's context is done: a paused process finds it
		// in its socket buffer when it resumes.
		time.Sleep(delay)
	}
	return ttl, nil
}

// RevokeLease implements port.Store.
func (d *Direct) RevokeLease(ctx context.Context, lease port.LeaseID) error {
	if err := d.begin(ctx, countWrite); err != nil {
		return err
	}
	d.state.revokeLease(lease.Number)
	return nil
}
