package engine

import (
	"net/http"
	"time"

	"agateswitch/port"
	"agateswitch/sse"
)

// pingInterval is the time between keep-alive comments.
const pingInterval = 500 * time.Millisecond

// Fault is a way in which one connection to an engine goes wrong.
type Fault string

// Faults of connections.
const (
	// FaultSilent stops sending and keeps the connection open.
	FaultSilent Fault = "silent"
	// FaultPings sends keep-alive comments in place of events.
	FaultPings Fault = "pings"
	// FaultTruncated closes the connection.
	FaultTruncated Fault = "truncated"
	// FaultEnd ends the answer in good order, without the stream's last event.
	FaultEnd Fault = "end"
	// FaultTwice sends every event twice.
	FaultTwice Fault = "twice"
	// FaultGap leaves one event out.
	FaultGap Fault = "gap"
	// FaultMismatched answers with another request's id.
	FaultMismatched Fault = "mismatched"
	// FaultReject answers that the engine is overloaded, and runs nothing.
	FaultReject Fault = "reject"
	// FaultLost closes the connection before the request is run.
	FaultLost Fault = "lost"
	// FaultForget forgets the completion, as a restart does, and closes the connection.
	FaultForget Fault = "forget"
)

// Plan is a fault of one connection.
type Plan struct {
	Fault Fault
	// After is how many events the connection brings first.
	After int
}

// Inject makes the next connections go wrong, one plan for each.
func (e *Engine) Inject(plans ...Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plans = append(e.plans, plans...)
}

// nextPlan takes the plan of a new connection; its Fault is empty when all is well.
func (e *Engine) nextPlan() Plan {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.plans) == 0 {
		return Plan{}
	}
	plan := e.plans[0]
	e.plans = e.plans[1:]
	return plan
}

// Runs returns how often each request was run.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		runs[id] = count
	}
	return runs
}

// isRefused carries out the faults that come before a request is run.
func (p Plan) isRefused(w http.ResponseWriter) bool {
	switch p.Fault {
	case FaultReject:
		http.Error(w, `{"error":{"message":"overloaded"}}`, http.StatusServiceUnavailable)
		return true
	case FaultLost:
		panic(http.ErrAbortHandler)
	case FaultMismatched:
		w.Header().Set(port.HeaderRequestID, "another-request")
	}
	return false
}

// mismatched returns another request's answer of the same length, which is there at once.
func mismatched(own *generation) *generation {
	other := newGeneration("another-request", own.model, "another prompt", own.count)
	other.produced = other.count
	return other
}

// forget drops a completion, as a restart of the engine does.
func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

// stops tells whether the connection brings only a part of the events.
func (p Plan) stops() bool {
	switch p.Fault {
	case FaultSilent, FaultPings, FaultTruncated, FaultEnd, FaultForget:
		return true
	default:
		return false
	}
}

// stop ends a connection in the way of its fault.
func (p Plan) stop(w http.ResponseWriter, r *http.Request) {
	switch p.Fault {
	case FaultSilent:
		<-r.Context().Done()
	case FaultPings:
		p.ping(w, r)
	case FaultTruncated, FaultForget:
		panic(http.ErrAbortHandler)
	}
}

// ping sends keep-alive comments until the connection is closed.
func (p Plan) ping(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.Write([]byte(": ping\n\n"))
			http.NewResponseController(w).Flush()
		case <-r.Context().Done():
			return
		}
	}
}

// append adds an event, the index-th of its connection.
func (p Plan) append(buffer []byte, event sse.Event, index int) []byte {
	if p.Fault == FaultGap && index == p.After {
		return buffer
	}
	buffer = sse.Append(buffer, event)
	if p.Fault == FaultTwice {
		buffer = sse.Append(buffer, event)
	}
	return buffer
}
