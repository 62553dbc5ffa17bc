package detour

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/detour"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Methods of the peer protocol.
const (
	methodRenew = "detour.renew"
	methodStop  = "detour.stop"
)

// errLeaseEnded is the cause of the end of work that no other router has asked for any longer.
const errLeaseEnded = errors.ConstError("the lease of the other router has ended")

// renewRequest renews leases with a stamp of the called router. Without leases, it asks for a stamp only.
type renewRequest struct {
	Stamp  detour.Stamp `msgpack:"s"`
	Leases []uint64     `msgpack:"l,omitempty"`
}

type renewResponse struct {
	Stamp detour.Stamp `msgpack:"s"`
}

type stopRequest struct {
	Lease uint64 `msgpack:"l"`
}

// Grant is the lease of an order.
type Grant struct {
	Number uint64       `json:"number"`
	Stamp  detour.Stamp `json:"stamp"`
	// IsKept is true if work that has begun goes on after the end of the lease, because it is done nowhere else.
	IsKept bool `json:"is_kept,omitempty"`
}

// workers holds the work that this router does for others under leases.
type workers struct {
	start time.Time

	mu     sync.Mutex
	leases *detour.Leases
	works  map[detour.LeaseID]*Work
}

func newWorkers(issuer uint64) *workers {
	return &workers{start: time.Now(), leases: detour.NewLeases(issuer), works: map[detour.LeaseID]*Work{}}
}

// now returns the time since the start by the steady clock.
func (w *workers) now() time.Duration { return time.Since(w.start) }

// Work is the work on one request of another router under a lease.
type Work struct {
	workers *workers
	id      detour.LeaseID
	isKept  bool
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	ended   chan struct{}
}

// BeginWork begins the work on a request of another router. The returned context ends with the lease, unless the work is kept. It
// reports false if the lease has run out, or was given up. End must be called.
func (s *Service) BeginWork(ctx context.Context, from fleet.HostID, grant Grant) (context.Context, *Work, bool) {
	w := s.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	id := detour.LeaseID{From: from, Number: grant.Number}
	now := w.now()
	if !w.leases.Begin(id, grant.Stamp, now) {
		return ctx, nil, false
	}
	work := &Work{workers: w, id: id, isKept: grant.IsKept, ended: make(chan struct{})}
	ctx, work.cancel = context.WithCancelCause(ctx)
	work.timer = time.AfterFunc(w.leases.Remaining(id, now), work.expire)
	w.works[id] = work
	return ctx, work, true
}

// expire ends the work if its lease was not renewed meanwhile.
func (k *Work) expire() {
	w := k.workers
	w.mu.Lock()
	defer w.mu.Unlock()
	if remaining := w.leases.Remaining(k.id, w.now()); remaining > 0 {
		k.timer.Reset(remaining)
		return
	}
	if !k.isKept {
		k.cancel(errLeaseEnded)
	}
}

// MaySend reports whether the request may be sent to an upstream now. A process that was paused finds that the lease has ended.
func (k *Work) MaySend() bool {
	k.workers.mu.Lock()
	defer k.workers.mu.Unlock()
	return k.workers.leases.Valid(k.id, k.workers.now())
}

// End ends the work. No upstream works on the request any longer.
func (k *Work) End() {
	k.workers.mu.Lock()
	defer k.workers.mu.Unlock()
	k.timer.Stop()
	k.cancel(nil)
	k.workers.leases.End(k.id)
	delete(k.workers.works, k.id)
	close(k.ended)
}

// handleRenew renews leases of another router.
func (w *workers) handleRenew(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var request renewRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, number := range request.Leases {
		w.leases.Renew(detour.LeaseID{From: from, Number: number}, request.Stamp, now)
	}
	return renewResponse{Stamp: w.leases.Issue(now)}, nil
}

// handleStop ends the work under a lease, and answers once it has ended.
func (w *workers) handleStop(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var request stopRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	id := detour.LeaseID{From: from, Number: request.Lease}
	w.mu.Lock()
	w.leases.Stop(id, w.now())
	work := w.works[id]
	w.mu.Unlock()
	if work == nil {
		return struct{}{}, nil
	}
	work.cancel(errLeaseEnded)
	ctx, cancel := context.WithTimeout(ctx, detour.LeaseTime)
	defer cancel()
	select {
	case <-work.ended:
		return struct{}{}, nil
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}
