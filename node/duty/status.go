package duty

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"agateswitch/core/duty"
	"agateswitch/core/fleet"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Path is the path at which routers list the duties.
const Path = "/duties"

// Status is what a router knows of one subject.
type Status struct {
	Duty    string `json:"duty"`
	Subject string `json:"subject"`
	// Rank is this router's place in line, from 0.
	Rank int `json:"rank"`
	// Holds is true if this router holds the subject, and Holder the last holder that it has seen.
	Holds  bool         `json:"holds"`
	Holder fleet.HostID `json:"holder,omitempty"`
	Token  uint64       `json:"token"`
	// HeldMs and LeftMs are, on the holder, how long it has held the subject, and for how long it may still act.
	HeldMs int64 `json:"held_ms,omitempty"`
	LeftMs int64 `json:"left_ms,omitempty"`
	// Calls is how many calls this router has made, LastCallMs the age of the last one and LastOutcome its error, or "done".
	Calls       int    `json:"calls"`
	LastCallMs  int64  `json:"last_call_ms,omitempty"`
	LastOutcome string `json:"last_outcome,omitempty"`

	lastCallAt time.Duration
}

// counts counts events for the metrics.
type counts struct {
	claims, losses, handovers, lapses, suspensions, withheld, calls, failedCalls atomic.Int64
}

// observeHolder records the holder that a record names.
func (s *seat) observeHolder(record duty.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Holder, s.status.Token = record.Holder, record.Token
}

// recordCall records the outcome of a call.
func (s *seat) recordCall(startedAt time.Duration, err error) {
	s.service.counts.calls.Add(1)
	outcome := "done"
	if err != nil {
		s.service.counts.failedCalls.Add(1)
		outcome = err.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Calls++
	s.status.lastCallAt, s.status.LastOutcome = startedAt, outcome
}

// describe returns the seat's status.
func (s *seat) describe() Status {
	rank := s.service.fleet.Rank(s.name())
	s.mu.Lock()
	defer s.mu.Unlock()
	status, now := s.status, s.now()
	status.Duty, status.Subject, status.Rank = s.duty.Name(), s.subject, rank
	if s.tenure != nil && s.tenure.Since != 0 {
		status.HeldMs, status.LeftMs = (now - s.tenure.Since).Milliseconds(), s.tenure.Left(now).Milliseconds()
	}
	if status.Calls > 0 {
		status.LastCallMs = (now - status.lastCallAt).Milliseconds()
	}
	return status
}

// List returns the status of all subjects, ordered by duty and subject.
func (s *Service) List() []Status {
	s.mu.Lock()
	seats := make([]*seat, 0, len(s.seats))
	for _, known := range s.seats {
		seats = append(seats, known)
	}
	s.mu.Unlock()
	statuses := make([]Status, 0, len(seats))
	for _, known := range seats {
		statuses = append(statuses, known.describe())
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Duty+"/"+a.Subject, b.Duty+"/"+b.Subject) })
	return statuses
}

// ServeHTTP answers GET requests with the list as JSON.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "only GET is supported", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.List()); err != nil {
		s.log.Debug("failed to send the list of duties", "err", err)
	}
}

// Observe registers the metrics.
func (s *Service) Observe(meter metric.Meter) error {
	events := map[string]*atomic.Int64{
		"claim": &s.counts.claims, "loss": &s.counts.losses, "hand_over": &s.counts.handovers, "lapse": &s.counts.lapses,
		"suspension": &s.counts.suspensions, "withheld": &s.counts.withheld, "call": &s.counts.calls, "failed_call": &s.counts.failedCalls,
	}
	_, err := meter.Int64ObservableCounter("agateswitch_duty_events", metric.WithDescription("Events of singleton duties on this router, by event"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for event, count := range events {
				observer.Observe(count.Load(), metric.WithAttributes(attribute.String("event", event)))
			}
			return nil
		}))
	return errors.Trace(err)
}
