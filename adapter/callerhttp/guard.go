package callerhttp

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// unreadBodyTimeout is how long a caller may take to send the rest of a body that no handler reads.
const unreadBodyTimeout = time.Second

// guard refuses upgrades and tunnels on all paths, and records the running requests.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() || len(r.TransferEncoding) > 0 {
			// A chunked request may have had a Content-Length, too, that a proxy in between used.
			// Closing the connection prevents request smuggling (RFC 9112, section 6.1).
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
			defer limitUnreadBody(w)
		}
		next.ServeHTTP(w, r)
	})
}

// limitUnreadBody limits how long the server reads the rest of a body that a handler has not read,
// before it reuses or closes the connection.
func limitUnreadBody(w http.ResponseWriter) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// runningRequests is the set of requests that are being answered. Its zero value is an empty set.
type runningRequests struct {
	// mu guards requests, which the goroutine of every request changes.
	mu       sync.Mutex
	requests map[fleet.RequestID]struct{}
}

func (r *runningRequests) add(id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = map[fleet.RequestID]struct{}{}
	}
	r.requests[id] = struct{}{}
}

func (r *runningRequests) remove(id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, id)
}

// ids returns the requests in the order of arrival: a UUIDv7 starts with its time.
func (r *runningRequests) ids() []fleet.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]fleet.RequestID, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare)
	return ids
}
