package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// Limits of a confirmation.
const (
	// confirmLimit bounds a confirmation.
	confirmLimit = 1500 * time.Millisecond
	// newerStateTimeout is how long a confirmation waits for a newer desired state that exists.
	newerStateTimeout = time.Second
)

// Confirm ensures that the desired state in force is the newest. Concurrent calls share the result of
// a confirmation that started after they were made.
func (r *Replica) Confirm(ctx context.Context) error {
	if r.DesiredAge() <= maxConfirmedAge {
		return nil
	}
	requestedAt := time.Now()
	select {
	case r.confirming <- struct{}{}:
	case <-ctx.Done():
		return errors.Trace(ErrUnconfirmed)
	}
	defer func() { <-r.confirming }()
	if r.confirmStartedAt.After(requestedAt) {
		return r.confirmErr
	}
	r.confirmStartedAt = time.Now()
	// Other calls share the result, so it must not depend on this one's caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmLimit)
	defer cancel()
	r.confirmErr = r.confirm(ctx)
	return r.confirmErr
}

// confirm asks a watcher, the store, and then routers that may reach the store.
func (r *Replica) confirm(ctx context.Context) error {
	if watchers, self := r.watchers(); !self {
		_, err := r.pullFrom(ctx, watchers[rand.N(len(watchers))], pullRequest{Newest: true})
		if err == nil && r.awaitConfirmed(ctx) {
			return nil
		}
	}
	if time.Since(r.readFailedAt) > readRetryDelay {
		_, err := r.readDesired(ctx, confirmTimeout)
		if r.awaitConfirmed(ctx) {
			return nil
		}
		if err != nil {
			r.readFailedAt = time.Now()
			r.log.Warn("failed to confirm the newest state with the store; pulling it from routers", "err", err)
		}
	}
	r.pull(ctx, true)
	if r.awaitConfirmed(ctx) {
		return nil
	}
	return errors.Trace(ErrUnconfirmed)
}

// awaitConfirmed reports whether the desired state in force is confirmed. If a newer one exists, it
// waits until that is in force.
func (r *Replica) awaitConfirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, newerStateTimeout)
	defer cancel()
	for {
		r.mu.Lock()
		isConfirmed := time.Since(r.desired.confirmedAt) <= maxConfirmedAge
		isCurrent, changed := !r.desired.known.After(r.desired.applied), r.desired.changed
		r.mu.Unlock()
		if isConfirmed || isCurrent {
			return isConfirmed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
