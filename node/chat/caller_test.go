package chat_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/fleet"
	"agateswitch/internal/pipenet"
	"agateswitch/node/chat"
	"agateswitch/port"
	"agateswitch/sse"
	"agateswitch/standin/engine"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const (
	prompt   = "hello"
	tokens   = 20
	silence  = 2 * time.Second
	interval = 50 * time.Millisecond
)

// testbed is a chat service with two engines, in virtual time.
type testbed struct {
	network   *pipenet.Network
	engines   map[fleet.UpstreamID]*engine.Engine
	servers   []*http.Server
	upstreams *upstreamhttp.Client
	service   *chat.Service
	placer    *placer
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{network: &pipenet.Network{}, engines: map[fleet.UpstreamID]*engine.Engine{}, placer: &placer{}}
	for _, id := range []fleet.UpstreamID{"e1", "e2"} {
		b.engines[id] = engine.New(engine.Options{ID: string(id), TokenInterval: interval})
		server := &http.Server{Handler: b.engines[id]}
		go server.Serve(b.network.Listen(string(id) + ":80"))
		b.servers = append(b.servers, server)
		b.placer.upstreams = append(b.placer.upstreams, fleet.Upstream{ID: id, Pool: "lm", Address: string(id) + ":80"})
	}
	b.upstreams = upstreamhttp.NewWithDial(b.network.Dial)
	b.service = chat.New(b.placer, b.upstreams, versions{}, port.Telemetry{Log: log.New(io.Discard)})
	t.Cleanup(b.close)
	return b
}

func (b *testbed) close() {
	b.service.Wait()
	b.upstreams.Close()
	for _, server := range b.servers {
		server.Close()
	}
	// Wait, in virtual time, until the engines have completed their work.
	<-time.After((tokens + 2) * interval)
}

func call(id fleet.RequestID, stream bool) chat.Call {
	body := fmt.Sprintf(`{"model":"lm","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	return chat.Call{
		Request: fleet.Request{ID: id, Pool: "lm", Decode: tokens}, Body: []byte(body), Stream: stream, Silence: silence,
	}
}

// placer is a port.Placer that grants the first upstream that is not excluded.
type placer struct {
	upstreams []fleet.Upstream

	mu       sync.Mutex
	outcomes []fleet.Outcome
}

func (p *placer) Acquire(_ context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	for _, upstream := range p.upstreams {
		excluded := false
		for _, id := range request.Exclude {
			excluded = excluded || id == upstream.ID
		}
		if !excluded {
			return fleet.Grant{ID: "g", Upstream: upstream}, nil
		}
	}
	return fleet.Grant{}, fleet.Refuse(fleet.CodeNoUpstream, "none is left", time.Second)
}

func (p *placer) Release(_ fleet.Grant, completion fleet.Completion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, completion.Outcome)
}

func (p *placer) Explain(context.Context, fleet.Request) ([]string, error) { return nil, nil }

type versions struct{}

func (versions) Choose(fleet.PoolID, fleet.ChatID) fleet.Version { return "" }
func (versions) Observe(fleet.Evidence)                          {}

// caller is a chat.Sink that records what a caller receives.
type caller struct {
	started time.Time
	// resumedAfter is the id of the last event that the caller received before it resumed.
	resumedAfter int
	ids          []string
	text         strings.Builder
	begun        bool
	done         bool
	refusal      *fleet.Refusal
	// answers counts the final answers of the call; there must be exactly one.
	answers int
	// longestGap is the longest time without an event.
	longestGap time.Duration
	last       time.Time
	// disconnect is called after disconnectAfter events.
	disconnect      func()
	disconnectAfter int
}

func newCaller() *caller { return &caller{started: time.Now(), last: time.Now()} }

func (c *caller) progress() {
	c.longestGap = max(c.longestGap, time.Since(c.last))
	c.last = time.Now()
}

func (c *caller) Buffered(_ int, _ string, body []byte) {
	c.progress()
	var chunk struct {
		Choices []struct{ Message struct{ Content string } }
	}
	c.done = json.Unmarshal(body, &chunk) == nil && len(chunk.Choices) == 1
	if c.done {
		c.text.WriteString(chunk.Choices[0].Message.Content)
	}
	c.answers++
}

func (c *caller) Begin(fleet.Grant) { c.begun = true }

func (c *caller) Event(event sse.Event) error {
	c.progress()
	if event.IsDone() {
		c.done = true
		c.answers++
		return nil
	}
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return err
	}
	c.ids = append(c.ids, event.ID)
	c.text.WriteString(chunk.Choices[0].Delta.Content)
	if c.disconnect != nil && len(c.ids) == c.disconnectAfter {
		c.disconnect()
		return net.ErrClosed
	}
	return nil
}

func (c *caller) Refuse(refusal *fleet.Refusal) {
	c.refusal = refusal
	c.answers++
}

// outcome names the end of the call as the caller sees it.
func (c *caller) outcome() string {
	switch {
	case c.done:
		return "complete"
	case c.refusal == nil:
		return "none"
	case c.refusal.Ran == fleet.NotRun:
		return "not run"
	case c.begun:
		return "cut, said so"
	default:
		return "unknown"
	}
}

// checkInvariants compares what a caller received with what the engines ran.
func (b *testbed) checkInvariants(t *testing.T, id fleet.RequestID, c *caller) {
	t.Helper()
	want := engine.Tokens(prompt, tokens)[c.resumedAfter:]
	runs := 0
	for _, e := range b.engines {
		must.LessEq(t, 1, e.Runs()[string(id)], must.Sprint("one engine ran the request twice"))
		runs += e.Runs()[string(id)]
	}
	must.LessEq(t, 1, c.answers, must.Sprint("the caller was answered twice"))
	must.StrHasPrefix(t, c.text.String(), strings.Join(want, ""))
	for i, got := range c.ids {
		must.Eq(t, fmt.Sprint(c.resumedAfter+i+1), got, must.Sprint("an event is missing, duplicated or out of order"))
	}
	if c.done {
		must.Eq(t, strings.Join(want, ""), c.text.String(), must.Sprint("an incomplete answer was delivered as complete"))
		must.Positive(t, runs)
	}
	if c.refusal != nil && c.refusal.Ran == fleet.NotRun {
		must.Zero(t, runs, must.Sprint("refused as not run although an engine ran the request"))
		must.Eq(t, 0, len(c.ids))
	}
	if c.refusal != nil && c.refusal.Ran == fleet.DidRun {
		must.Positive(t, runs)
	}
}
