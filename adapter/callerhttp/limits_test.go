package callerhttp_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/adapter/callerhttp"
	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/resume"
	"agateswitch/internal/pipenet"
	"agateswitch/node/chat"
	"agateswitch/node/forward"
	"agateswitch/port"
	"agateswitch/standin/engine"
	"agateswitch/standin/service"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const (
	entryAddress = "router:80"
	bearer       = "a-key"
)

// fakePorts implements a constant configuration, a placer with one upstream for each pool, and
// versions without moves.
type fakePorts struct {
	snapshot *configuration.Snapshot
}

func (f fakePorts) Current() *configuration.Snapshot                       { return f.snapshot }
func (fakePorts) Release(fleet.Grant, fleet.Completion)                    {}
func (fakePorts) Explain(context.Context, fleet.Request) ([]string, error) { return nil, nil }
func (fakePorts) Choose(fleet.PoolID, fleet.ChatID) fleet.Version          { return "" }
func (fakePorts) Observe(fleet.Evidence)                                   {}

func (fakePorts) Acquire(_ context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	return fleet.Grant{ID: "g", Upstream: fleet.Upstream{
		ID: fleet.UpstreamID(request.Pool), Pool: request.Pool, Address: string(request.Pool) + ":80",
	}}, nil
}

// singleRouter implements the membership of a fleet with one router.
type singleRouter struct{ port.Members }

func (singleRouter) Self() fleet.Host { return fleet.Host{ID: "router"} }

func newSnapshot(t testing.TB) *configuration.Snapshot {
	t.Helper()
	digest := sha256.Sum256([]byte(bearer))
	items := map[configuration.Key]any{
		{Kind: configuration.KindPool, Name: "lm"}: configuration.Pool{Name: "lm", Type: configuration.PoolEngine},
		{Kind: configuration.KindPool, Name: "app"}: configuration.Pool{
			Name: "app", Type: configuration.PoolService, PathPrefix: "app",
		},
		{Kind: configuration.KindContract, Name: "yard"}: configuration.Contract{
			Team: "yard", KeyDigests: []string{hex.EncodeToString(digest[:])},
			Pools: []fleet.PoolID{"lm", "app"}, RequestsPerSecond: 1000,
		},
	}
	delta := configuration.Delta{To: 1}
	for key, value := range items {
		encoded, err := json.Marshal(value)
		must.NoError(t, err)
		delta.Items = append(delta.Items, configuration.Item{Key: key, Revision: 1, Value: encoded})
	}
	snapshot, applied, err := configuration.Empty().Apply(delta)
	must.NoError(t, err)
	must.True(t, applied)
	return snapshot
}

// startRouter starts a router, an engine and a plain service on an in-memory network.
func startRouter(t testing.TB, interval time.Duration) (*pipenet.Network, *engine.Engine, *service.Service) {
	t.Helper()
	network := &pipenet.Network{}
	model, plain := engine.New(engine.Options{ID: "lm", TokenInterval: interval}), service.New("app")
	upstreams := upstreamhttp.NewWithDial(network.Dial)
	telemetry := port.Telemetry{Log: log.New(io.Discard)}
	f := fakePorts{newSnapshot(t)}
	entry := &callerhttp.Server{
		Config: f, Members: singleRouter{}, Log: telemetry.Log, ResumeKeys: resume.NewKeys([]string{"a-resume-key-of-at-least-32-characters"}),
		Chat: chat.New(f, upstreams, f, telemetry), Forward: forward.New(f, upstreams, f, nil, telemetry),
	}
	router := &http.Server{Handler: entry.Handler()}
	callerhttp.ApplyLimits(router)
	for address, server := range map[string]*http.Server{entryAddress: router, "lm:80": {Handler: model}, "app:80": {Handler: plain}} {
		go server.Serve(network.Listen(address))
		t.Cleanup(func() { server.Close() })
	}
	t.Cleanup(func() { entry.Chat.Wait(); upstreams.Close() })
	return network, model, plain
}

func dial(t *testing.T, network *pipenet.Network) net.Conn {
	t.Helper()
	connection, err := network.Dial(t.Context(), "tcp", entryAddress)
	must.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	return connection
}

func requestHead(line, header string) string {
	return line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + bearer + "\r\n" + header + "\r\n"
}

// A caller that sends slowly or without end is answered or disconnected within the limits.
func TestSlowSendersAreClosed(t *testing.T) {
	const post = "POST /v1/chat/completions"
	drip := func(w io.Writer, text string) {
		for {
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
			<-time.After(time.Second)
		}
	}
	cases := []struct {
		name, start, drip string
		limit             time.Duration
	}{
		{"nothing", "", "", callerhttp.HeaderTimeout},
		{"endless header", "GET / HTTP/1.1\r\n", "X: 1\r\n", callerhttp.HeaderTimeout},
		{"slow body of a completion", requestHead(post, "Content-Length: 1000\r\n"), "x", callerhttp.BodyTimeout},
		{"endless chunks of a completion", requestHead(post, "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n", callerhttp.BodyTimeout},
		{"slow body without a key", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n", "x", time.Second},
		{"slow body of a call", requestHead("POST /app/x", "Content-Length: 1000\r\n"), "x", callerhttp.ServiceBodyTimeout},
		{"endless body of a call", requestHead("POST /app/x", "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n", callerhttp.ServiceBodyTimeout},
		{"body of a call that stops", requestHead("POST /app/x", "Content-Length: 1000\r\n") + "x", "", callerhttp.ServiceBodyIdleTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, _, plain := startRouter(t, time.Millisecond)
				connection := dial(t, network)
				started := time.Now()
				dripping := make(chan struct{})
				go func() {
					defer close(dripping)
					io.WriteString(connection, c.start)
					if c.drip != "" {
						drip(connection, c.drip)
					}
				}()
				text, err := io.ReadAll(connection)
				must.NoError(t, err)
				connection.Close()
				<-dripping
				// The rest of a body is read for one more second, and one drip is sent each second.
				must.LessEq(t, c.limit+2*time.Second, time.Since(started))
				if strings.HasPrefix(c.start, "POST") {
					must.StrContains(t, string(text), `"error":{"code":"`)
				}
				must.MapEmpty(t, plain.Calls())
			})
		})
	}
}

// A caller that does not read its stream is disconnected, and its request on the engine is
// cancelled.
func TestSlowReaderIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, model, _ := startRouter(t, 10*time.Millisecond)
		connection := dial(t, network)
		body := `{"model":"lm","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hello"}]}`
		io.WriteString(connection, requestHead("POST /v1/chat/completions", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, answer.StatusCode)
		// The caller stops reading here.
		<-time.After(callerhttp.WriteTimeout + 5*time.Second)
		must.Eq(t, int64(1), model.Counts().Cancelled)
		must.Zero(t, model.Counts().Running)
	})
}
