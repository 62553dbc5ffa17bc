package callerhttp

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// restTimeout is how long a caller may take to send the rest of a body that nobody reads.
const restTimeout = time.Second

// guard refuses what is not served on any path, and notes what is running.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() || len(r.TransferEncoding) > 0 {
			// A chunked request may have had a length as well, which some proxies obey. What
			// follows it on the connection is not read (RFC 9112, section 6.1).
			w.Header().Set("Connection", "close")
		}
		if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
			w.Header().Set("Connection", "close")
			WriteRefusal(w, fleet.Refuse(fleet.CodeBadRequest, "connections are neither upgraded nor tunnelled", 0))
			return
		}
		id := requestID(r)
		s.running.add(id)
		defer s.running.remove(id)
		if r.Body != http.NoBody {
			defer limitRest(w)
		}
		next.ServeHTTP(w, r)
	})
}

// limitRest bounds the time that the server spends on reading what a handler has left of
// a body, before it uses the connection again or closes it.
func limitRest(w http.ResponseWriter) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
}

// running is the set of requests that are being answered. Its zero value is empty.
type running struct {
	// mu guards requests, which every request's goroutine changes.
	mu       sync.Mutex
	requests map[fleet.RequestID]struct{}
}

func (r *running) add(id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = map[fleet.RequestID]struct{}{}
	}
	r.requests[id] = struct{}{}
}

func (r *running) remove(id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, id)
}

// ids returns the requests in the order in which they came: ids start with their time.
func (r *running) ids() []fleet.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]fleet.RequestID, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}
