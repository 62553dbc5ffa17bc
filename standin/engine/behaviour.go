package engine

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"agateswitch/port"
)

// Behaviour describes the faults of a model version. The zero value is a version without faults.
type Behaviour struct {
	// FailEvery makes every FailEvery-th request fail with status 500; 0 means none.
	FailEvery int
	// Delay is added before each answer.
	Delay time.Duration
	// AfterRequests is the number of requests that are served without faults first.
	AfterRequests int
	// AboveRunning limits the faults to times at which more requests than this are running.
	AboveRunning int
	// Path limits the faults to requests whose path has this prefix; empty means all.
	Path string
}

// Versioned is an engine whose version has a Behaviour. It is an http.Handler.
type Versioned struct {
	engine    http.Handler
	behaviour Behaviour
	served    atomic.Int64
	running   atomic.Int64
}

// WithBehaviour wraps an engine to add the faults of a behaviour.
func WithBehaviour(engine http.Handler, behaviour Behaviour) *Versioned {
	return &Versioned{engine: engine, behaviour: behaviour}
}

// Served returns the number of POST requests received.
func (v *Versioned) Served() int64 { return v.served.Load() }

// ServeHTTP implements http.Handler.
func (v *Versioned) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		v.engine.ServeHTTP(w, r)
		return
	}
	served := v.served.Add(1)
	running := v.running.Add(1)
	defer v.running.Add(-1)
	faulty := served > int64(v.behaviour.AfterRequests) && running > int64(v.behaviour.AboveRunning) &&
		strings.HasPrefix(r.URL.Path, v.behaviour.Path)
	if !faulty {
		v.engine.ServeHTTP(w, r)
		return
	}
	if v.behaviour.FailEvery > 0 && served%int64(v.behaviour.FailEvery) == 0 {
		w.Header().Set(port.HeaderRequestID, r.Header.Get(port.HeaderRequestID))
		http.Error(w, `{"error":{"message":"this version is broken"}}`, http.StatusInternalServerError)
		return
	}
	select {
	case <-time.After(v.behaviour.Delay):
		v.engine.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}
