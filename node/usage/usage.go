// Package usage counts the requests that upstreams begin to run, shares the counts with the routers that may have to report them, and
// reports the usage of each window to the platform.
package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/usage"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// dutyName and subject name the duty in the store and its only subject, since all windows are reported by one router.
	dutyName = "usage"
	subject  = "fleet"
	// line is the key of the order in which routers are in line for the duty.
	line = dutyName + "/" + subject
	// keepers is how many routers first in line are told the counts. All of them fail at once less often than reports may be missing.
	keepers = 5
	// tellInterval is the least time between two messages to the same router, and thus of the counts that a killed router takes
	// with it. In a large fleet each keeper gets maxTold messages a second.
	tellInterval = 500 * time.Millisecond
	maxTold      = 200
	// messageTimeout bounds a message to another router.
	messageTimeout = 400 * time.Millisecond
	// keptWindows is how many windows that are due are kept.
	keptWindows = 2
)

// Fleet provides the order of routers.
type Fleet interface {
	// First returns the first routers in the rendezvous order of a key, this one included.
	First(key string, count int) []fleet.HostID
	// Count returns the number of routers.
	Count() int
}

// Clock is a clock that is never set and runs while the process is suspended.
type Clock interface{ Now() time.Duration }

// Options are the settings of the usage reports.
type Options struct {
	// Window is the length of a window, and Late how long after its end its report is due.
	Window, Late time.Duration
}

const (
	// collectMargin is added to two intervals of tell, in which the counts of a window arrive after its end.
	collectMargin = 200 * time.Millisecond
	// collectDivisor bounds, as a part of Late, that time: a successor of the holder needs the rest.
	collectDivisor = 3
)

// collectTime returns how long after a window's end its report is made.
func (s *Service) collectTime() time.Duration {
	return min(2*s.tellInterval()+collectMargin, s.options.Late/collectDivisor)
}

// Service counts and reports usage for one router. It is safe for concurrent use.
type Service struct {
	self      usage.Source
	store     port.Store
	transport port.Peers
	fleet     Fleet
	duties    port.Duties
	clock     Clock
	options   Options
	windows   usage.Windows
	log       *log.Logger
	counts    counts
	// ahead is what true time is ahead of clock, in nanoseconds.
	ahead atomic.Int64

	mu        sync.Mutex
	trueClock usage.Clock
	counter   *usage.Counter
	// told holds the totals of the rows that each keeper is known to have.
	told map[fleet.HostID]map[rowKey]int
	// fixed holds the reports whose content is fixed, and done those that the platform has taken or that can't be made.
	fixed map[int64]map[fleet.Team]int
	done  map[int64]bool
	// era is the store's era, and eraSince when this router has first seen it.
	era      int64
	eraSince time.Time
}

type rowKey struct {
	source usage.Source
	window int64
}

// counts counts events for the metrics.
type counts struct{ begun, reported, failed, missed, untold atomic.Int64 }

// New returns a service, and registers its methods of the peer protocol.
func New(self fleet.HostID, store port.Store, transport port.Peers, routers Fleet, duties port.Duties, clock Clock, options Options, logger *log.Logger) *Service {
	now := time.Now()
	s := &Service{
		self: usage.Source{Host: self, Incarnation: now.UnixNano()}, store: store, transport: transport, fleet: routers, duties: duties, clock: clock,
		options: options, windows: usage.Windows{Length: options.Window}, log: logger, counter: usage.NewCounter(),
		told: map[fleet.HostID]map[rowKey]int{}, fixed: map[int64]map[fleet.Team]int{}, done: map[int64]bool{}, eraSince: now,
	}
	s.updateClock()
	transport.Handle(methodTell, s.handleTell)
	transport.Handle(methodKnown, s.handleKnown)
	return s
}

// updateClock reads the own time of day, and estimates true time anew. The estimate of this router does not follow its time of day while
// most of the others' say otherwise.
func (s *Service) updateClock() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnTime(s.self.Host, time.Now())
}

// learnTime applies a host's time of day. The caller holds mu.
func (s *Service) learnTime(host fleet.HostID, timeOfDay time.Time) {
	now := s.clock.Now()
	s.trueClock.Learn(host, timeOfDay, now)
	s.ahead.Store(int64(s.trueClock.Ahead(s.self.Host, now)))
}

// Now returns the estimate of true time.
func (s *Service) Now() time.Time { return time.Unix(0, s.ahead.Load()+int64(s.clock.Now())) }

// Begin counts a request that an upstream has begun to run.
func (s *Service) Begin(team fleet.Team) {
	if team == "" {
		return
	}
	s.counts.begun.Add(1)
	window := s.windows.Of(s.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Add(s.self, window, team)
}

// Run shares the counts until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(s.tellInterval()):
		case <-ctx.Done():
			return
		}
		s.updateClock()
		s.noteEra()
		s.forget()
		s.tell(ctx)
	}
}

// Flush tells the keepers all counts before the router stops.
func (s *Service) Flush(ctx context.Context) { s.tell(ctx) }

// tellInterval returns the time between two messages to a keeper.
func (s *Service) tellInterval() time.Duration {
	return max(tellInterval, time.Duration(s.fleet.Count())*time.Second/maxTold)
}

// firstKept returns the first window that is kept.
func (s *Service) firstKept() int64 {
	return s.windows.Of(s.Now().Add(-s.options.Late)) - keptWindows
}

// forget removes what is no longer needed.
func (s *Service) forget() {
	first := s.firstKept()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter.Forget(first)
	for window := range s.fixed {
		if window < first {
			delete(s.fixed, window)
		}
	}
	for window := range s.done {
		if window < first {
			delete(s.done, window)
		}
	}
}

// Observe registers the metrics.
func (s *Service) Observe(meter metric.Meter) error {
	events := map[string]*atomic.Int64{
		"begun_request": &s.counts.begun, "report": &s.counts.reported, "failed_report": &s.counts.failed, "missed_report": &s.counts.missed,
		"failed_message": &s.counts.untold,
	}
	_, err := meter.Int64ObservableCounter("agateswitch_usage_events", metric.WithDescription("Events of usage reports on this router, by event"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for event, count := range events {
				observer.Observe(count.Load(), metric.WithAttributes(attribute.String("event", event)))
			}
			return nil
		}))
	return errors.Trace(err)
}
