package claims

import (
	"context"
	"sync"
	"time"

	coreclaim "agateswitch/core/claim"
	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"
)

// Timeouts of an owner.
const (
	// ownerBeginTimeout is how long a claim waits to become durable.
	ownerBeginTimeout = 2 * time.Second
	// ownerFinishTimeout is how long a call's end waits to become durable. The entry router then
	// tries again.
	ownerFinishTimeout = 2 * time.Second
	// commitTimeout bounds one transaction.
	commitTimeout = time.Second
	// pauseThreshold is the time without a tick after which this process is considered to have been
	// paused.
	pauseThreshold = 3 * tickInterval
)

// worker runs one claim shard on this router.
type worker struct {
	service *Service
	number  int
	// wakeup notifies run of a new operation. Its capacity of 1 keeps a signal without blocking.
	wakeup chan struct{}

	// mu guards the fields below. It is never held during a call.
	mu          sync.Mutex
	shard       *coreclaim.Shard
	waiting     map[coreclaim.OperationID]chan coreclaim.Reply
	running     bool
	lastTick    time.Time
	lastRemoval time.Time
	// rankedAbove holds the live routers that rank above this one, suspects included.
	rankedAbove map[fleet.HostID]bool
	// pendingNotices holds the routers to notify that this one has accepted claims.
	pendingNotices map[fleet.HostID]bool
}

func newWorker(s *Service, number int, now time.Time, writesPerSecond float64) *worker {
	return &worker{
		service: s, number: number, wakeup: make(chan struct{}, 1),
		shard:    coreclaim.NewShard(now, writesPerSecond),
		waiting:  map[coreclaim.OperationID]chan coreclaim.Reply{},
		lastTick: now, lastRemoval: now, rankedAbove: map[fleet.HostID]bool{}, pendingNotices: map[fleet.HostID]bool{},
	}
}

// begin handles a claim and waits for its result.
func (w *worker) begin(ctx context.Context, claim fleet.Claim) fleet.ClaimResult {
	w.mu.Lock()
	now := time.Now()
	w.resetAfterPause(now)
	id, reply, queued := w.shard.Begin(now, claim)
	for host := range w.rankedAbove {
		w.pendingNotices[host] = true
	}
	mustNotify := len(w.pendingNotices) > 0
	replies := w.register(id, queued)
	w.mu.Unlock()
	if mustNotify {
		go w.sendNotices(context.WithoutCancel(ctx))
	}
	if queued {
		reply = w.waitForReply(ctx, id, replies, ownerBeginTimeout)
	}
	return reply.Result
}

// finish handles the end of a call and reports whether it is durable.
func (w *worker) finish(ctx context.Context, request finishRequest) bool {
	w.mu.Lock()
	id := w.shard.Finish(time.Now(), request.Claim, request.Answer)
	replies := w.register(id, true)
	w.mu.Unlock()
	return w.waitForReply(ctx, id, replies, ownerFinishTimeout).Recorded
}

// register returns a channel for the reply of a queued operation and starts or notifies run. The
// caller holds mu.
func (w *worker) register(id coreclaim.OperationID, queued bool) chan coreclaim.Reply {
	if !queued {
		return nil
	}
	replies := make(chan coreclaim.Reply, 1)
	w.waiting[id] = replies
	if !w.running {
		w.running = true
		go w.run()
	}
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
	return replies
}

// waitForReply waits for the reply of an operation. It abandons the operation after the timeout or
// when ctx ends.
func (w *worker) waitForReply(ctx context.Context, id coreclaim.OperationID, replies chan coreclaim.Reply, timeout time.Duration) coreclaim.Reply {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case reply := <-replies:
		// The reply arrived before this goroutine acquired the lock.
		return reply
	default:
	}
	delete(w.waiting, id)
	return w.shard.Abandon(time.Now(), id)
}

// run commits transactions until no operation is waiting. At most one run is active per worker.
func (w *worker) run() {
	for {
		transaction, wake, state := w.next()
		switch state {
		case stateIdle:
			return
		case stateCommit:
			w.handleOutcome(w.service.commit(transaction))
		case stateWait:
			timer := time.NewTimer(time.Until(wake))
			select {
			case <-timer.C:
			case <-w.wakeup:
			}
			timer.Stop()
		}
	}
}

// runState is the next action of run.
type runState int

const (
	stateIdle runState = iota
	stateCommit
	stateWait
)

// next returns the next transaction, or the time until which run waits.
func (w *worker) next() (coreclaim.Transaction, time.Time, runState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if transaction, ok := w.shard.Next(now); ok {
		return transaction, time.Time{}, stateCommit
	}
	wake, ok := w.shard.WakeAt(now)
	if !ok {
		// Cleared under the lock, so that the next operation starts a new run.
		w.running = false
		return coreclaim.Transaction{}, time.Time{}, stateIdle
	}
	return coreclaim.Transaction{}, wake, stateWait
}

// handleOutcome passes the outcome of a transaction to the shard and delivers the replies.
func (w *worker) handleOutcome(outcome coreclaim.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, reply := range w.shard.HandleOutcome(time.Now(), outcome) {
		if replies, found := w.waiting[reply.Operation]; found {
			delete(w.waiting, reply.Operation)
			replies <- reply
		}
	}
}

// commit commits a transaction to the store and returns its outcome.
func (s *Service) commit(transaction coreclaim.Transaction) coreclaim.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	started := time.Now()
	result, err := s.store.Commit(ctx, storeTransaction(transaction))
	s.metrics.committed(len(transaction.Conditions), len(transaction.Writes) > 0, err != nil, time.Since(started))
	if err != nil {
		s.telemetry.Log.Warn("store did not answer a claim commit; reading the records back", "operations", len(transaction.Conditions), "err", err)
		return coreclaim.Outcome{Lost: true}
	}
	s.telemetry.Log.Debug("claims committed", "operations", len(transaction.Conditions),
		"writes", len(transaction.Writes), "applied", result.Applied)
	outcome := coreclaim.Outcome{Applied: result.Applied, Revision: result.Revision.Number}
	for _, entry := range result.Found {
		outcome.Found = append(outcome.Found, coreclaim.Entry{Value: entry.Value, Revision: entry.Revision.Number})
	}
	if !outcome.Applied && len(outcome.Found) != len(transaction.Conditions) {
		return coreclaim.Outcome{Lost: true}
	}
	return outcome
}

// storeTransaction converts a transaction of the shard to one of the store.
func storeTransaction(transaction coreclaim.Transaction) port.Transaction {
	converted := port.Transaction{ReadConflicts: true}
	for _, condition := range transaction.Conditions {
		converted.Conditions = append(converted.Conditions, port.Condition{Key: condition.Key, Revision: revision.Revision{Number: condition.Revision}})
	}
	for _, write := range transaction.Writes {
		converted.Writes = append(converted.Writes, port.Write{Key: write.Key, Value: write.Value})
	}
	return converted
}
