package replica

import (
	"context"
	"time"

	"agateswitch/port"

	"github.com/juju/errors"
)

// desiredAge returns the time since the desired state was last confirmed to be the newest.
func (r *Replica) desiredAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(time.Since(r.confirmedAt), time.Since(r.desiredConfirmedAt))
}

// Confirm ensures that the desired state is the newest. Concurrent calls share the result of a
// confirmation that started after they were made.
func (r *Replica) Confirm(ctx context.Context) error {
	if r.desiredAge() <= maxConfirmedAge {
		return nil
	}
	requestedAt := time.Now()
	r.confirming.Lock()
	defer r.confirming.Unlock()
	if r.confirmStartedAt.After(requestedAt) {
		return r.confirmErr
	}
	r.confirmStartedAt = time.Now()
	r.confirmErr = r.confirm(ctx)
	return r.confirmErr
}

// confirm reads the desired state from the store, or pulls it from routers that may have read it.
func (r *Replica) confirm(ctx context.Context) error {
	if time.Since(r.readFailedAt) > readRetryDelay {
		err := r.readDesired(ctx)
		if err == nil {
			return nil
		}
		r.readFailedAt = time.Now()
		r.log.Warn("failed to confirm the newest state with the store; pulling it from routers", "err", err)
	}
	r.pull(ctx, true)
	if r.desiredAge() <= maxConfirmedAge {
		return nil
	}
	return errors.Trace(ErrUnconfirmed)
}

// readDesired confirms the desired state with the store, and reads a newer one if there is one. The
// store sends no value as long as the replica has the newest.
func (r *Replica) readDesired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r.mu.Lock()
	condition := port.Condition{Key: r.desiredKey, Revision: r.entries[r.desiredKey].Revision}
	r.mu.Unlock()
	startedAt := time.Now()
	result, err := r.store.Commit(ctx, port.Transaction{Conditions: []port.Condition{condition}, ReadConflicts: true})
	if err != nil {
		return err
	}
	for _, entry := range result.Found {
		if entry.Revision > 0 {
			r.applyEntry(entry)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desiredConfirmedAt = startedAt
	return nil
}

// applyEntry applies one entry that was read on its own.
func (r *Replica) applyEntry(entry port.Entry) {
	r.applying <- struct{}{}
	defer func() { <-r.applying }()
	r.notify(r.record([]Change{{Entry: entry}}))
}
