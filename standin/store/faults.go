package store

import (
	"encoding/json"
	"net/http"
)

// Faults are the faults that a test injects. The zero value is a healthy service.
type Faults struct {
	// Down answers every call with status 503 and ends watches.
	Down bool `json:"down"`
	// Silent accepts calls and never answers them.
	Silent bool `json:"silent"`
	// DelayMillis is added to each call, in milliseconds, before it takes effect.
	DelayMillis int `json:"delay_ms"`
	// LoseRequests is the number of next transactions that take no effect and get no answer.
	LoseRequests int `json:"lose_requests"`
	// LoseAnswers is the number of next transactions that take effect and get no answer.
	LoseAnswers int `json:"lose_answers"`
	// DoubleRequests is the number of next transactions that take effect twice.
	DoubleRequests int `json:"double_requests"`
}

// SetFaults replaces the faults in force and ends all open watches.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// SilenceConnections makes every open connection permanently unresponsive: its calls get no answer
// and its watches no events. New connections work.
func (s *Server) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.connections {
		s.silentConnections[address] = true
	}
	close(s.silenced)
	s.silenced = make(chan struct{})
}

// ExpireLeases expires all leases at once.
func (s *Server) ExpireLeases() { s.state.expireAllLeases() }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// nextOutcome returns the outcome of the next transaction, and counts it against the injected faults.
func (s *Server) nextOutcome() CallOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		return RequestLost
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
		return AnswerLost
	case s.faults.DoubleRequests > 0:
		s.faults.DoubleRequests--
		return Duplicated
	}
	return Answered
}
