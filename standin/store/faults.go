package store

import (
	"encoding/json"
	"net/http"
)

// Faults are switched on by tests. The zero value is a healthy service.
type Faults struct {
	// Down refuses every call and ends watches.
	Down bool `json:"down"`
	// Silent accepts calls and never answers.
	Silent bool `json:"silent"`
	// DelayMillis is added to each call, in milliseconds, before it takes effect.
	DelayMillis int `json:"delay_ms"`
	// LoseRequests makes this many transactions end without an effect or an answer.
	LoseRequests int `json:"lose_requests"`
	// LoseAnswers makes this many transactions take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// DoubleRequests makes this many transactions take effect twice.
	DoubleRequests int `json:"double_requests"`
}

// SetFaults switches faults. Waiting watches end.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.broken)
	s.broken = make(chan struct{})
}

// SilenceConnections makes every connection that is open now silent for good: its calls
// get no answer and its watches no event. New connections work.
func (s *Server) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.known {
		s.silent[address] = true
	}
	close(s.silenced)
	s.silenced = make(chan struct{})
}

// LapseLeases ends all leases, as if their time had passed.
func (s *Server) LapseLeases() { s.state.lapse() }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// nextFate uses up one of the transactions that are to fail.
func (s *Server) nextFate() Fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		return LostBefore
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return LostAfter
	case s.faults.DoubleRequests > 0:
		s.faults.DoubleRequests--
		return Doubled
	}
	return Answered
}
