package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"agateswitch/sse"
)

// generation is one answer as it is produced. Several connections may read it.
type generation struct {
	id     string
	model  string
	prompt string
	// count is how many tokens the complete answer has. Each is made when it is read, since
	// tests ask for endless answers.
	count int

	mu       sync.Mutex
	produced int
	stopped  bool
	changed  chan struct{}
}

func newGeneration(id, model, prompt string, count int) *generation {
	return &generation{id: id, model: model, prompt: prompt, count: count, changed: make(chan struct{})}
}

// advance produces one token. It returns false at the end or after a cancel.
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

func (g *generation) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// stop cancels the generation and tells whether it was running.
func (g *generation) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := !g.stopped && g.produced < g.count
	g.stopped = true
	g.signal()
	return running
}

// wait returns how many tokens there are, once there are more than seen.
func (g *generation) wait(r *http.Request, seen int) (produced int, ok bool) {
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

// stream sends the tokens after an event id, then the end, with the faults of a plan.
func (g *generation) stream(w http.ResponseWriter, r *http.Request, after int, plan Plan) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	controller.Flush()
	sent := after
	for sent < g.count {
		produced, ok := g.wait(r, sent)
		if !ok {
			return
		}
		if limit := after + plan.After; plan.stops() && produced > limit {
			produced = limit
		}
		var buffer []byte
		for ; sent < produced; sent++ {
			buffer = plan.append(buffer, g.event(sent), sent-after)
		}
		if _, err := w.Write(buffer); err != nil {
			return
		}
		controller.Flush()
		if plan.stops() && sent == after+plan.After {
			plan.stop(w, r)
			return
		}
	}
	w.Write(sse.Append(nil, doneEvent))
}

func (g *generation) event(index int) sse.Event {
	part := choice{Delta: &message{Role: "assistant", Content: token(g.prompt, index)}}
	if index == g.count-1 {
		part.FinishReason = "stop"
	}
	data, _ := json.Marshal(chunk{ID: g.id, Object: "chat.completion.chunk", Model: g.model, Choices: []choice{part}})
	return sse.Event{ID: strconv.Itoa(index + 1), Data: data}
}

// whole sends the answer in one piece.
func (g *generation) whole(w http.ResponseWriter, r *http.Request, plan Plan) {
	for seen := 0; seen < g.count; {
		produced, ok := g.wait(r, seen)
		if !ok {
			return
		}
		seen = produced
	}
	if plan.Fault == FaultTruncated {
		// A length that is not reached makes the server close the connection.
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
