package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"agateswitch/core/fleet"
	"agateswitch/examples"
	"agateswitch/sse"
	"agateswitch/standin/engine"

	"github.com/shoenig/test/must"
)

// frozenTokens is long enough that a stream still runs when its processes are stopped.
const frozenTokens = 400

// process is a started process whose lines are kept.
type process struct {
	command *exec.Cmd
	lines   chan string
}

// launch starts a process and gives its lines of output.
func launch(t *testing.T, program string, args ...string) *process {
	t.Helper()
	command := exec.Command(program, args...)
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	command.Stdout, command.Stderr = writer, writer
	must.NoError(t, command.Start())
	writer.Close()
	p := &process{command: command, lines: make(chan string, 1<<16)}
	go func() {
		defer close(p.lines)
		scanner := bufio.NewScanner(reader)
		for scanner.Scan() {
			p.lines <- scanner.Text()
		}
	}()
	t.Cleanup(func() {
		command.Process.Signal(syscall.SIGCONT)
		command.Process.Kill()
		command.Wait()
	})
	return p
}

// find waits for a line from which text is taken.
func (p *process) find(ctx context.Context, t *testing.T, take func(string) (string, bool)) string {
	t.Helper()
	for {
		select {
		case line, open := <-p.lines:
			must.True(t, open, must.Sprint("the process ended"))
			if text, found := take(line); found {
				return text
			}
		case <-ctx.Done():
			t.Fatal("the line did not come")
		}
	}
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	must.NoError(t, p.command.Process.Signal(signal))
}

// processFleet is two routers and engines as processes, of which any can be stopped.
type processFleet struct {
	engines map[string]*process
	routers []*process
	entries []servingLine
	team    string
}

func startProcesses(ctx context.Context, t *testing.T) *processFleet {
	t.Helper()
	program := buildProgram(t)
	f := &processFleet{engines: map[string]*process{}}
	storeAddress := start(t, standinAddress, program, "standin", "store", "--listen", "127.0.0.1:0")
	hostList := start(t, standinAddress, program, "standin", "hosts", "--listen", "127.0.0.1:0")
	for _, id := range []string{"e0", "e1"} {
		f.engines[id] = launch(t, program, "standin", "engine", "--id", id, "--pool", "farrier-lm",
			"--datacentre", "arima", "--hosts", hostList, "--token-interval", "10ms")
		f.engines[id].find(ctx, t, standinAddress)
	}
	for _, id := range []string{"arima-1", "arima-2"} {
		router, addresses := startRouter(t, program, id, "arima", storeAddress, hostList)
		f.routers, f.entries = append(f.routers, router), append(f.entries, addresses)
	}
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f.team = string(example.Contracts[0].Team)
	example.Contracts[0].RequestsPerSecond, example.Contracts[0].Burst = 1e6, 1e6
	example.Contracts[0].Concurrency = 0
	configure(ctx, t, f.entries[0].Operators, f.entries[1].Operators, example)
	return f
}

// ask sends a request as the team.
func (f *processFleet) ask(ctx context.Context, t *testing.T, method, url, body string, header map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer demo-"+f.team)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

// stream begins a long completion at an entry host, once that has seen the engines.
func (f *processFleet) stream(ctx context.Context, t *testing.T, entry int) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":"farrier-lm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, frozenTokens)
	for {
		answer := f.ask(ctx, t, http.MethodPost, "http://"+f.entries[entry].Callers+"/v1/chat/completions", body, nil)
		if answer.StatusCode == http.StatusOK {
			return answer
		}
		must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
		io.Copy(io.Discard, answer.Body)
	}
}

// received is what a caller has of a stream.
type received struct {
	text string
	last string
	// end is "done", the code of an error event, or "cut".
	end string
}

// read takes up to a number of events, and checks that each is the next one.
func (r *received) read(t *testing.T, events *sse.Reader, count int) {
	t.Helper()
	for range count {
		event, err := events.Next()
		if err != nil {
			r.end = "cut"
			return
		}
		if event.Name == "error" {
			var body struct{ Error struct{ Code fleet.Code } }
			must.NoError(t, json.Unmarshal(event.Data, &body))
			r.end = string(body.Error.Code)
			return
		}
		if event.IsDone() {
			r.end = "done"
			return
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		must.NoError(t, json.Unmarshal(event.Data, &chunk))
		r.text += chunk.Choices[0].Delta.Content
		r.last = event.ID
		must.StrHasPrefix(t, r.text, strings.Join(engine.Tokens("hello", frozenTokens), ""))
	}
}

func (r *received) checkWhole(t *testing.T) {
	t.Helper()
	must.Eq(t, "done", r.end)
	must.Eq(t, strings.Join(engine.Tokens("hello", frozenTokens), ""), r.text)
}

// resume takes the rest of a stream from another entry host.
func (f *processFleet) resume(ctx context.Context, t *testing.T, entry int, begun *http.Response, got *received) {
	t.Helper()
	url := "http://" + f.entries[entry].Callers + "/v1/chat/completions/" + begun.Header.Get("X-Request-Id")
	answer := f.ask(ctx, t, http.MethodGet, url, "", map[string]string{
		"X-Resume-Token": begun.Header.Get("X-Resume-Token"), "Last-Event-ID": got.last,
	})
	must.Eq(t, http.StatusOK, answer.StatusCode)
	got.end = ""
	got.read(t, sse.NewReader(answer.Body), frozenTokens+1)
}

// The entry host is killed, or frozen, in the middle of a stream: its caller gets the
// rest from another host, and a frozen one that wakes does no harm.
func TestEntryHostIsLostInMidStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processLimit)
	defer cancel()
	f := startProcesses(ctx, t)
	for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGKILL} {
		begun := f.stream(ctx, t, 0)
		events := sse.NewReader(begun.Body)
		got := &received{}
		got.read(t, events, 5)
		f.routers[0].signal(t, signal)
		f.resume(ctx, t, 1, begun, got)
		got.checkWhole(t)
		f.routers[0].signal(t, syscall.SIGCONT)
	}
}

// An engine is frozen in the middle of a stream and wakes: the caller gets the whole
// stream. An engine that is killed ends it in an error, never in silence.
func TestEngineIsLostInMidStream(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processLimit)
	defer cancel()
	f := startProcesses(ctx, t)
	begun := f.stream(ctx, t, 0)
	events := sse.NewReader(begun.Body)
	got := &received{}
	got.read(t, events, 5)
	for _, p := range f.engines {
		p.signal(t, syscall.SIGSTOP)
	}
	// The router's first try of a fresh connection shows that it has noticed.
	f.routers[0].find(ctx, t, func(line string) (string, bool) {
		return line, strings.Contains(line, "resuming over a new connection")
	})
	for _, p := range f.engines {
		p.signal(t, syscall.SIGCONT)
	}
	got.read(t, events, frozenTokens+1)
	got.checkWhole(t)

	begun = f.stream(ctx, t, 0)
	events = sse.NewReader(begun.Body)
	got = &received{}
	got.read(t, events, 5)
	for _, p := range f.engines {
		p.signal(t, syscall.SIGKILL)
	}
	got.read(t, events, frozenTokens+1)
	must.Eq(t, string(fleet.CodeResumeImpossible), got.end)
}

// The first SIGTERM lets a running stream end; the process then ends by itself.
func TestTermFinishesStreams(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processLimit)
	defer cancel()
	f := startProcesses(ctx, t)
	begun := f.stream(ctx, t, 0)
	events := sse.NewReader(begun.Body)
	got := &received{}
	got.read(t, events, 5)
	f.routers[0].signal(t, syscall.SIGTERM)
	got.read(t, events, frozenTokens+1)
	got.checkWhole(t)
	f.routers[0].find(ctx, t, func(line string) (string, bool) {
		return line, strings.Contains(line, "left, nothing was running")
	})
	must.NoError(t, f.routers[0].command.Wait())
}
