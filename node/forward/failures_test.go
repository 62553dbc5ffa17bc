package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/fleet"
	"agateswitch/internal/pipenet"
	"agateswitch/node/forward"
	"agateswitch/port"
	"agateswitch/standin/service"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// placer is a port.Placer that grants the first upstream that is not excluded.
type placer struct {
	upstreams []fleet.Upstream
	released  int
}

func (p *placer) Acquire(_ context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	for _, upstream := range p.upstreams {
		if !slices.Contains(request.Exclude, upstream.ID) {
			return fleet.Grant{ID: "g", Upstream: upstream}, nil
		}
	}
	return fleet.Grant{}, fleet.Refuse(fleet.CodeNoUpstream, "none is left", time.Second)
}

func (p *placer) Release(fleet.Grant, fleet.Completion)                    { p.released++ }
func (p *placer) Explain(context.Context, fleet.Request) ([]string, error) { return nil, nil }

type versions struct{}

func (versions) Choose(fleet.PoolID, fleet.ChatID) fleet.Version { return "" }
func (versions) Observe(fleet.Evidence)                          {}

// caller is a forward.Sink that records what a caller receives.
type caller struct {
	body      []byte
	truncated bool
	refusal   *fleet.Refusal
	answers   int
}

func (c *caller) Answer(_ int, _ http.Header, body io.Reader) error {
	c.answers++
	var err error
	c.body, err = io.ReadAll(body)
	c.truncated = err != nil
	return err
}

func (c *caller) Refuse(refusal *fleet.Refusal) {
	c.answers++
	c.refusal = refusal
}

func (c *caller) outcome() string {
	switch {
	case c.refusal != nil && c.refusal.Ran == fleet.NotRun:
		return "not run"
	case c.refusal != nil:
		return "unknown"
	case c.truncated:
		return "cut, visibly"
	default:
		return "complete"
	}
}

// failureCase lists the faults of the first service, the outcome that the caller must see and how often
// the services must have run the call.
type failureCase struct {
	method  string
	faults  []service.Fault
	outcome string
	runs    int
}

// Every failure of a plain service ends in the complete answer, a visibly truncated one, or a refusal
// that correctly states whether a service ran the call.
func TestFailuresEndInCompleteAnswerOrCorrectRefusal(t *testing.T) {
	one := func(fault service.Fault) []service.Fault { return []service.Fault{fault} }
	cases := []failureCase{
		{http.MethodGet, nil, "complete", 1},
		{http.MethodPost, nil, "complete", 1},
		{http.MethodGet, one(service.FaultLost), "complete", 1},
		{http.MethodPost, one(service.FaultLost), "unknown", 0},
		{http.MethodGet, one(service.FaultLostAnswer), "complete", 2},
		{http.MethodPost, one(service.FaultLostAnswer), "unknown", 1},
		{http.MethodGet, one(service.FaultSilent), "complete", 2},
		{http.MethodPost, one(service.FaultSilent), "unknown", 1},
		{http.MethodGet, one(service.FaultTruncated), "complete", 2},
		{http.MethodPost, one(service.FaultTruncated), "unknown", 1},
		{http.MethodGet, one(service.FaultTruncatedLarge), "cut, visibly", 1},
		{http.MethodGet, one(service.FaultStall), "cut, visibly", 1},
		{http.MethodGet, one(service.FaultMismatched), "complete", 2},
		{http.MethodPost, one(service.FaultMismatched), "unknown", 1},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(c.method, c.faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFailure(t, fleet.RequestID(fmt.Sprint("r", i)), c) })
		})
	}
}

func runFailure(t *testing.T, id fleet.RequestID, c failureCase) {
	t.Helper()
	var network pipenet.Network
	placer := &placer{}
	var services []*service.Service
	for _, name := range []string{"s1", "s2"} {
		made := service.New(name)
		server := &http.Server{Handler: made}
		go server.Serve(network.Listen(name + ":80"))
		t.Cleanup(func() { server.Close() })
		services = append(services, made)
		placer.upstreams = append(placer.upstreams, fleet.Upstream{ID: fleet.UpstreamID(name), Address: name + ":80"})
	}
	services[0].Inject(c.faults...)
	upstreams := upstreamhttp.NewWithDial(network.Dial)
	t.Cleanup(upstreams.Close)
	run := forward.New(placer, upstreams, versions{}, nil, port.Telemetry{Log: log.New(io.Discard)})
	got := &caller{}
	started := time.Now()
	run.Run(t.Context(), forward.Call{
		Request: fleet.Request{ID: id, Pool: "rounds"}, Method: c.method, Path: "/x",
		Body: strings.NewReader("body"), ContentLength: 4,
	}, got)
	t.Logf("%-5s %-14v %-13s in %s", c.method, c.faults, got.outcome(), time.Since(started))
	must.Eq(t, c.outcome, got.outcome())
	must.Eq(t, 1, got.answers)
	must.Positive(t, placer.released)
	runs := services[0].Calls()[string(id)] + services[1].Calls()[string(id)]
	must.Eq(t, c.runs, runs)
	if got.outcome() == "complete" {
		must.StrContains(t, string(got.body), `"body":"body"`)
	}
}

// A call that reached no upstream is sent to another one, regardless of its method.
func TestUnreachableServiceIsNotRunAndRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network pipenet.Network
		placer := &placer{upstreams: []fleet.Upstream{{ID: "s1", Address: "s1:80"}, {ID: "s2", Address: "s2:80"}}}
		run := forward.New(placer, upstreamhttp.NewWithDial(network.Dial), versions{}, nil, port.Telemetry{Log: log.New(io.Discard)})
		got := &caller{}
		run.Run(t.Context(), forward.Call{Request: fleet.Request{ID: "r"}, Method: http.MethodPost, Path: "/x"}, got)
		must.Eq(t, "not run", got.outcome())
		must.Eq(t, 2, network.Dials())
	})
}
