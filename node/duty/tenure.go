package duty

import (
	"context"
	"time"

	"agateswitch/core/duty"
	"agateswitch/port"

	"github.com/juju/errors"
)

func (s *seat) setTenure(tenure *duty.Tenure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenure = tenure
	s.status.Holds = tenure != nil
}

// confirm applies that the store has confirmed the record.
func (s *seat) confirm(sentAt, suspended time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tenure == nil {
		s.tenure = &duty.Tenure{Token: s.record.Token}
	}
	s.tenure.Confirm(sentAt, s.now(), s.lease())
	s.suspended = suspended
	s.status.Holds, s.status.Holder, s.status.Token = true, s.service.self, s.record.Token
	if s.lapse != nil {
		s.lapse.Reset(s.tenure.Left(s.now()))
	}
}

// doubt forbids calls until the next confirmation.
func (s *seat) doubt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tenure != nil {
		s.tenure.Doubt()
	}
}

// startWork starts the duty's work unless it runs. It is cancelled before the lease can have expired.
func (s *seat) startWork(ctx context.Context) {
	if s.stopWork != nil && s.working.Err() == nil {
		return
	}
	s.endWork()
	ctx, cancel := context.WithCancel(ctx)
	s.working = ctx
	done := make(chan struct{})
	s.mu.Lock()
	s.lapse = time.AfterFunc(s.tenure.Left(s.now()), func() {
		s.service.counts.lapses.Add(1)
		s.service.log.Warn("lease of a duty has run out; it rests until the store confirms it", "duty", s.duty.Name(), "subject", s.subject)
		cancel()
	})
	s.mu.Unlock()
	s.stopWork = func() {
		cancel()
		s.mu.Lock()
		s.lapse.Stop()
		s.lapse = nil
		s.mu.Unlock()
		<-done
		s.stopWork = nil
	}
	go func() {
		defer close(done)
		s.work(ctx)
	}()
	// Work that a lapse has ended starts again with the next confirmation.
	context.AfterFunc(ctx, s.wake)
}

// work calls the duty's work until ctx ends.
func (s *seat) work(ctx context.Context) {
	for ctx.Err() == nil {
		wait := s.duty.Work(ctx, s.subject, grant{s})
		select {
		case <-time.After(max(wait, minWorkInterval)):
		case <-ctx.Done():
		}
	}
}

// minWorkInterval is the least time between two calls of a duty's work.
const minWorkInterval = 10 * time.Millisecond

func (s *seat) endWork() {
	if s.stopWork != nil {
		s.stopWork()
	}
}

// grant implements Grant.
type grant struct{ *seat }

// Send implements Grant.
func (g grant) Send(ctx context.Context, send func(ctx context.Context, call port.DutyCall) error) error {
	if err := g.service.await(ctx); err != nil {
		return errors.WithType(err, ErrNotHeld)
	}
	left, token := g.left()
	if left < g.lease().MinCall() {
		g.service.counts.withheld.Add(1)
		return errors.Trace(ErrNotHeld)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	startedAt := g.now()
	err := send(ctx, port.DutyCall{Holder: g.service.self, Token: token, Check: func() error { return g.check(token) }})
	g.recordCall(startedAt, err)
	return err
}

// check returns ErrNotHeld unless this router holds the subject with the token and long enough for what is written to arrive.
func (g grant) check(token uint64) error {
	if left, now := g.left(); left <= 0 || now != token {
		g.service.counts.withheld.Add(1)
		return errors.Trace(ErrNotHeld)
	}
	return nil
}

// left returns for how much longer this router may act, and its token. After the process was suspended that is nothing until the store
// has confirmed the lease again.
func (s *seat) left() (time.Duration, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tenure == nil {
		return 0, 0
	}
	if suspended := s.service.suspended() - s.suspended; suspended > suspendTolerance {
		s.tenure.Doubt()
		s.service.counts.suspensions.Add(1)
		s.service.log.Warn("process was suspended while it held a duty; waiting for the store", "duty", s.duty.Name(), "subject", s.subject, "for", suspended)
		s.suspended += suspended
		s.wake()
	}
	return s.tenure.Left(s.now()), s.tenure.Token
}
