package store

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/adapter/kv"
)

// leaseCheckInterval is how often lapsed leases are looked for while nobody calls.
const leaseCheckInterval = 100 * time.Millisecond

// Calls counts what the service was asked.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Waiting is the number of watches open now.
	Waiting int64 `json:"waiting"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	state *state
	mux   *http.ServeMux

	mu     sync.Mutex
	faults Faults
	broken chan struct{}
	// known holds the addresses of all connections; silent those that were made silent.
	known, silent map[string]bool
	silenced      chan struct{}

	reads, writes, watches, waiting atomic.Int64
}

// PathFaults takes a Faults value by PUT, PathCalls answers Calls by GET. PUT of
// PathSilence silences the connections that are open now, of PathLapse lapses all leases.
const (
	PathFaults  = "/standin/faults"
	PathCalls   = "/standin/calls"
	PathSilence = "/standin/silence"
	PathLapse   = "/standin/lapse"
)

// New makes an empty service.
func New() *Server {
	s := &Server{state: newState(), mux: http.NewServeMux(), broken: make(chan struct{}),
		known: map[string]bool{}, silent: map[string]bool{}, silenced: make(chan struct{})}
	s.mux.HandleFunc("POST "+kv.PathRange, handler(s, &s.reads, s.state.read))
	s.mux.HandleFunc("POST "+kv.PathTxn, s.commit)
	s.mux.HandleFunc("POST "+kv.PathWatch, s.watch)
	s.mux.HandleFunc("POST "+kv.PathLeaseGrant, handler(s, &s.writes, s.grantLease))
	s.mux.HandleFunc("POST "+kv.PathLeaseKeepAlive, handler(s, &s.writes, s.keepAlive))
	s.mux.HandleFunc("POST "+kv.PathLeaseRevoke, handler(s, &s.writes, s.revokeLease))
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("PUT "+PathSilence, func(http.ResponseWriter, *http.Request) { s.SilenceConnections() })
	s.mux.HandleFunc("PUT "+PathLapse, func(http.ResponseWriter, *http.Request) { s.LapseLeases() })
	s.mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Calls()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns the counts since the start.
func (s *Server) Calls() Calls {
	return Calls{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load(), Waiting: s.waiting.Load()}
}

// admit applies the faults that come before a call. It returns false when the call is
// to end without taking effect.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	faults, silent := s.faults, s.silent[r.RemoteAddr]
	s.known[r.RemoteAddr] = true
	s.mu.Unlock()
	if faults.Silent || silent {
		<-r.Context().Done()
		return false
	}
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// handler decodes a request, runs a step, and encodes its response.
func handler[Request, Response any](s *Server, count *atomic.Int64, step func(Request) Response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		count.Add(1)
		if s.admit(w, r) {
			respond(w, step(request))
		}
	}
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	step := func(request kv.TxnRequest) kv.TxnResponse {
		switch s.nextFate() {
		case LostBefore:
			panic(http.ErrAbortHandler)
		case LostAfter:
			s.state.commit(request)
			panic(http.ErrAbortHandler)
		case Doubled:
			defer s.state.commit(request)
		}
		return s.state.commit(request)
	}
	handler(s, &s.writes, step)(w, r)
}

func (s *Server) grantLease(request kv.LeaseGrantRequest) kv.LeaseResponse {
	id := s.state.grantLease(time.Duration(request.TTL) * time.Second)
	return kv.LeaseResponse{ID: id, TTL: request.TTL}
}

func (s *Server) keepAlive(request kv.LeaseRequest) kv.LeaseKeepAliveEnvelope {
	ttl := s.state.keepAlive(request.ID)
	return kv.LeaseKeepAliveEnvelope{Result: kv.LeaseResponse{ID: request.ID, TTL: int64(ttl / time.Second)}}
}

func (s *Server) revokeLease(request kv.LeaseRequest) kv.LeaseResponse {
	s.state.revokeLease(request.ID)
	return kv.LeaseResponse{ID: request.ID}
}

func respond(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request kv.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.CreateRequest == nil {
		http.Error(w, "no create_request", http.StatusBadRequest)
		return
	}
	s.watches.Add(1)
	if !s.admit(w, r) {
		return
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	s.mu.Lock()
	broken, silenced := s.broken, s.silenced
	s.mu.Unlock()
	respond(w, kv.WatchEnvelope{Result: kv.WatchResponse{Created: true}})
	controller := http.NewResponseController(w)
	controller.Flush()
	s.stream(w, r, *request.CreateRequest, broken, silenced)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, request kv.WatchCreateRequest, broken, silenced <-chan struct{}) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	position := 0
	for {
		events, next, changed := s.state.since(request, position)
		position = next
		if len(events) > 0 {
			response := kv.WatchResponse{Header: kv.Header{Revision: events[len(events)-1].KV.ModRevision}, Events: events}
			if encoder.Encode(kv.WatchEnvelope{Result: response}) != nil || controller.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-broken:
			return
		case <-silenced:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}
