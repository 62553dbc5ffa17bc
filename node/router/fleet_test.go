package router_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"agateswitch/adapter/hostlist"
	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/examples"
	"agateswitch/internal/logtest"
	"agateswitch/node/router"
	"agateswitch/settings"
	"agateswitch/sse"
	"agateswitch/standin/engine"
	"agateswitch/standin/hosts"
	"agateswitch/standin/service"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const (
	operatorToken = "router-test-operator-token"
	// eventTimeout bounds waits for events over real sockets. It is far above their usual time, so
	// that a busy machine fails no test.
	eventTimeout = time.Minute
	model        = "farrier-lm"
)

// testRouter is one router of a test fleet.
type testRouter struct {
	callers string
	log     *logtest.Buffer
	// stop begins a planned stop, forceStop stops the router at once, and ended is closed when it
	// has stopped.
	stop, forceStop func()
	ended           chan struct{}
	// signal sends a signal to the router's process. It is nil for a router in the test's process.
	signal func(syscall.Signal)
}

// testFleet is two routers in front of an engine and a plain service, on loopback addresses.
type testFleet struct {
	routers []*testRouter
	engine  *engine.Engine
	service *service.Service
	team    fleet.Team
	pool    configuration.Pool
}

func startFleet(t *testing.T, drain time.Duration, tokenInterval time.Duration) *testFleet {
	t.Helper()
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f := &testFleet{
		engine:  engine.New(engine.Options{ID: "e1", TokenInterval: tokenInterval}),
		service: service.New("s1"), team: example.Contracts[0].Team,
	}
	hostList := hosts.New()
	storeAddress, hostsAddress := serve(t, store.New()), serve(t, hostList)
	for id, upstream := range map[string]http.Handler{"e1": f.engine, "s1": f.service} {
		pool := example.Pools[0].Name
		if (id == "s1") == (example.Pools[0].Type == configuration.PoolEngine) {
			pool = example.Pools[1].Name
		}
		hostList.Put(hostlist.TargetGroup{Targets: []string{serve(t, upstream)}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: id, hostlist.LabelPool: string(pool),
			hostlist.LabelDataCentre: "arima", hostlist.LabelVersion: "1",
		}})
	}
	operators := make([]string, 0, 2)
	for _, id := range []string{"arima-1", "arima-2"} {
		listeners, err := router.Listen(settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"})
		must.NoError(t, err)
		operators = append(operators, listeners.Operators.Addr().String())
		hostList.Put(hostlist.TargetGroup{Targets: []string{listeners.Callers.Addr().String()}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleRouter, hostlist.LabelID: id, hostlist.LabelDataCentre: "arima",
			hostlist.LabelPeer: listeners.Peers.Addr().String(),
		}})
		f.routers = append(f.routers, startRouter(t, listeners, settings.Settings{
			Host:     settings.Host{ID: fleet.HostID(id), DataCentre: "arima", Region: "tt-north"},
			Platform: settings.Platform{Store: storeAddress, Hosts: hostsAddress}, OperatorToken: operatorToken,
			ResumeKeys: []string{"router-test-resume-key-of-32-characters"},
			PeerKey:    "router-test-peer-key-of-32-characters", Drain: settings.Duration(drain),
		}))
	}
	f.configure(t, operators, example)
	return f
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

func startRouter(t *testing.T, listeners router.Listeners, routerSettings settings.Settings) *testRouter {
	t.Helper()
	r := &testRouter{callers: listeners.Callers.Addr().String(), log: &logtest.Buffer{}, ended: make(chan struct{})}
	node, err := router.New(routerSettings, listeners, log.New(r.log))
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	forced, forceStop := context.WithCancel(context.Background())
	r.stop, r.forceStop = stop, forceStop
	go func() {
		defer close(r.ended)
		node.Run(ctx, forced)
	}()
	t.Cleanup(func() { stop(); forceStop(); <-r.ended })
	return r
}

func (f *testFleet) configure(t *testing.T, operators []string, example examples.Example) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	client := operatorclient.New(operators[0], operatorToken)
	var last configuration.Revision
	put := func(kind configuration.Kind, name string, value any) {
		encoded, err := json.Marshal(value)
		must.NoError(t, err)
		accepted, err := client.Put(ctx, configuration.Key{Kind: kind, Name: name}, encoded, operatorclient.ChangeOptions{})
		must.NoError(t, err)
		last = accepted.Revision
		must.NoError(t, client.WaitFor(ctx, last))
	}
	for _, pool := range example.Pools {
		put(configuration.KindPool, string(pool.Name), pool)
		if pool.Type == configuration.PoolService {
			f.pool = pool
		}
	}
	contract := example.Contracts[0]
	contract.RequestsPerSecond, contract.Burst, contract.Concurrency = 1e6, 1e6, 0
	put(configuration.KindContract, string(f.team), contract)
	must.NoError(t, operatorclient.New(operators[1], operatorToken).WaitFor(ctx, last))
}

// eventDeadline returns a context for polling: it ends when the awaited event is overdue.
func eventDeadline(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	t.Cleanup(cancel)
	return ctx
}

// request sends a request to a router with the key of the test's team.
func (f *testFleet) request(t *testing.T, method, address, path, body string, header http.Header) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	must.NoError(t, err)
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Authorization", "Bearer demo-"+string(f.team))
	answer, err := http.DefaultTransport.RoundTrip(request)
	must.NoError(t, err)
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

func completionBody(tokens int) string {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": "hello"}},
	})
	return string(body)
}

// stream starts a streamed completion. It retries until the router has read the engine from the
// host list.
func (f *testFleet) stream(t *testing.T, address string, tokens int) *http.Response {
	t.Helper()
	deadline := eventDeadline(t)
	for {
		must.NoError(t, deadline.Err(), must.Sprint("no upstream accepted the completion"))
		answer := f.request(t, http.MethodPost, address, "/v1/chat/completions", completionBody(tokens), nil)
		if answer.StatusCode == http.StatusOK {
			return answer
		}
		must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
}

// readEvents reads up to count events, or fewer if the stream ends. It returns their text, the id
// of the last one, and whether the stream has ended.
func readEvents(t *testing.T, events *sse.Reader, count int) (text string, last string, done bool) {
	t.Helper()
	for range count {
		event, err := events.Next()
		must.NoError(t, err)
		must.NotEq(t, "error", event.Name, must.Sprint(string(event.Data)))
		if event.IsDone() {
			return text, last, true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		must.NoError(t, json.Unmarshal(event.Data, &chunk))
		text += chunk.Choices[0].Delta.Content
		last = event.ID
	}
	return text, last, false
}
