package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"agateswitch/sse"
)

// generation is an answer that is being generated. Several connections may read it at once.
type generation struct {
	id     string
	model  string
	prompt string
	// count is the number of tokens in the complete answer. Each token is made when it is read,
	// since tests request practically endless answers.
	count int

	mu       sync.Mutex
	produced int
	stopped  bool
	// changed is closed and replaced when produced or stopped changes.
	changed chan struct{}
}

func newGeneration(id, model, prompt string, count int) *generation {
	return &generation{id: id, model: model, prompt: prompt, count: count, changed: make(chan struct{})}
}

// advance produces one token. It returns false at the end or after a cancellation.
func (g *generation) advance() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped || g.produced == g.count {
		return false
	}
	g.produced++
	g.signal()
	return true
}

// signal wakes the connections in waitForMore. The caller holds g.mu.
func (g *generation) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// cancel stops the generation and reports whether it was running.
func (g *generation) cancel() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := !g.stopped && g.produced < g.count
	g.stopped = true
	g.signal()
	return running
}

// waitForMore waits until more than seen tokens are produced, and returns their number. ok is false
// if the generation was cancelled or the caller disconnected before that.
func (g *generation) waitForMore(r *http.Request, seen int) (produced int, ok bool) {
	for {
		g.mu.Lock()
		produced, stopped, changed := g.produced, g.stopped, g.changed
		g.mu.Unlock()
		if produced > seen {
			return produced, true
		}
		if stopped {
			return produced, false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return produced, false
		}
	}
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// stream sends the events after an event id and then the last event, with the faults of a plan.
func (g *generation) stream(w http.ResponseWriter, r *http.Request, after int, plan Plan) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	controller.Flush()
	sent := after
	for sent < g.count {
		produced, ok := g.waitForMore(r, sent)
		if !ok {
			return
		}
		if limit := after + plan.After; plan.endsEarly() && produced > limit {
			produced = limit
		}
		var buffer []byte
		for ; sent < produced; sent++ {
			buffer = plan.appendEvent(buffer, g.event(sent), sent-after)
		}
		if _, err := w.Write(buffer); err != nil {
			return
		}
		controller.Flush()
		if plan.endsEarly() && sent == after+plan.After {
			plan.endConnection(w, r)
			return
		}
	}
	w.Write(sse.Append(nil, doneEvent))
}

// event returns the stream event of the token at an index.
func (g *generation) event(index int) sse.Event {
	part := choice{Delta: &message{Role: "assistant", Content: token(g.prompt, index)}}
	if index == g.count-1 {
		part.FinishReason = "stop"
	}
	data, _ := json.Marshal(chunk{ID: g.id, Object: "chat.completion.chunk", Model: g.model, Choices: []choice{part}})
	return sse.Event{ID: strconv.Itoa(index + 1), Data: data}
}

// writeBuffered sends the answer as one JSON body, once it is complete.
func (g *generation) writeBuffered(w http.ResponseWriter, r *http.Request, plan Plan) {
	for seen := 0; seen < g.count; {
		produced, ok := g.waitForMore(r, seen)
		if !ok {
			return
		}
		seen = produced
	}
	if plan.Fault == FaultTruncated {
		// The server closes the connection because the body is shorter than this length.
		w.Header().Set("Content-Length", "1000000")
	}
	if plan.Fault == FaultSilent {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	text := message{Role: "assistant", Content: strings.Join(Tokens(g.prompt, g.count), "")}
	json.NewEncoder(w).Encode(chunk{
		ID: g.id, Object: "chat.completion", Model: g.model,
		Choices: []choice{{Message: &text, FinishReason: "stop"}},
	})
}
