package service

import (
	"net/http"
	"strconv"

	"agateswitch/port"
)

// Fault is a way in which one call goes wrong.
type Fault string

// Faults of calls.
const (
	// FaultLost closes the connection before the call is run.
	FaultLost Fault = "lost"
	// FaultLostAnswer runs the call and closes the connection.
	FaultLostAnswer Fault = "lost_answer"
	// FaultSilent runs the call and keeps the connection open without an answer.
	FaultSilent Fault = "silent"
	// FaultTruncated sends a part of the answer and closes the connection.
	FaultTruncated Fault = "truncated"
	// FaultTruncatedLarge is FaultTruncated with more bytes than a router holds back.
	FaultTruncatedLarge Fault = "cut_large"
	// FaultStall sends as much and keeps the connection open.
	FaultStall Fault = "stall"
	// FaultMismatched answers with another request's id.
	FaultMismatched Fault = "mismatched"
)

// largeBytes is how much FaultTruncatedLarge and FaultStall send.
const largeBytes = 256 << 10

// Inject makes the next calls go wrong, one fault for each.
func (s *Service) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Calls returns how often each request was run.
func (s *Service) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for id, count := range s.calls {
		calls[id] = count
	}
	return calls
}

func (s *Service) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return ""
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

// fail carries out a fault that comes after the call was run. It returns false when the
// call is to be answered.
func (f Fault) fail(w http.ResponseWriter, r *http.Request) bool {
	switch f {
	case FaultLostAnswer:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		<-r.Context().Done()
	case FaultTruncated:
		f.part(w, 1, 2)
		panic(http.ErrAbortHandler)
	case FaultTruncatedLarge:
		// Chunks end where the connection does.
		w.Write(make([]byte, largeBytes))
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultStall:
		f.part(w, largeBytes, 2*largeBytes)
		<-r.Context().Done()
	case FaultMismatched:
		w.Header().Set(port.HeaderRequestID, "another-request")
		return false
	default:
		return false
	}
	return true
}

// part sends some bytes of an answer that is announced to be longer.
func (f Fault) part(w http.ResponseWriter, sent, announced int) {
	w.Header().Set("Content-Length", strconv.Itoa(announced))
	w.Write(make([]byte, sent))
	http.NewResponseController(w).Flush()
}
