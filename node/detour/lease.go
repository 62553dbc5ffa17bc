package detour

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"agateswitch/core/detour"
	"agateswitch/core/fleet"
	"agateswitch/node/keeper"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// leases holds the leases that this router has given to others.
type leases struct {
	peers port.Peers
	log   *log.Logger

	mu         sync.Mutex
	nextNumber uint64
	routers    map[fleet.HostID]*leasedRouter
}

// leasedRouter is what is known of a router that works for this one. leases.mu guards it.
type leasedRouter struct {
	stamp detour.Stamp
	// stampedAt is when the stamp arrived; no moment of it is later.
	stampedAt time.Time
	// usedAt is when a request last needed the router.
	usedAt time.Time
	// unableUntil is until when the router is taken for one of an earlier version, which knows no leases.
	unableUntil time.Time
	active      map[*Lease]struct{}
	isRenewing  bool
}

// Lease is the permission of another router to have an upstream work on one request.
type Lease struct {
	leases *leases
	via    fleet.HostID
	grant  Grant
	// until is when the lease has ended at the other router in any case.
	until time.Time
}

// Join connects the service to other routers. All requests through other routers have leases from then on.
func (s *Service) Join(peers port.Peers, logger *log.Logger) {
	s.leases = &leases{peers: peers, log: logger, nextNumber: rand.Uint64(), routers: map[fleet.HostID]*leasedRouter{}}
	peers.Handle(methodRenew, s.workers.handleRenew)
	peers.Handle(methodStop, s.workers.handleStop)
}

// Lease returns a lease for a request that another router is going to send. It is nil for a router of an earlier version. End or
// Stop must be called.
func (s *Service) Lease(ctx context.Context, via fleet.HostID, isKept bool) (*Lease, error) {
	l := s.leases
	if l == nil {
		return nil, nil
	}
	if isUnable, err := l.refreshStamp(ctx, via); isUnable || err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	router := l.router(via)
	l.nextNumber++
	lease := &Lease{
		leases: l, via: via, grant: Grant{Number: l.nextNumber, Stamp: router.stamp, IsKept: isKept},
		until: router.stampedAt.Add(detour.WaitTime),
	}
	router.active[lease] = struct{}{}
	if !router.isRenewing {
		router.isRenewing = true
		go l.renewWhileActive(via)
	}
	return lease, nil
}

// refreshStamp asks a router for a stamp unless there is a recent one. It reports whether the router knows no leases.
func (l *leases) refreshStamp(ctx context.Context, via fleet.HostID) (isUnable bool, err error) {
	now := time.Now()
	l.mu.Lock()
	router := l.router(via)
	isUnable = now.Before(router.unableUntil)
	isRecent := now.Sub(router.stampedAt) < 2*detour.RenewInterval
	l.mu.Unlock()
	if isUnable || isRecent {
		return isUnable, nil
	}
	err = l.renew(ctx, via)
	if !errors.Is(err, port.ErrUnknownMethod) {
		return false, err
	}
	l.log.Info("router of an earlier version knows no leases; its work for this one ends with its connection only", "peer", via, "left_alone", keeper.UnableTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	router.unableUntil = time.Now().Add(keeper.UnableTime)
	return true, nil
}

// router returns what is known of a router. The caller holds mu.
func (l *leases) router(id fleet.HostID) *leasedRouter {
	now := time.Now()
	for other, known := range l.routers {
		if other != id && !known.isRenewing && now.Sub(known.usedAt) > keeper.UnableTime && now.After(known.unableUntil) {
			delete(l.routers, other)
		}
	}
	if l.routers[id] == nil {
		l.routers[id] = &leasedRouter{active: map[*Lease]struct{}{}}
	}
	l.routers[id].usedAt = now
	return l.routers[id]
}

// renewWhileActive renews the leases of a router until there are none.
func (l *leases) renewWhileActive(via fleet.HostID) {
	ticker := time.NewTicker(detour.RenewInterval)
	defer ticker.Stop()
	for range ticker.C {
		l.mu.Lock()
		router := l.router(via)
		router.isRenewing = len(router.active) > 0
		goesOn := router.isRenewing
		l.mu.Unlock()
		if !goesOn {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), detour.LeaseTime)
		if err := l.renew(ctx, via); err != nil {
			l.log.Info("failed to renew the leases of another router", "peer", via, "err", err)
		}
		cancel()
	}
}

// renew renews the leases of a router, and receives its next stamp.
func (l *leases) renew(ctx context.Context, via fleet.HostID) error {
	l.mu.Lock()
	router := l.router(via)
	request := renewRequest{Stamp: router.stamp}
	for lease := range router.active {
		request.Leases = append(request.Leases, lease.grant.Number)
		lease.until = router.stampedAt.Add(detour.WaitTime)
	}
	l.mu.Unlock()
	var response renewResponse
	if err := l.peers.Call(ctx, via, methodRenew, request, &response); err != nil {
		return errors.Trace(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A later call may have been answered before this one.
	if response.Stamp.Issuer != router.stamp.Issuer || response.Stamp.At > router.stamp.At {
		router.stamp, router.stampedAt = response.Stamp, time.Now()
	}
	return nil
}

// Grant returns the lease as a part of an order.
func (l *Lease) Grant() *Grant {
	if l == nil {
		return nil
	}
	return &l.grant
}

// End ends the renewals of a lease.
func (l *Lease) End() {
	if l == nil {
		return
	}
	l.leases.mu.Lock()
	defer l.leases.mu.Unlock()
	delete(l.leases.router(l.via).active, l)
}

// Stop ends a lease and waits until no upstream works under it: until the other router says so, or must have ended the work. It
// reports false if ctx ends before. A router of an earlier version is not waited for.
func (l *Lease) Stop(ctx context.Context) bool {
	if l == nil {
		return true
	}
	l.End()
	until, cancel := context.WithDeadline(ctx, l.until)
	defer cancel()
	err := l.leases.peers.Call(until, l.via, methodStop, stopRequest{Lease: l.grant.Number}, &struct{}{})
	if err == nil {
		return true
	}
	began := time.Now()
	<-until.Done()
	l.leases.log.Info("waited for the end of a lease", "peer", l.via, "lease", l.grant.Number, "waited", time.Since(began), "err", err)
	return ctx.Err() == nil
}
