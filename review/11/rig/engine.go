package rig

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Engine is a sound engine or plain service that keeps no request beyond its id. Fields are set before it serves.
type Engine struct {
	ID string
	// Events is the number of events of each stream; with 0, the answer is a plain one. Interval is the time before each event or
	// the plain answer.
	Events   int
	Interval time.Duration
	// Forgets is true if the engine keeps no arrivals.
	Forgets bool
	// Before, if it is set, is called with each request that is for this engine. If it returns true, it has answered.
	Before func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	arrivals []Arrival
}

// Arrival is a request that has reached an engine and was run.
type Arrival struct {
	ID string
	At time.Time
}

// Arrivals returns the requests that were run, first to last.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == "/v1/kv-list" {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.Before != nil && e.Before(w, r) {
		return
	}
	e.mu.Lock()
	if !e.Forgets {
		e.arrivals = append(e.arrivals, Arrival{ID: id, At: time.Now()})
	}
	e.mu.Unlock()
	w.Header().Set("Engine-Signature", "signed-"+e.ID)
	if e.Events == 0 {
		time.Sleep(e.Interval)
		fmt.Fprint(w, "answer of "+e.ID)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for event := range e.Events {
		time.Sleep(e.Interval)
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event+1, event+1, id)
		if control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
