package store

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/adapter/kv"
)

// leaseCheckInterval is the interval at which an open watch checks for expired leases. Without this
// check a lease would expire only at the next call.
const leaseCheckInterval = 100 * time.Millisecond

// Calls are the call counters of the service.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	// Waiting is the number of open watches.
	Waiting int64 `json:"waiting"`
}

// Server serves the key-value API and the stand-in's fault API. It is an http.Handler.
type Server struct {
	state *state
	mux   *http.ServeMux

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	// connections holds the remote addresses of all connections, silentConnections those of the
	// connections that SilenceConnections has made unresponsive.
	connections, silentConnections map[string]bool
	silenced                       chan struct{}

	reads, writes, watches, waiting atomic.Int64
}

// Paths of the stand-in's own API: PUT PathFaults sets a Faults value, GET PathCalls returns Calls,
// PUT PathSilence calls SilenceConnections, and PUT PathExpireLeases calls ExpireLeases.
const (
	PathFaults       = "/standin/faults"
	PathCalls        = "/standin/calls"
	PathSilence      = "/standin/silence"
	PathExpireLeases = "/standin/lapse"
)

// New returns an empty service.
func New() *Server {
	s := &Server{state: newState(), mux: http.NewServeMux(), faultsChanged: make(chan struct{}),
		connections: map[string]bool{}, silentConnections: map[string]bool{}, silenced: make(chan struct{})}
	s.mux.HandleFunc("POST "+kv.PathRange, handler(s, &s.reads, s.state.read))
	s.mux.HandleFunc("POST "+kv.PathTxn, s.commit)
	s.mux.HandleFunc("POST "+kv.PathWatch, s.watch)
	s.mux.HandleFunc("POST "+kv.PathLeaseGrant, handler(s, &s.writes, s.grantLease))
	s.mux.HandleFunc("POST "+kv.PathLeaseKeepAlive, handler(s, &s.writes, s.keepAlive))
	s.mux.HandleFunc("POST "+kv.PathLeaseRevoke, handler(s, &s.writes, s.revokeLease))
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("PUT "+PathSilence, func(http.ResponseWriter, *http.Request) { s.SilenceConnections() })
	s.mux.HandleFunc("PUT "+PathExpireLeases, func(http.ResponseWriter, *http.Request) { s.ExpireLeases() })
	s.mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { respond(w, s.Calls()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns the call counters since the service was made.
func (s *Server) Calls() Calls {
	return Calls{Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load(), Waiting: s.waiting.Load()}
}

// admit applies the faults that occur before a call takes effect. It returns false if the call must
// end without an effect.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	faults, silent := s.faults, s.silentConnections[r.RemoteAddr]
	s.connections[r.RemoteAddr] = true
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

// handler returns a handler that counts and decodes a request, executes it, and encodes its response.
func handler[Request, Response any](s *Server, count *atomic.Int64, execute func(Request) Response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		count.Add(1)
		if s.admit(w, r) {
			respond(w, execute(request))
		}
	}
}

// commit handles a transaction, with the faults injected into transactions.
func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	execute := func(request kv.TxnRequest) kv.TxnResponse {
		switch s.nextOutcome() {
		case RequestLost:
			panic(http.ErrAbortHandler)
		case AnswerLost:
			s.state.commit(request)
			panic(http.ErrAbortHandler)
		case Duplicated:
			defer s.state.commit(request)
		}
		return s.state.commit(request)
	}
	handler(s, &s.writes, execute)(w, r)
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
	faultsChanged, silenced := s.faultsChanged, s.silenced
	s.mu.Unlock()
	respond(w, kv.WatchEnvelope{Result: kv.WatchResponse{Created: true}})
	controller := http.NewResponseController(w)
	controller.Flush()
	s.streamEvents(w, r, *request.CreateRequest, faultsChanged, silenced)
}

// streamEvents sends the events of a watch until the caller disconnects or the faults change. Once
// silenced is closed, it keeps the connection open and sends nothing more.
func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, request kv.WatchCreateRequest, faultsChanged, silenced <-chan struct{}) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	position := 0
	for {
		events, next, changed := s.state.eventsSince(request, position)
		position = next
		select {
		case <-silenced:
			// Some of the events may be later than that.
			<-r.Context().Done()
			return
		default:
		}
		if len(events) > 0 {
			response := kv.WatchResponse{Header: kv.Header{Revision: events[len(events)-1].KV.ModRevision}, Events: events}
			if encoder.Encode(kv.WatchEnvelope{Result: response}) != nil || controller.Flush() != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(leaseCheckInterval):
		case <-faultsChanged:
			return
		case <-silenced:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		}
	}
}
