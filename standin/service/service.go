// Package service is a small stand-in for a plain service: it answers any call, and counts how often
// the non-idempotent calls of each idempotency key ran.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"

	"agateswitch/port"
)

// Paths of the stand-in's own API: GET PathRuns returns how often each idempotency key ran, PUT
// PathHold calls Hold, and DELETE PathHold calls Release.
const (
	PathRuns = "/standin/runs"
	PathHold = "/standin/hold"
)

// headerIdempotencyKey is the header with the idempotency key of a non-idempotent call.
const headerIdempotencyKey = "Idempotency-Key"

// Service is a plain service. It is an http.Handler.
type Service struct {
	id  string
	mux *http.ServeMux

	mu   sync.Mutex
	runs map[string]int
	// released is closed when Release is called; nil while no answers are held.
	released chan struct{}
	// calls counts the runs of each request, by request id.
	calls  map[string]int
	faults []Fault
	// observe is called with each call that runs, if it is set.
	observe func(*http.Request)
}

// New returns a service without any runs.
func New(id string) *Service {
	s := &Service{id: id, mux: http.NewServeMux(), runs: map[string]int{}, calls: map[string]int{}}
	s.mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s.Runs()) })
	s.mux.HandleFunc("PUT "+PathHold, func(http.ResponseWriter, *http.Request) { s.Hold() })
	s.mux.HandleFunc("DELETE "+PathHold, func(http.ResponseWriter, *http.Request) { s.Release() })
	s.mux.HandleFunc("/", s.answer)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns how often each idempotency key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Hold delays the answers to later calls that have an idempotency key until Release is called. The
// calls still run at once.
func (s *Service) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released == nil {
		s.released = make(chan struct{})
	}
}

// Release sends the answers that Hold has delayed, and ends the delay.
func (s *Service) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released != nil {
		close(s.released)
		s.released = nil
	}
}

// run counts one run of a key. The answer must wait until the channel is closed, unless it is nil.
func (s *Service) run(key string) (number int, released chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key], s.released
}

// Answer is the body of each answer.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Run     int    `json:"run,omitempty"`
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(port.HeaderRequestID, r.Header.Get(port.HeaderRequestID))
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.nextFault()
	if fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
	s.recordCall(r)
	answer := Answer{Service: s.id, Method: r.Method, Path: r.URL.Path, Body: string(content)}
	if key := r.Header.Get(headerIdempotencyKey); key != "" {
		number, released := s.run(key)
		answer.Run = number
		if released != nil {
			<-released
		}
	}
	if fault.failAfterRun(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// recordCall counts the run of a call and passes the call to the observer.
func (s *Service) recordCall(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.Header.Get(port.HeaderRequestID)]++
	if s.observe != nil {
		s.observe(r)
	}
}

// Observe sets a function that is called with each call that runs.
func (s *Service) Observe(observe func(*http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}
