package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"agateswitch/adapter/hostlist"
	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"
	"agateswitch/examples"
	"agateswitch/sse"
	"agateswitch/standin/engine"

	"github.com/shoenig/test/must"
)

// processTimeout bounds waits for events of real processes. It is far above their usual time, so
// that a busy machine fails no test.
const processTimeout = time.Minute

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "agateswitch")
	build := exec.Command("go", "build", "-o", program, ".")
	output, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return program
}

// startAndFind runs a process until the test ends, and returns the first text that match finds in
// its output.
func startAndFind(t *testing.T, match func(line string) (string, bool), program string, args ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	return launch(t, program, args...).waitForLine(ctx, t, match)
}

// matchStandinAddress finds the address in a stand-in's first line of output.
func matchStandinAddress(line string) (string, bool) {
	return strings.CutPrefix(line, "listening on ")
}

// servingLine is the log line of a router that has opened its listening sockets.
type servingLine struct{ Msg, Callers, Operators, Peers string }

// matchServing matches the log line of a router that serves.
func matchServing(line string) (string, bool) {
	var parsed servingLine
	if json.Unmarshal([]byte(line), &parsed) != nil || parsed.Msg != "serving callers, operators and peers" {
		return "", false
	}
	return line, true
}

// startRouter runs a router as a process and registers it on the host list.
func startRouter(t *testing.T, program, id, dataCentre, store, hostList string) (*process, servingLine) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	file := filepath.Join(t.TempDir(), "router.jsonc")
	content := fmt.Sprintf(`{
		"host": {"id": %q, "datacentre": %q, "region": "tt-north"},
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.2:0", "peers": "127.0.0.3:0"},
		"platform": {"store": %q, "hosts": %q},
		"operator_token": "process-test-token",
		"resume_keys": ["process-test-resume-key-of-32-characters"],
		"peer_key": "process-test-peer-key-of-32-characters",
		"log": {"format": "json"}, "drain": "0s"
	}`, id, dataCentre, store, hostList)
	must.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	started := launch(t, program, "serve", file)
	var addresses servingLine
	must.NoError(t, json.Unmarshal([]byte(started.waitForLine(ctx, t, matchServing)), &addresses))
	must.NoError(t, register(hostList, hostlist.TargetGroup{Targets: []string{addresses.Callers}, Labels: map[string]string{
		hostlist.LabelRole: hostlist.RoleRouter, hostlist.LabelID: id,
		hostlist.LabelDataCentre: dataCentre, hostlist.LabelPeer: addresses.Peers,
	}}))
	return started, addresses
}

// A request is routed through separate processes to an engine, and its answer back to the caller.
func TestProcessesServeOneRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	program := buildProgram(t)
	storeAddress := startAndFind(t, matchStandinAddress, program, "standin", "store", "--listen", "127.0.0.1:0")
	hostList := startAndFind(t, matchStandinAddress, program, "standin", "hosts", "--listen", "127.0.0.1:0")
	for i := range 2 {
		startAndFind(t, matchStandinAddress, program, "standin", "engine", "--id", fmt.Sprintf("e%d", i), "--pool", "farrier-lm",
			"--datacentre", "arima", "--hosts", hostList)
	}
	startAndFind(t, matchStandinAddress, program, "standin", "service", "--id", "s1", "--pool", "rounds-app",
		"--datacentre", "arima", "--hosts", hostList)
	_, first := startRouter(t, program, "arima-1", "arima", storeAddress, hostList)
	_, second := startRouter(t, program, "tunapuna-1", "tunapuna", storeAddress, hostList)
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	configure(ctx, t, first.Operators, second.Operators, example)

	answer := completeChat(ctx, t, second.Callers, string(example.Contracts[0].Team))
	must.Eq(t, strings.Join(engine.Tokens("hello", 8), ""), answer)
}

func configure(ctx context.Context, t *testing.T, first, second string, example examples.Example) {
	t.Helper()
	client := operatorclient.New(first, "process-test-token")
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
	}
	put(configuration.KindContract, string(example.Contracts[0].Team), example.Contracts[0])
	must.NoError(t, operatorclient.New(second, "process-test-token").WaitFor(ctx, last))
}

// completeChat sends a chat and returns the text of its answer. It retries until the router has
// read the engines from the host list.
func completeChat(ctx context.Context, t *testing.T, address, team string) string {
	t.Helper()
	body := `{"model":"farrier-lm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
		must.NoError(t, err)
		request.Header.Set("Authorization", "Bearer demo-"+team)
		answer, err := http.DefaultClient.Do(request)
		must.NoError(t, err)
		if answer.StatusCode == http.StatusOK {
			defer answer.Body.Close()
			return readText(t, answer)
		}
		answer.Body.Close()
		must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
	}
}

func readText(t *testing.T, answer *http.Response) string {
	t.Helper()
	var text strings.Builder
	events := sse.NewReader(answer.Body)
	for {
		event, err := events.Next()
		must.NoError(t, err)
		if event.IsDone() {
			return text.String()
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		must.NoError(t, json.Unmarshal(event.Data, &chunk))
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
}
