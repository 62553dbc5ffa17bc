package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"agateswitch/platform/standin"

	"github.com/shoenig/test/must"
)

const (
	gatewayHost = "farrier.example"
	gatewayKey  = "key-of-team-one"
)

// gatewayFleet is gateway processes with stand-ins of the platform and of upstreams on loopback
// addresses.
type gatewayFleet struct {
	program string
	store   *standin.Store
	plain   *standin.Engine
	stream  *standin.Engine
	// plainAddress is the address of plain. plainHandler is the engine that currently serves there.
	plainAddress string
	plainHandler atomic.Pointer[standin.Engine]
	// capacity is a line of the settings that states what the host can bear; empty for none. bodyBytes is the limit of bodies.
	capacity  string
	bodyBytes int
}

func newGatewayFleet(t *testing.T) *gatewayFleet {
	t.Helper()
	f := &gatewayFleet{
		program: buildProgram(t), store: standin.NewStore(), plain: &standin.Engine{ID: "app-0"},
		stream: &standin.Engine{ID: "lm-0", Stream: true, Events: 100, Interval: 10 * time.Millisecond}, bodyBytes: 1 << 20,
	}
	f.plainHandler.Store(f.plain)
	f.plainAddress = listenOn(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.plainHandler.Load().ServeHTTP(w, r) }))
	f.configure(1, gatewayKey)
	f.register("app", f.plain.ID, f.plainAddress)
	f.register("lm", f.stream.ID, listenOn(t, f.stream))
	return f
}

// configure writes a desired state that allows one key.
func (f *gatewayFleet) configure(version int, key string) {
	route := func(name, service, kind string) map[string]any {
		return map[string]any{"name": name, "host": gatewayHost, "path_prefix": "/" + name + "/", "kind": kind,
			"timeout_ms": 60000, "service": service, "max_attempts": 1}
	}
	f.store.Put("op/config", map[string]any{
		"version":  version,
		"routes":   []any{route("book", "app", "non_idempotent"), route("plan", "lm", "streaming")},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "lm", "engine": map[string]any{"slots": 8}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": f.bodyBytes},
		"tenants":  []any{map[string]any{"name": "team-one", "api_keys": []string{key}}},
	})
}

// register writes an upstream's entry to the store.
func (f *gatewayFleet) register(pool, id, address string) {
	f.store.Put("servers/"+id, map[string]any{
		"service": pool, "address": address, "zone": "arima", "version": "v1", "state": "ready", "born": 1,
	})
}

func listenOn(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// gatewayProcess is one running gateway, its callers' address and its settings file.
type gatewayProcess struct {
	*process
	callers  string
	settings string
}

// start runs a gateway and waits until it has a desired state. Each gateway has its own loopback
// address, so that its fixed ports are free.
func (f *gatewayFleet) start(ctx context.Context, t *testing.T, number int) gatewayProcess {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	must.NoError(t, os.WriteFile(file, f.settingsOf(t, number), 0o600))
	p := gatewayProcess{process: launch(t, f.program, "gateway", file), callers: gatewayIP(number) + ":7001", settings: file}
	p.await(ctx, t, "desired state in force")
	return p
}

// await waits for a log line with the given message.
func (p gatewayProcess) await(ctx context.Context, t *testing.T, message string) {
	t.Helper()
	p.waitForLine(ctx, t, func(line string) (string, bool) {
		var parsed struct{ Msg string }
		return line, json.Unmarshal([]byte(line), &parsed) == nil && parsed.Msg == message
	})
}

// send sends a request and returns its status and body. It returns an error for a truncated answer.
func (p gatewayProcess) send(ctx context.Context, path string) (int, string, error) {
	return p.sendWithKey(ctx, path, gatewayKey)
}

// sendWithKey is send with the given API key.
func (p gatewayProcess) sendWithKey(ctx context.Context, path, key string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = gatewayHost
	request.Header.Set("Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set("X-Api-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// Gateway processes serve through a reload of settings, a planned stop that aborts no request, and
// the kill of another gateway.
func TestGatewayProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	f := newGatewayFleet(t)
	first, second := f.start(ctx, t, 1), f.start(ctx, t, 2)
	mustServe := func(p gatewayProcess) {
		t.Helper()
		status, body, err := p.send(ctx, "/book/1")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, "answer of app-0", body)
	}
	mustServe(first)
	mustServe(second)
	metrics, err := http.Get("http://" + strings.Replace(first.callers, ":7001", ":7005", 1) + "/metrics")
	must.NoError(t, err)
	metricsText, err := io.ReadAll(metrics.Body)
	must.NoError(t, err)
	must.NoError(t, metrics.Body.Close())
	for _, name := range []string{"agateswitch_answers_total", "agateswitch_first_byte_seconds_bucket", "agateswitch_log_lines_dropped_total"} {
		must.StrContains(t, string(metricsText), name)
	}

	text, err := os.ReadFile(first.settings)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(first.settings, []byte(strings.Replace(string(text), "0.2", "0.3", 1)), 0o600))
	must.NoError(t, first.command.Process.Signal(syscall.SIGHUP))
	first.await(ctx, t, "settings in force")
	mustServe(first)

	type result struct {
		body string
		err  error
	}
	longStream := make(chan result, 1)
	go func() {
		_, body, err := first.send(ctx, "/plan/1")
		longStream <- result{body, err}
	}()
	for len(f.stream.Runs()) == 0 {
		must.NoError(t, ctx.Err())
		// The request reaches the engine through another process, so the test has to poll.
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, first.command.Process.Signal(syscall.SIGTERM))
	first.await(ctx, t, "leaving the fleet; finishing running requests")
	mustServe(first)
	stream := <-longStream
	must.NoError(t, stream.err)
	must.StrHasSuffix(t, "id: 100\ndata: piece 100\n\n", stream.body)
	first.await(ctx, t, "gateway stopped")
	must.NoError(t, first.command.Wait())

	mustServe(second)
	third := f.start(ctx, t, 3)
	must.NoError(t, second.command.Process.Kill())
	mustServe(third)
}

// A paused gateway resumes with stale state. If an address that it knows was assigned to another
// upstream during the pause, that upstream runs none of its requests. It refuses a revoked key once it
// has received the new desired state, and from then on.
func TestPausedGatewayResumes(t *testing.T) {
	const newKey = "key-after-the-freeze"
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	f := newGatewayFleet(t)
	paused, other := f.start(ctx, t, 4), f.start(ctx, t, 5)
	status, _, err := paused.send(ctx, "/book/1")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, status)

	must.NoError(t, paused.command.Process.Signal(syscall.SIGSTOP))
	otherUpstream, successor := &standin.Engine{ID: "stranger"}, &standin.Engine{ID: "app-1"}
	f.store.Delete("servers/" + f.plain.ID)
	f.plainHandler.Store(otherUpstream)
	f.register("other", otherUpstream.ID, f.plainAddress)
	f.register("app", successor.ID, listenOn(t, successor))
	f.configure(2, newKey)
	for status = 0; status != http.StatusUnauthorized; status, _, err = other.send(ctx, "/book/2") {
		must.NoError(t, ctx.Err())
		must.NoError(t, err)
	}
	must.NoError(t, paused.command.Process.Signal(syscall.SIGCONT))

	for status = 0; status != http.StatusUnauthorized; status, _, err = paused.send(ctx, "/book/3") {
		must.NoError(t, ctx.Err())
		must.NoError(t, err)
		must.SliceContains(t, []int{0, http.StatusOK, http.StatusServiceUnavailable}, status)
	}
	for range 20 {
		status, _, err = paused.send(ctx, "/book/4")
		must.NoError(t, err)
		must.Eq(t, http.StatusUnauthorized, status)
		status, body, err := paused.sendWithKey(ctx, "/book/5", newKey)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, "answer of app-1", body)
	}
	must.Len(t, 0, otherUpstream.Runs())
}
