package claims

import (
	"context"
	"sync"
	"time"

	coreclaim "agateswitch/core/claim"
	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Limits of an owner.
const (
	// beginLimit is how long a beginning waits to become durable.
	beginLimit = 2 * time.Second
	// finishLimit is how long an end waits; the entry router then tries again.
	finishLimit = 2 * time.Second
	// commitTimeout bounds one transaction.
	commitTimeout = time.Second
	// pauseLimit is the time without a tick after which this process counts as paused.
	pauseLimit = 3 * tickInterval
)

// worker runs one claim shard at this router.
type worker struct {
	service *Service
	number  int
	// kicked has room for one signal, so that it is never lost and never blocks.
	kicked chan struct{}

	// mu guards all below. It is never held during a call.
	mu      sync.Mutex
	shard   *coreclaim.Shard
	waiting map[coreclaim.OperationID]chan coreclaim.Reply
	running bool
	ticked  time.Time
	removed time.Time
	// above holds the listed routers that rank above this one, suspects included.
	above map[fleet.HostID]bool
	// owed holds the routers that are to hear that this one took claims.
	owed map[fleet.HostID]bool
}

func newWorker(s *Service, number int, now time.Time, writesPerSecond float64) *worker {
	return &worker{
		service: s, number: number, kicked: make(chan struct{}, 1),
		shard:   coreclaim.NewShard(now, writesPerSecond),
		waiting: map[coreclaim.OperationID]chan coreclaim.Reply{},
		ticked:  now, removed: now, above: map[fleet.HostID]bool{}, owed: map[fleet.HostID]bool{},
	}
}

// begin takes a claim and waits for its reply.
func (w *worker) begin(ctx context.Context, claim fleet.Claim) fleet.ClaimResult {
	w.mu.Lock()
	now := time.Now()
	w.notePause(now)
	id, reply, later := w.shard.Begin(now, claim)
	for host := range w.above {
		w.owed[host] = true
	}
	owes := len(w.owed) > 0
	answer := w.await(id, later)
	w.mu.Unlock()
	if owes {
		go w.tellOwed(context.WithoutCancel(ctx))
	}
	if later {
		reply = w.wait(ctx, id, answer, beginLimit)
	}
	return reply.Result
}

func (w *worker) finish(ctx context.Context, request finishRequest) bool {
	w.mu.Lock()
	id := w.shard.Finish(time.Now(), request.Claim, request.Answer)
	answer := w.await(id, true)
	w.mu.Unlock()
	return w.wait(ctx, id, answer, finishLimit).Recorded
}

// await registers an operation that is answered later and makes the shard run.
func (w *worker) await(id coreclaim.OperationID, later bool) chan coreclaim.Reply {
	if !later {
		return nil
	}
	answer := make(chan coreclaim.Reply, 1)
	w.waiting[id] = answer
	if !w.running {
		w.running = true
		go w.run()
	}
	select {
	case w.kicked <- struct{}{}:
	default:
	}
	return answer
}

func (w *worker) wait(ctx context.Context, id coreclaim.OperationID, answer chan coreclaim.Reply, limit time.Duration) coreclaim.Reply {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case reply := <-answer:
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case reply := <-answer:
		// The reply was delivered under the lock before it was given up.
		return reply
	default:
	}
	delete(w.waiting, id)
	return w.shard.Abandon(time.Now(), id)
}

// run commits until nothing waits. One run goes at a time.
func (w *worker) run() {
	for {
		transaction, wake, state := w.next()
		switch state {
		case stateIdle:
			return
		case stateCommit:
			w.done(w.service.commit(transaction))
		case stateWait:
			timer := time.NewTimer(time.Until(wake))
			select {
			case <-timer.C:
			case <-w.kicked:
			}
			timer.Stop()
		}
	}
}

// runState is what a run does next.
type runState int

const (
	stateIdle runState = iota
	stateCommit
	stateWait
)

func (w *worker) next() (coreclaim.Transaction, time.Time, runState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if transaction, ok := w.shard.Next(now); ok {
		return transaction, time.Time{}, stateCommit
	}
	wake, ok := w.shard.WakeAt(now)
	if !ok {
		// Cleared under the lock: an operation that comes next starts a new run.
		w.running = false
		return coreclaim.Transaction{}, time.Time{}, stateIdle
	}
	return coreclaim.Transaction{}, wake, stateWait
}

func (w *worker) done(outcome coreclaim.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, reply := range w.shard.HandleOutcome(time.Now(), outcome) {
		if answer, found := w.waiting[reply.Operation]; found {
			delete(w.waiting, reply.Operation)
			answer <- reply
		}
	}
}

// commit makes a transaction in the store.
func (s *Service) commit(transaction coreclaim.Transaction) coreclaim.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	started := time.Now()
	result, err := s.store.Commit(ctx, storeTransaction(transaction))
	s.metrics.committed(len(transaction.Conditions), len(transaction.Writes) > 0, err != nil, time.Since(started))
	if err != nil {
		s.telemetry.Log.Warn("claims not committed, reading back", "operations", len(transaction.Conditions), "err", err)
		return coreclaim.Outcome{Lost: true}
	}
	s.telemetry.Log.Debug("claims committed", "operations", len(transaction.Conditions),
		"writes", len(transaction.Writes), "applied", result.Applied)
	outcome := coreclaim.Outcome{Applied: result.Applied, Revision: result.Revision}
	for _, entry := range result.Found {
		outcome.Found = append(outcome.Found, coreclaim.Entry{Value: entry.Value, Revision: entry.Revision})
	}
	if !outcome.Applied && len(outcome.Found) != len(transaction.Conditions) {
		return coreclaim.Outcome{Lost: true}
	}
	return outcome
}

func storeTransaction(transaction coreclaim.Transaction) port.Transaction {
	converted := port.Transaction{ReadConflicts: true}
	for _, condition := range transaction.Conditions {
		converted.Conditions = append(converted.Conditions, port.Condition{Key: condition.Key, Revision: condition.Revision})
	}
	for _, write := range transaction.Writes {
		converted.Writes = append(converted.Writes, port.Write{Key: write.Key, Value: write.Value})
	}
	return converted
}
