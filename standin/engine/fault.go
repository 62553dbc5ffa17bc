package engine

import (
	"net/http"
	"time"

	"agateswitch/port"
	"agateswitch/sse"
)

// pingInterval is the time between keep-alive comments.
const pingInterval = 500 * time.Millisecond

// Fault is a fault of one connection to an engine.
type Fault string

// Faults of connections.
const (
	// FaultSilent stops sending and keeps the connection open.
	FaultSilent Fault = "silent"
	// FaultPings sends keep-alive comments instead of events.
	FaultPings Fault = "pings"
	// FaultTruncated closes the connection.
	FaultTruncated Fault = "truncated"
	// FaultEnd ends the response body normally, without the stream's last event.
	FaultEnd Fault = "end"
	// FaultTwice sends every event twice.
	FaultTwice Fault = "twice"
	// FaultGap omits one event.
	FaultGap Fault = "gap"
	// FaultMismatched answers with another request's id.
	FaultMismatched Fault = "mismatched"
	// FaultReject answers that the engine is overloaded (status 503) and does not run the request.
	FaultReject Fault = "reject"
	// FaultLost closes the connection before the request is run.
	FaultLost Fault = "lost"
	// FaultForget removes the completion, as a restart does, and closes the connection.
	FaultForget Fault = "forget"
)

// Plan is the fault of one connection and where in the stream it occurs.
type Plan struct {
	Fault Fault
	// After is the number of events that are sent before the fault.
	After int
}

// Inject queues plans for the next connections, one plan per connection.
func (e *Engine) Inject(plans ...Plan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plans = append(e.plans, plans...)
}

// nextPlan removes and returns the plan for a new connection. Its Fault is empty if none is queued.
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

// Runs returns how often each request was run, by request id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, count := range e.runs {
		runs[id] = count
	}
	return runs
}

// failBeforeRun applies the faults that occur before a request is run. It reports whether the
// request has been answered.
func (p Plan) failBeforeRun(w http.ResponseWriter) bool {
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

// mismatched returns another request's answer of the same length, already generated.
func mismatched(own *generation) *generation {
	other := newGeneration("another-request", own.model, "another prompt", own.count)
	other.produced = other.count
	return other
}

// removeStream removes a completion, as a restart of the engine does.
func (e *Engine) removeStream(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
}

// endsEarly reports whether the connection sends only a part of the events.
func (p Plan) endsEarly() bool {
	switch p.Fault {
	case FaultSilent, FaultPings, FaultTruncated, FaultEnd, FaultForget:
		return true
	default:
		return false
	}
}

// endConnection ends or stalls a connection as its fault requires.
func (p Plan) endConnection(w http.ResponseWriter, r *http.Request) {
	switch p.Fault {
	case FaultSilent:
		<-r.Context().Done()
	case FaultPings:
		p.sendPings(w, r)
	case FaultTruncated, FaultForget:
		panic(http.ErrAbortHandler)
	}
}

// sendPings sends keep-alive comments until the connection is closed.
func (p Plan) sendPings(w http.ResponseWriter, r *http.Request) {
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

// appendEvent appends an event, the index-th of its connection, with the faults of the plan.
func (p Plan) appendEvent(buffer []byte, event sse.Event, index int) []byte {
	if p.Fault == FaultGap && index == p.After {
		return buffer
	}
	buffer = sse.Append(buffer, event)
	if p.Fault == FaultTwice {
		buffer = sse.Append(buffer, event)
	}
	return buffer
}
