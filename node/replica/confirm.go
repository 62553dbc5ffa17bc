package replica

import (
	"context"
	"time"

	"agateswitch/port"

	"github.com/juju/errors"
)

// desiredAge returns how old the desired state may be.
func (r *Replica) desiredAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(time.Since(r.confirmed), time.Since(r.desiredConfirmed))
}

// Confirm makes sure that the desired state is the newest. Calls that wait for a confirmation
// which began after they came share its result.
func (r *Replica) Confirm(ctx context.Context) error {
	if r.desiredAge() <= confirmAge {
		return nil
	}
	came := time.Now()
	r.confirming.Lock()
	defer r.confirming.Unlock()
	if r.confirmBegan.After(came) {
		return r.confirmError
	}
	r.confirmBegan = time.Now()
	r.confirmError = r.confirm(ctx)
	return r.confirmError
}

// confirm reads the desired state, or asks routers that may have read it.
func (r *Replica) confirm(ctx context.Context) error {
	if time.Since(r.readFailed) > readPause {
		err := r.readDesired(ctx)
		if err == nil {
			return nil
		}
		r.readFailed = time.Now()
		r.log.Warn("store did not confirm the newest state, asking routers", "err", err)
	}
	r.pull(ctx, true)
	if r.desiredAge() <= confirmAge {
		return nil
	}
	return errors.Trace(ErrUnconfirmed)
}

// readDesired reads the desired state alone from the store.
func (r *Replica) readDesired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	began := time.Now()
	entry, err := r.store.Get(ctx, r.desiredKey)
	if err != nil {
		return err
	}
	if entry.Revision > 0 {
		r.learn(entry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desiredConfirmed = began
	return nil
}

// learn takes one entry that was read by itself.
func (r *Replica) learn(entry port.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change := Change{Entry: entry}
	if r.take(change, time.Now()) {
		for _, observe := range r.subscribers {
			observe([]Change{change})
		}
	}
}
