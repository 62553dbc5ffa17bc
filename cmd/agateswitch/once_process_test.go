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

const onceRouters = 4

// onceFleet is a fleet of processes before one plain service.
type onceFleet struct {
	team    string
	store   string
	service string
	// storeProcess and routers may be killed and stopped by tests.
	storeProcess *os.Process
	routers      []onceRouter

	mu sync.Mutex
	// told holds what callers were told, by key, in order.
	told map[string][]told
}

type onceRouter struct {
	id      fleet.HostID
	process *os.Process
	servingLine
}

// told is one answer to a caller.
type told struct {
	status int
	notRun string
	code   fleet.Code
	body   string
}

// launchUntil starts a process that the test stops or kills, and waits for a line.
func launchUntil(t *testing.T, take func(string) (string, bool), program string, args ...string) (*os.Process, string) {
	t.Helper()
	started := launch(t, program, args...)
	return started.command.Process, started.find(t.Context(), t, take)
}

func newOnceFleet(ctx context.Context, t *testing.T) *onceFleet {
	t.Helper()
	program := buildProgram(t)
	f := &onceFleet{told: map[string][]told{}}
	f.storeProcess, f.store = launchUntil(t, standinAddress, program, "standin", "store", "--listen", "127.0.0.1:0")
	hosts := start(t, standinAddress, program, "standin", "hosts", "--listen", "127.0.0.1:0")
	f.service = start(t, standinAddress, program, "standin", "service", "--id", "s1", "--pool", "rounds-app",
		"--datacentre", "arima", "--hosts", hosts)
	for i := range onceRouters {
		f.routers = append(f.routers, launchRouter(t, program, fmt.Sprint("arima-", i), f.store, hosts))
	}
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f.team = string(example.Contracts[0].Team)
	// The tests send faster than any caller may.
	example.Contracts[0].RequestsPerSecond, example.Contracts[0].Concurrency = 10_000, 0
	for _, router := range f.routers[1:] {
		configure(ctx, t, f.routers[0].Operators, router.Operators, example)
	}
	for _, router := range f.routers {
		// A router answers once it has seen the service on the host list.
		for f.call(ctx, t, router, http.MethodGet, "/visits", "").status != http.StatusOK {
		}
	}
	return f
}

func launchRouter(t *testing.T, program, id, store, hosts string) onceRouter {
	t.Helper()
	started, addresses := startRouter(t, program, id, "arima", store, hosts)
	return onceRouter{id: fleet.HostID(id), process: started.command.Process, servingLine: addresses}
}

// call makes one call; a key makes it non-idempotent. What the caller is told is kept.
func (f *onceFleet) call(ctx context.Context, t *testing.T, entry onceRouter, method, path, key string) told {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.Callers+"/rounds"+path, bytes.NewReader([]byte("visit")))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+examples.Key(fleet.Team(f.team)))
	if key != "" {
		request.Header.Set(callerhttp.HeaderIdempotencyKey, key)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return told{}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return told{}
	}
	heard := told{status: answer.StatusCode, body: string(body)}
	var refusal callerhttp.ErrorBody
	if json.Unmarshal(body, &refusal) == nil {
		heard.code, heard.notRun = refusal.Error.Code, refusal.Error.NotRun
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told[key] = append(f.told[key], heard)
	return heard
}

func (f *onceFleet) book(ctx context.Context, t *testing.T, entry onceRouter, key string) told {
	return f.call(ctx, t, entry, http.MethodPost, "/bookings", key)
}

// bookUntilAnswered resends a call until it gets the service's answer.
func (f *onceFleet) bookUntilAnswered(ctx context.Context, t *testing.T, entry onceRouter, key string) told {
	t.Helper()
	for ctx.Err() == nil {
		if heard := f.book(ctx, t, entry, key); heard.status == http.StatusOK {
			return heard
		}
	}
	t.Fatal("no answer")
	return told{}
}

// newKeyOf makes a key whose claim owner is at an index that fits, and returns the index.
func (f *onceFleet) newKeyOf(fits func(owner int) bool) (key string, owner int) {
	var ids []string
	for _, router := range f.routers {
		ids = append(ids, string(router.id))
	}
	for {
		key = uuid.Must(uuid.NewV7()).String()
		first, _ := rendezvous.First(coreclaim.ShardName(coreclaim.ShardOf(fleet.Team(f.team), key)), ids)
		if owner = slices.Index(ids, first); fits(owner) {
			return key, owner
		}
	}
}

func (f *onceFleet) put(t *testing.T, method, address, path string, value any) {
	t.Helper()
	body, err := json.Marshal(value)
	must.NoError(t, err)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	must.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	must.NoError(t, answer.Body.Close())
}

func (f *onceFleet) runs(t *testing.T) map[string]int {
	t.Helper()
	answer, err := http.Get("http://" + f.service + service.PathRuns)
	must.NoError(t, err)
	defer answer.Body.Close()
	var runs map[string]int
	must.NoError(t, json.NewDecoder(answer.Body).Decode(&runs))
	return runs
}

func (f *onceFleet) waitForRun(ctx context.Context, t *testing.T, key string) {
	t.Helper()
	for f.runs(t)[key] == 0 {
		must.NoError(t, ctx.Err(), must.Sprint("the call did not run"))
	}
}

// freeze stops a process until the returned function is called, or the test ends.
func freeze(t *testing.T, process *os.Process) (thaw func()) {
	t.Helper()
	must.NoError(t, process.Signal(syscall.SIGSTOP))
	// The signal is under way when kill returns; a process may act until its last thread
	// has stopped, which its parent is told of.
	var status syscall.WaitStatus
	_, err := syscall.Wait4(process.Pid, &status, syscall.WUNTRACED, nil)
	must.NoError(t, err)
	must.True(t, status.Stopped())
	thaw = func() { process.Signal(syscall.SIGCONT) }
	t.Cleanup(thaw)
	return thaw
}

// holdOne starts a call whose answer the service holds back. The function lets it go and
// returns what the caller was told.
func (f *onceFleet) holdOne(ctx context.Context, t *testing.T, entry onceRouter, key string) func() told {
	t.Helper()
	f.put(t, http.MethodPut, f.service, service.PathHold, nil)
	heard := make(chan told, 1)
	go func() { heard <- f.book(ctx, t, entry, key) }()
	f.waitForRun(ctx, t, key)
	return func() told {
		f.put(t, http.MethodDelete, f.service, service.PathHold, nil)
		return <-heard
	}
}

// check compares what callers were told with what the service ran.
func (f *onceFleet) check(t *testing.T) {
	t.Helper()
	runs := f.runs(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(f.told)) {
		if key == "" {
			continue
		}
		must.LessEq(t, 1, runs[key], must.Sprint(key, " ran more than once"))
		answer := ""
		for _, heard := range f.told[key] {
			ran := heard.status == http.StatusOK
			if ran {
				must.Eq(t, 1, runs[key], must.Sprint("an answer of a call that did not run"))
				must.True(t, answer == "" || answer == heard.body, must.Sprint("two answers of one call"))
				answer = heard.body
			}
			must.False(t, answer != "" && heard.notRun == "true", must.Sprint(key, " was said not to have run after its answer"))
		}
		last := f.told[key][len(f.told[key])-1]
		must.False(t, last.notRun == "true" && runs[key] > 0, must.Sprint(key, " ran, and the last word was not run"))
	}
}

// Calls that may not be repeated run once while routers and the store are killed, frozen
// and cut, and callers send them again to other entry hosts.
func TestNonIdempotentAcrossProcesses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*processLimit)
	defer cancel()
	f := newOnceFleet(ctx, t)

	t.Run("same key at all entries over lost answers of the store", func(t *testing.T) {
		f.put(t, http.MethodPut, f.store, store.PathFaults, store.Faults{LoseAnswers: 2, LoseRequests: 1, DoubleRequests: 1})
		key, _ := f.newKeyOf(func(int) bool { return true })
		var callers sync.WaitGroup
		for _, entry := range f.routers {
			callers.Go(func() { f.book(ctx, t, entry, key) })
		}
		callers.Wait()
		f.bookUntilAnswered(ctx, t, f.routers[0], key)
		f.check(t)
	})

	t.Run("store frozen", func(t *testing.T) {
		key, _ := f.newKeyOf(func(int) bool { return true })
		thaw := freeze(t, f.storeProcess)
		heard := f.book(ctx, t, f.routers[1], key)
		must.Eq(t, fleet.CodeStoreDown, heard.code, must.Sprint(heard))
		must.Eq(t, http.StatusOK, f.call(ctx, t, f.routers[1], http.MethodGet, "/visits", "").status)
		must.Zero(t, f.runs(t)[key])
		thaw()
		f.bookUntilAnswered(ctx, t, f.routers[2], key)
		f.check(t)
	})

	t.Run("holder frozen while it waits for the answer", func(t *testing.T) {
		key, _ := f.newKeyOf(func(owner int) bool { return owner != 3 })
		letGo := f.holdOne(ctx, t, f.routers[3], key)
		thaw := freeze(t, f.routers[3].process)
		must.Eq(t, fleet.CodeInProgress, f.book(ctx, t, f.routers[0], key).code)
		thaw()
		must.Eq(t, http.StatusOK, letGo().status)
		f.bookUntilAnswered(ctx, t, f.routers[1], key)
		f.check(t)
	})

	t.Run("owner frozen", func(t *testing.T) {
		key, owner := f.newKeyOf(func(owner int) bool { return owner != 0 })
		thaw := freeze(t, f.routers[owner].process)
		f.bookUntilAnswered(ctx, t, f.routers[0], key)
		thaw()
		f.bookUntilAnswered(ctx, t, f.routers[owner], key)
		f.check(t)
	})

	t.Run("owner killed while the call runs", func(t *testing.T) {
		key, owner := f.newKeyOf(func(owner int) bool { return owner == 3 })
		letGo := f.holdOne(ctx, t, f.routers[0], key)
		must.NoError(t, f.routers[owner].process.Kill())
		heard := f.book(ctx, t, f.routers[1], key)
		must.Eq(t, fleet.CodeInProgress, heard.code, must.Sprint(heard))
		must.Eq(t, http.StatusOK, letGo().status)
		f.bookUntilAnswered(ctx, t, f.routers[2], key)
		f.check(t)
	})

	t.Run("holder killed while the call runs", func(t *testing.T) {
		key, _ := f.newKeyOf(func(owner int) bool { return owner == 0 })
		letGo := f.holdOne(ctx, t, f.routers[2], key)
		must.NoError(t, f.routers[2].process.Kill())
		must.Eq(t, 0, letGo().status)
		for range 5 {
			heard := f.book(ctx, t, f.routers[1], key)
			must.Eq(t, "unknown", heard.notRun, must.Sprint(heard))
		}
		must.Eq(t, 1, f.runs(t)[key])
		f.check(t)
	})
}
