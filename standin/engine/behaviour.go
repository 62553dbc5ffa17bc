package engine

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"agateswitch/port"
)

// Behaviour is how a version goes wrong. The zero value is a good version.
type Behaviour struct {
	// FailEvery makes one in so many requests fail with status 500; 0 means none.
	FailEvery int
	// Delay is added before each answer.
	Delay time.Duration
	// After is how many requests are served well first.
	After int
	// Above makes the fault show only while more requests than this run.
	Above int
	// Path limits the fault to routes with this prefix; empty means all.
	Path string
}

// Versioned is an engine that runs a version with a behaviour. It is an http.Handler.
type Versioned struct {
	engine    http.Handler
	behaviour Behaviour
	served    atomic.Int64
	running   atomic.Int64
}

// WithBehaviour wraps an engine.
func WithBehaviour(engine http.Handler, behaviour Behaviour) *Versioned {
	return &Versioned{engine: engine, behaviour: behaviour}
}

// Served returns how many calls with a body came in.
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
	shows := served > int64(v.behaviour.After) && running > int64(v.behaviour.Above) &&
		strings.HasPrefix(r.URL.Path, v.behaviour.Path)
	if !shows {
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
