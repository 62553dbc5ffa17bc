// Package service is a small stand-in of a plain service: it answers any call, and books
// what may not be repeated, counting how often each key ran.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"

	"agateswitch/port"
)

// PathRuns answers how often each idempotency key ran. PUT of PathHold makes calls wait
// for their answers after they ran, until DELETE of it.
const (
	PathRuns = "/standin/runs"
	PathHold = "/standin/hold"
)

// headerKey is the header of the key of a call that may not be repeated.
const headerKey = "Idempotency-Key"

// Service is the stand-in. It is an http.Handler.
type Service struct {
	id  string
	mux *http.ServeMux

	mu   sync.Mutex
	runs map[string]int
	// held is closed when answers are no longer held back; nil while none are.
	held chan struct{}
	// calls counts the runs of each request.
	calls  map[string]int
	faults []Fault
	// observe sees each call, if it is set.
	observe func(*http.Request)
}

// New makes a service that has run nothing.
func New(id string) *Service {
	s := &Service{id: id, mux: http.NewServeMux(), runs: map[string]int{}, calls: map[string]int{}}
	s.mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s.Runs()) })
	s.mux.HandleFunc("PUT "+PathHold, func(http.ResponseWriter, *http.Request) { s.Hold() })
	s.mux.HandleFunc("DELETE "+PathHold, func(http.ResponseWriter, *http.Request) { s.LetGo() })
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

// Hold keeps back the answers of calls that run from now on.
func (s *Service) Hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held == nil {
		s.held = make(chan struct{})
	}
}

// LetGo sends the answers that were kept back.
func (s *Service) LetGo() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil {
		close(s.held)
		s.held = nil
	}
}

// run counts one run of a key. The channel is closed when its answer may go.
func (s *Service) run(key string) (number int, held chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key], s.held
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
	s.count(r)
	answer := Answer{Service: s.id, Method: r.Method, Path: r.URL.Path, Body: string(content)}
	if key := r.Header.Get(headerKey); key != "" {
		number, held := s.run(key)
		answer.Run = number
		if held != nil {
			<-held
		}
	}
	if fault.fail(w, r) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer)
}

// count notes the run of a call.
func (s *Service) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[r.Header.Get(port.HeaderRequestID)]++
	if s.observe != nil {
		s.observe(r)
	}
}

// Observe makes the service show each call that it runs.
func (s *Service) Observe(observe func(*http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}
