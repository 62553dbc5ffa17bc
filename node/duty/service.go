package duty

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/duty"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// KeyPrefix is the prefix of the duties' keys in the store: one for each duty, subject and era of the store, so that a write that the
// store executes late, after it was restored, changes nothing that counts.
const KeyPrefix = "agateswitch/duty/"

const (
	// candidates is how many routers are in line for a subject and watch its record.
	candidates = 4
	// maxHolderRank is the rank in line from which a holder gives a subject up. It is above candidates so that routers that join
	// move few subjects.
	maxHolderRank = 2 * candidates
	// checkInterval is the time between two checks of which subjects there are, and of a router's place in line.
	checkInterval = 500 * time.Millisecond
	// ownShare is the part of the platform's calls per second that one router makes.
	ownShare = 0.25
	// suspendTolerance is by how much the clock that runs while the process is suspended may get ahead of the other one.
	suspendTolerance = 50 * time.Millisecond
)

// Fleet provides a router's place among the routers.
type Fleet interface {
	// Rank returns this router's position, from 0, in the rendezvous order of all routers for a key.
	Rank(key string) int
	// First returns the first routers in the rendezvous order of a key, this one included.
	First(key string, count int) []fleet.HostID
	// Leaving reports whether this router leaves the fleet.
	Leaving() bool
}

// Clock is a clock that is never set and runs while the process is suspended.
type Clock interface{ Now() time.Duration }

// Options are the settings of all duties.
type Options struct {
	Lease duty.Lease
	// PerSecond is how many calls the platform takes from all routers; 0 means any number.
	PerSecond float64
}

// Service holds the subjects of duties for one router. It is safe for concurrent use.
type Service struct {
	self        fleet.HostID
	incarnation int64
	store       port.Store
	transport   port.Peers
	fleet       Fleet
	clock       Clock
	options     Options
	log         *log.Logger
	counts      counts
	// started is the origin of the steady clock.
	started time.Time

	mu     sync.Mutex
	duties []Duty
	seats  map[seatKey]*seat
	// nextCall is when the next call may be made.
	nextCall time.Time
}

type seatKey struct{ duty, subject string }

// New returns a service without duties, and registers its method of the peer protocol.
func New(self fleet.HostID, store port.Store, transport port.Peers, routers Fleet, clock Clock, options Options, logger *log.Logger) *Service {
	now := time.Now()
	s := &Service{
		self: self, incarnation: now.UnixNano(), store: store, transport: transport, fleet: routers, clock: clock, options: options, log: logger, started: now,
		seats: map[seatKey]*seat{},
	}
	transport.Handle(methodReleased, s.handleReleased)
	return s
}

// Register adds a duty. It must be called before Run.
func (s *Service) Register(d Duty) { s.duties = append(s.duties, d) }

// Run holds subjects until ctx ends, and hands them over then. A router that leaves the fleet hands them over before.
func (s *Service) Run(ctx context.Context) {
	if len(s.duties) == 0 {
		return
	}
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for _, added := range s.updateSeats() {
			seatContext, cancel := context.WithCancel(ctx)
			added.cancel = cancel
			running.Go(func() { added.run(seatContext) })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.closeSeats()
			return
		}
	}
}

// updateSeats removes the seats of subjects that are no more, and returns those of new ones.
func (s *Service) updateSeats() []*seat {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := map[seatKey]bool{}
	var added []*seat
	for _, d := range s.duties {
		for _, subject := range d.Subjects() {
			key := seatKey{d.Name(), subject}
			wanted[key] = true
			if s.seats[key] == nil {
				s.seats[key] = newSeat(s, d, subject)
				added = append(added, s.seats[key])
			}
		}
	}
	for key, known := range s.seats {
		if !wanted[key] {
			known.cancel()
			delete(s.seats, key)
		}
	}
	return added
}

func (s *Service) closeSeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.seats {
		known.cancel()
	}
}

// Leave hands all subjects over, soon, as the router leaves the fleet.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.seats {
		known.wake()
	}
}

// era returns the highest era of the store that this router knows.
func (s *Service) era() int64 {
	if eras, restorable := s.store.(port.Eras); restorable {
		return eras.Era()
	}
	return 0
}

// suspended returns for how long the process has been suspended since it started.
func (s *Service) suspended() time.Duration { return s.clock.Now() - time.Since(s.started) }

// await waits for this router's share of the platform's calls per second.
func (s *Service) await(ctx context.Context) error {
	if s.options.PerSecond <= 0 {
		return nil
	}
	interval := time.Duration(float64(time.Second) / (s.options.PerSecond * ownShare))
	s.mu.Lock()
	now := time.Now()
	if s.nextCall.Before(now) {
		s.nextCall = now
	}
	at := s.nextCall
	s.nextCall = at.Add(interval)
	s.mu.Unlock()
	select {
	case <-time.After(time.Until(at)):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
