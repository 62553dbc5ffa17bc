package service

import (
	"net/http"
	"strconv"

	"agateswitch/port"
)

// Fault is a fault of one call.
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
	// FaultTruncatedLarge is FaultTruncated with more bytes than a router buffers.
	FaultTruncatedLarge Fault = "cut_large"
	// FaultStall sends as many bytes as FaultTruncatedLarge and keeps the connection open.
	FaultStall Fault = "stall"
	// FaultMismatched answers with another request's id.
	FaultMismatched Fault = "mismatched"
)

// largeBytes is the number of bytes that FaultTruncatedLarge and FaultStall send.
const largeBytes = 256 << 10

// Inject queues faults for the next calls, one fault per call.
func (s *Service) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Calls returns how often each request was run, by request id.
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

// failAfterRun applies a fault that occurs after the call was run. It returns false if the caller
// still has to write the answer.
func (f Fault) failAfterRun(w http.ResponseWriter, r *http.Request) bool {
	switch f {
	case FaultLostAnswer:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		<-r.Context().Done()
	case FaultTruncated:
		f.writePartial(w, 1, 2)
		panic(http.ErrAbortHandler)
	case FaultTruncatedLarge:
		// Without a Content-Length, the truncation shows only as a missing last chunk.
		w.Write(make([]byte, largeBytes))
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultStall:
		f.writePartial(w, largeBytes, 2*largeBytes)
		<-r.Context().Done()
	case FaultMismatched:
		w.Header().Set(port.HeaderRequestID, "another-request")
		return false
	default:
		return false
	}
	return true
}

// writePartial sends some bytes of an answer whose declared Content-Length is larger.
func (f Fault) writePartial(w http.ResponseWriter, sent, declared int) {
	w.Header().Set("Content-Length", strconv.Itoa(declared))
	w.Write(make([]byte, sent))
	http.NewResponseController(w).Flush()
}
