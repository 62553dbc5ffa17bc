package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"

	"agateswitch/adapter/callerhttp"
	coreclaim "agateswitch/core/claim"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/examples"
	"agateswitch/standin/service"
	"agateswitch/standin/store"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
)

const serviceRouterCount = 4

// serviceFleet is a fleet of router processes in front of one plain service.
type serviceFleet struct {
	team    string
	store   string
	service string
	// storeProcess and routers are processes that tests pause and kill.
	storeProcess *os.Process
	routers      []routerProcess

	mu sync.Mutex
	// results holds the results that callers received, by idempotency key and in order.
	results map[string][]callResult
}

// routerProcess is one router of the fleet with its addresses.
type routerProcess struct {
	id      fleet.HostID
	process *os.Process
	servingLine
}

// callResult is one answer to a caller. It is zero if the connection failed.
type callResult struct {
	status int
	notRun string
	code   fleet.Code
	body   string
}

// launchUntil starts a process that the test pauses or kills, and waits for a line of its output.
func launchUntil(t *testing.T, match func(string) (string, bool), program string, args ...string) (*os.Process, string) {
	t.Helper()
	started := launch(t, program, args...)
	return started.command.Process, started.waitForLine(t.Context(), t, match)
}

func newServiceFleet(ctx context.Context, t *testing.T) *serviceFleet {
	t.Helper()
	program := buildProgram(t)
	f := &serviceFleet{results: map[string][]callResult{}}
	f.storeProcess, f.store = launchUntil(t, matchStandinAddress, program, "standin", "store", "--listen", "127.0.0.1:0")
	hosts := startAndFind(t, matchStandinAddress, program, "standin", "hosts", "--listen", "127.0.0.1:0")
	f.service = startAndFind(t, matchStandinAddress, program, "standin", "service", "--id", "s1", "--pool", "rounds-app",
		"--datacentre", "arima", "--hosts", hosts)
	for i := range serviceRouterCount {
		f.routers = append(f.routers, launchRouter(t, program, fmt.Sprint("arima-", i), f.store, hosts))
	}
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f.team = string(example.Contracts[0].Team)
	// The tests exceed the request rate and the concurrency of the example's contract.
	example.Contracts[0].RequestsPerSecond, example.Contracts[0].Concurrency = 10_000, 0
	for _, router := range f.routers[1:] {
		configure(ctx, t, f.routers[0].Operators, router.Operators, example)
	}
	for _, router := range f.routers {
		// A router refuses calls until it has read the service from the host list.
		for f.call(ctx, t, router, http.MethodGet, "/visits", "").status != http.StatusOK {
		}
	}
	return f
}

func launchRouter(t *testing.T, program, id, store, hosts string) routerProcess {
	t.Helper()
	started, addresses := startRouter(t, program, id, "arima", store, hosts)
	return routerProcess{id: fleet.HostID(id), process: started.command.Process, servingLine: addresses}
}

// call makes one call, which is non-idempotent if it has a key, and records its result.
func (f *serviceFleet) call(ctx context.Context, t *testing.T, entry routerProcess, method, path, key string) callResult {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.Callers+"/rounds"+path, bytes.NewReader([]byte("visit")))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+examples.Key(fleet.Team(f.team)))
	if key != "" {
		request.Header.Set(callerhttp.HeaderIdempotencyKey, key)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return callResult{}
	}
	result := callResult{status: answer.StatusCode, body: string(body)}
	var refusal callerhttp.ErrorBody
	if json.Unmarshal(body, &refusal) == nil {
		result.code, result.notRun = refusal.Error.Code, refusal.Error.NotRun
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results[key] = append(f.results[key], result)
	return result
}

func (f *serviceFleet) book(ctx context.Context, t *testing.T, entry routerProcess, key string) callResult {
	return f.call(ctx, t, entry, http.MethodPost, "/bookings", key)
}

// bookUntilAnswered resends a call until it gets the service's answer.
func (f *serviceFleet) bookUntilAnswered(ctx context.Context, t *testing.T, entry routerProcess, key string) callResult {
	t.Helper()
	for ctx.Err() == nil {
		if result := f.book(ctx, t, entry, key); result.status == http.StatusOK {
			return result
		}
	}
	t.Fatal("timed out waiting for the service's answer")
	return callResult{}
}

// newKeyOwnedBy returns a new key whose claim owner has an index in routers that is accepted, and
// that index.
func (f *serviceFleet) newKeyOwnedBy(accept func(owner int) bool) (key string, owner int) {
	var ids []string
	for _, router := range f.routers {
		ids = append(ids, string(router.id))
	}
	for {
		key = uuid.Must(uuid.NewV7()).String()
		first, _ := rendezvous.First(coreclaim.ShardName(coreclaim.ShardOf(fleet.Team(f.team), key)), ids)
		if owner = slices.Index(ids, first); accept(owner) {
			return key, owner
		}
	}
}

// send sends a request to a stand-in.
func (f *serviceFleet) send(t *testing.T, method, address, path string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	must.NoError(t, err)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	must.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	must.NoError(t, answer.Body.Close())
}

// runs returns how often the service has run each key.
func (f *serviceFleet) runs(t *testing.T) map[string]int {
	t.Helper()
	answer, err := http.Get("http://" + f.service + service.PathRuns)
	must.NoError(t, err)
	defer answer.Body.Close()
	var runs map[string]int
	must.NoError(t, json.NewDecoder(answer.Body).Decode(&runs))
	return runs
}

func (f *serviceFleet) waitForRun(ctx context.Context, t *testing.T, key string) {
	t.Helper()
	for f.runs(t)[key] == 0 {
		must.NoError(t, ctx.Err(), must.Sprint("the call did not run"))
	}
}

// pause suspends a process until the returned function is called or the test ends.
func pause(t *testing.T, process *os.Process) (resume func()) {
	t.Helper()
	must.NoError(t, process.Signal(syscall.SIGSTOP))
	// The signal is still pending when kill returns, and threads may run until it is delivered to
	// all. The parent's wait returns once the last thread has stopped.
	var status syscall.WaitStatus
	_, err := syscall.Wait4(process.Pid, &status, syscall.WUNTRACED, nil)
	must.NoError(t, err)
	must.True(t, status.Stopped())
	resume = func() { process.Signal(syscall.SIGCONT) }
	t.Cleanup(resume)
	return resume
}

// startHeldCall starts a call whose answer the service withholds. The returned function releases
// the answer and returns the caller's result.
func (f *serviceFleet) startHeldCall(ctx context.Context, t *testing.T, entry routerProcess, key string) func() callResult {
	t.Helper()
	f.send(t, http.MethodPut, f.service, service.PathHold, nil)
	result := make(chan callResult, 1)
	go func() { result <- f.book(ctx, t, entry, key) }()
	f.waitForRun(ctx, t, key)
	return func() callResult {
		f.send(t, http.MethodDelete, f.service, service.PathHold, nil)
		return <-result
	}
}

// check compares the results of all callers with the calls that the service has run.
func (f *serviceFleet) check(t *testing.T) {
	t.Helper()
	runs := f.runs(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(f.results)) {
		if key == "" {
			continue
		}
		must.LessEq(t, 1, runs[key], must.Sprint(key, " ran more than once"))
		answer := ""
		for _, result := range f.results[key] {
			ran := result.status == http.StatusOK
			if ran {
				must.Eq(t, 1, runs[key], must.Sprint("the caller got an answer to a call that did not run"))
				must.True(t, answer == "" || answer == result.body, must.Sprint("the caller got two different answers to one call"))
				answer = result.body
			}
			must.False(t, answer != "" && result.notRun == "true", must.Sprint(key, " was reported as not run after it had been answered"))
		}
		last := f.results[key][len(f.results[key])-1]
		must.False(t, last.notRun == "true" && runs[key] > 0, must.Sprint(key, " ran, but its last result reports that it did not run"))
	}
}

// Non-idempotent calls run at most once while routers are killed or paused, the store is paused or
// loses requests and answers, and callers resend their calls to other entry hosts.
func TestNonIdempotentAcrossProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*processTimeout)
	defer cancel()
	f := newServiceFleet(ctx, t)

	t.Run("same key at all entries over lost answers of the store", func(t *testing.T) {
		f.send(t, http.MethodPut, f.store, store.PathFaults, store.Faults{LoseAnswers: 2, LoseRequests: 1, DoubleRequests: 1})
		key, _ := f.newKeyOwnedBy(func(int) bool { return true })
		var callers sync.WaitGroup
		for _, entry := range f.routers {
			callers.Go(func() { f.book(ctx, t, entry, key) })
		}
		callers.Wait()
		f.bookUntilAnswered(ctx, t, f.routers[0], key)
		f.check(t)
	})

	t.Run("store frozen", func(t *testing.T) {
		key, _ := f.newKeyOwnedBy(func(int) bool { return true })
		resume := pause(t, f.storeProcess)
		result := f.book(ctx, t, f.routers[1], key)
		must.Eq(t, fleet.CodeStoreDown, result.code, must.Sprint(result))
		must.Eq(t, http.StatusOK, f.call(ctx, t, f.routers[1], http.MethodGet, "/visits", "").status)
		must.Zero(t, f.runs(t)[key])
		resume()
		f.bookUntilAnswered(ctx, t, f.routers[2], key)
		f.check(t)
	})

	t.Run("holder frozen while it waits for the answer", func(t *testing.T) {
		key, _ := f.newKeyOwnedBy(func(owner int) bool { return owner != 3 })
		releaseAnswer := f.startHeldCall(ctx, t, f.routers[3], key)
		resume := pause(t, f.routers[3].process)
		must.Eq(t, fleet.CodeInProgress, f.book(ctx, t, f.routers[0], key).code)
		resume()
		must.Eq(t, http.StatusOK, releaseAnswer().status)
		f.bookUntilAnswered(ctx, t, f.routers[1], key)
		f.check(t)
	})

	t.Run("owner frozen", func(t *testing.T) {
		key, owner := f.newKeyOwnedBy(func(owner int) bool { return owner != 0 })
		resume := pause(t, f.routers[owner].process)
		f.bookUntilAnswered(ctx, t, f.routers[0], key)
		resume()
		f.bookUntilAnswered(ctx, t, f.routers[owner], key)
		f.check(t)
	})

	t.Run("owner killed while the call runs", func(t *testing.T) {
		key, owner := f.newKeyOwnedBy(func(owner int) bool { return owner == 3 })
		releaseAnswer := f.startHeldCall(ctx, t, f.routers[0], key)
		must.NoError(t, f.routers[owner].process.Kill())
		result := f.book(ctx, t, f.routers[1], key)
		must.Eq(t, fleet.CodeInProgress, result.code, must.Sprint(result))
		must.Eq(t, http.StatusOK, releaseAnswer().status)
		f.bookUntilAnswered(ctx, t, f.routers[2], key)
		f.check(t)
	})

	t.Run("holder killed while the call runs", func(t *testing.T) {
		key, _ := f.newKeyOwnedBy(func(owner int) bool { return owner == 0 })
		releaseAnswer := f.startHeldCall(ctx, t, f.routers[2], key)
		must.NoError(t, f.routers[2].process.Kill())
		must.Eq(t, 0, releaseAnswer().status)
		for range 5 {
			result := f.book(ctx, t, f.routers[1], key)
			must.Eq(t, "unknown", result.notRun, must.Sprint(result))
		}
		must.Eq(t, 1, f.runs(t)[key])
		f.check(t)
	})
}
