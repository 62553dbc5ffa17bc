package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"agateswitch/core/duty"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// seat is one subject of a duty, which this router holds, is in line for, or neither.
type seat struct {
	service *Service
	duty    Duty
	subject string
	cancel  context.CancelFunc
	// woken interrupts the wait for the next step.
	woken chan struct{}

	// candidate, record, written and wrote are used by run only. record is what this router writes, written the revision of its last
	// confirmed write, and era that in which the tenure is.
	candidate duty.Candidate
	record    duty.Record
	written   revision.Revision
	era       int64
	// stopWork ends the work that was started in the context working, and waits for its end; nil if none was.
	stopWork func()
	working  context.Context
	lapse    *time.Timer
	// problem is the last problem that was logged.
	problem string

	mu sync.Mutex
	// tenure is nil while this router does not hold the subject.
	tenure *duty.Tenure
	// suspended is for how long the process had been suspended when the tenure was last confirmed.
	suspended time.Duration
	status    Status
}

func newSeat(s *Service, d Duty, subject string) *seat {
	return &seat{service: s, duty: d, subject: subject, woken: make(chan struct{}, 1), cancel: func() {}}
}

// name is the seat's name in logs, and the key for the order of the routers in line.
func (s *seat) name() string { return s.duty.Name() + "/" + s.subject }

// key returns the key of the record in an era.
func (s *seat) key(era int64) string { return fmt.Sprintf("%s%s/%d", KeyPrefix, s.name(), era) }

func (s *seat) lease() duty.Lease { return s.service.options.Lease }

func (s *seat) now() time.Duration { return s.service.clock.Now() }

func (s *seat) wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// run holds the subject whenever it is this router's turn, until ctx ends.
func (s *seat) run(ctx context.Context) {
	defer func() { s.handOver(ctx, "the router stops or the subject is gone") }()
	for {
		timer := time.NewTimer(s.step(ctx))
		select {
		case <-timer.C:
		case <-s.woken:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// step does what is due, and returns after how long it is to be called again.
func (s *seat) step(ctx context.Context) time.Duration {
	rank, leaving := s.service.fleet.Rank(s.name()), s.service.fleet.Leaving()
	if s.holds() {
		switch {
		case leaving:
			s.handOver(ctx, "the router leaves the fleet")
		case rank >= maxHolderRank:
			s.handOver(ctx, "other routers are before this one")
		default:
			return s.renew(ctx)
		}
	}
	if leaving || rank >= candidates {
		s.candidate = duty.Candidate{}
		return checkInterval
	}
	return s.stand(ctx, rank)
}

func (s *seat) holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure != nil
}

// stand observes the record, and claims the subject when that is allowed.
func (s *seat) stand(ctx context.Context, rank int) time.Duration {
	era := s.service.era()
	entry, err := s.read(ctx, era)
	if err != nil {
		s.report("failed to read the record of a duty", err)
		return s.lease().RenewInterval()
	}
	if s.service.era() != era {
		return 0
	}
	record, err := decode(entry)
	if err != nil {
		// Its holder is waited for like any other, and the next claim replaces it.
		s.report("the record of a duty can't be decoded", err)
	} else {
		s.problem = ""
	}
	s.observeHolder(record)
	s.candidate.Observe(era, entry.Revision, record, s.now())
	if record.IsOf(s.service.self, s.service.incarnation) {
		// The answer to an own claim was lost. The claim counts once it is renewed.
		s.record, s.written, s.era = record, entry.Revision, era
		s.setTenure(&duty.Tenure{Token: record.Token})
		return 0
	}
	at, _ := s.candidate.ClaimAt(s.lease(), rank)
	if wait := at - s.now(); wait > 0 {
		return min(wait, s.lease().LookInterval(rank))
	}
	return s.claim(ctx, era, rank, record)
}

// claim replaces the record that was observed.
func (s *seat) claim(ctx context.Context, era int64, rank int, replaced duty.Record) time.Duration {
	s.record = duty.Record{Holder: s.service.self, Incarnation: s.service.incarnation, Token: duty.Token(era, s.candidate.Replaced())}
	s.written, s.era = s.candidate.Replaced(), era
	if !s.write(ctx, "claim a duty") {
		return s.lease().RetryInterval()
	}
	s.candidate = duty.Candidate{}
	s.service.counts.claims.Add(1)
	s.service.log.Info("duty claimed", "duty", s.duty.Name(), "subject", s.subject, "token", s.record.Token, "rank", rank,
		"before", replaced.Holder, "before_token", replaced.Token, "released", replaced.Released, "era", era)
	s.startWork(ctx)
	return s.lease().RenewInterval()
}

// renew renews the lease, or finds that it is lost.
func (s *seat) renew(ctx context.Context) time.Duration {
	if s.service.era() != s.era {
		s.lose("the store was restored")
		return 0
	}
	s.record.Renewals++
	if s.write(ctx, "renew the lease of a duty") {
		s.startWork(ctx)
		return s.lease().RenewInterval()
	}
	return s.lease().RetryInterval()
}

// write writes the record in place of the one last seen. It reports whether the store has confirmed it; what was lost is given up.
func (s *seat) write(ctx context.Context, what string) bool {
	sentAt, suspended := s.now(), s.service.suspended()
	value, err := json.Marshal(s.record)
	if err != nil {
		s.report("failed to encode the record of a duty", err)
		return false
	}
	key := s.key(s.era)
	writeContext, cancel := context.WithTimeout(ctx, s.lease().CallTimeout())
	defer cancel()
	result, err := s.service.store.Commit(writeContext, port.Transaction{
		Conditions: []port.Condition{{Key: key, Revision: s.written}}, Writes: []port.Write{{Key: key, Value: value}}, ReadConflicts: true,
	})
	switch {
	case err != nil:
		s.doubt()
		s.report("failed to "+what, err)
		return false
	case !result.Applied:
		s.settle(result.Found)
		return false
	case !result.Revision.IsOfSameEra(revision.Revision{Era: s.era}):
		s.lose("the store was restored")
		return false
	}
	s.problem = ""
	s.written = result.Revision
	s.confirm(sentAt, suspended)
	return true
}

// settle finds, after a write that met another record, whether that is an own one whose answer was lost.
func (s *seat) settle(found []port.Entry) {
	if len(found) == 1 {
		record, err := decode(found[0])
		if err == nil && record.IsOf(s.service.self, s.service.incarnation) && record.Token == s.record.Token {
			s.written = found[0].Revision
			if !s.holds() {
				s.setTenure(&duty.Tenure{Token: record.Token})
			}
			s.doubt()
			s.wake()
			return
		}
	}
	s.lose("another router holds it")
}

// handOver stops the work and lets a successor claim the subject, at once if that is safe.
func (s *seat) handOver(ctx context.Context, why string) {
	if !s.holds() {
		return
	}
	s.endWork()
	s.mu.Lock()
	atOnce := s.tenure.MayHandOverAtOnce(s.now(), s.lease())
	s.tenure, s.status.Holds = nil, false
	s.mu.Unlock()
	var err error
	if atOnce {
		released := s.record
		released.Released = true
		err = s.release(ctx, released)
	}
	s.service.counts.handovers.Add(1)
	s.service.log.Info("duty handed over", "duty", s.duty.Name(), "subject", s.subject, "token", s.record.Token, "cause", why, "at_once", atOnce && err == nil, "err", err)
}

// lose gives up a subject that this router does not hold any longer.
func (s *seat) lose(why string) {
	held := s.holds()
	s.endWork()
	s.setTenure(nil)
	s.candidate = duty.Candidate{}
	if held {
		s.service.counts.losses.Add(1)
		s.service.log.Warn("duty lost", "duty", s.duty.Name(), "subject", s.subject, "token", s.record.Token, "cause", why)
	}
}

func (s *seat) read(ctx context.Context, era int64) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, s.lease().CallTimeout())
	defer cancel()
	entry, err := s.service.store.Get(ctx, s.key(era))
	return entry, errors.Trace(err)
}

// decode returns the record of an entry; that of an absent entry is the zero value.
func decode(entry port.Entry) (duty.Record, error) {
	var record duty.Record
	if entry.Revision.IsAbsent() {
		return record, nil
	}
	err := json.Unmarshal(entry.Value, &record)
	if err != nil {
		return duty.Record{}, errors.Annotate(err, entry.Key)
	}
	return record, nil
}

// report logs a problem once until a write succeeds.
func (s *seat) report(message string, err error) {
	if s.problem == message {
		return
	}
	s.problem = message
	s.service.log.Warn(message, "duty", s.duty.Name(), "subject", s.subject, "token", s.record.Token, "err", err)
}
