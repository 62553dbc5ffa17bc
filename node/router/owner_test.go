package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"agateswitch/adapter/hostlist"
	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/examples"
	"agateswitch/node/router"
	"agateswitch/settings"
	"agateswitch/sse"
	"agateswitch/standin/engine"
	"agateswitch/standin/hosts"
	"agateswitch/standin/store"

	"github.com/shoenig/test/must"
)

const (
	// maxEngineConcurrency is the number of requests that a shard owner grants on one engine.
	maxEngineConcurrency = 4
	engineCount          = 2
	callerCount          = 2 * (2*maxEngineConcurrency + 4)
	answerTokens         = 8
	answerInterval       = 5 * time.Millisecond
	answersBeforeLoss    = 2 * callerCount
	answersAfterLoss     = 4 * callerCount
)

var routerIDs = []string{"arima-1", "arima-2", "arima-3"}

// countedEngine counts the engine's unfinished answers, and records the maximum.
type countedEngine struct {
	*engine.Engine
	mu                  sync.Mutex
	running, maxRunning int
}

func (e *countedEngine) add(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += change
	e.maxRunning = max(e.maxRunning, e.running)
}

func (e *countedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && !strings.HasSuffix(r.URL.Path, "/cancel") {
		e.add(1)
		onDone := sync.OnceFunc(func() { e.add(-1) })
		defer onDone()
		w = doneWriter{ResponseWriter: w, onDone: onDone}
	}
	e.Engine.ServeHTTP(w, r)
}

// doneWriter calls onDone before it writes the end of an answer, so that the count drops before the
// reader receives that end.
type doneWriter struct {
	http.ResponseWriter
	onDone func()
}

func (w doneWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w doneWriter) Write(data []byte) (int, error) {
	if bytes.Contains(data, []byte(sse.Done)) {
		w.onDone()
	}
	return w.ResponseWriter.Write(data)
}

// proxiedFleet is three routers that reach each other through link proxies.
type proxiedFleet struct {
	testFleet
	engines []*countedEngine
	byID    map[fleet.HostID]*testRouter
	links   map[fleet.HostID]*linkProxy
}

func listen(t *testing.T) (router.Listeners, addresses) {
	t.Helper()
	open, err := router.Listen(settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"})
	must.NoError(t, err)
	return open, addresses{
		callers: open.Callers.Addr().String(), operators: open.Operators.Addr().String(), peers: open.Peers.Addr().String(),
	}
}

// startProxiedFleet starts the routers in the test's process, except the one with the id processID,
// if set, which runs as a process of its own.
func startProxiedFleet(t *testing.T, processID fleet.HostID, changeContract func(*configuration.Contract)) *proxiedFleet {
	t.Helper()
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f := &proxiedFleet{byID: map[fleet.HostID]*testRouter{}, links: map[fleet.HostID]*linkProxy{}}
	f.team = example.Contracts[0].Team
	hostList := hosts.New()
	platform := settings.Platform{Store: serve(t, store.New()), Hosts: serve(t, hostList)}
	for i := range engineCount {
		f.addEngine(t, hostList, fmt.Sprintf("e%d", i))
	}
	routerAddresses := map[fleet.HostID]addresses{}
	listeners := map[fleet.HostID]router.Listeners{}
	var operators []string
	for _, name := range routerIDs {
		id := fleet.HostID(name)
		if id == processID {
			f.byID[id], routerAddresses[id] = startProcess(t, id, platform)
		} else {
			listeners[id], routerAddresses[id] = listen(t)
		}
		operators = append(operators, routerAddresses[id].operators)
		f.links[id] = startLinkProxy(t, routerAddresses[id].peers)
		hostList.Put(hostlist.TargetGroup{Targets: []string{routerAddresses[id].callers}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleRouter, hostlist.LabelID: name, hostlist.LabelDataCentre: "arima",
			hostlist.LabelPeer: f.links[id].listener.Addr().String(),
		}})
	}
	// All routers are on the host list before these start, so that they start with the same view.
	for id, open := range listeners {
		f.byID[id] = startRouter(t, open, settings.Settings{
			Host:     settings.Host{ID: id, DataCentre: "arima", Region: "tt-north"},
			Platform: platform, OperatorToken: operatorToken,
			ResumeKeys: []string{"router-test-resume-key-of-32-characters"},
			PeerKey:    "router-test-peer-key-of-32-characters",
		})
	}
	for i := range example.Pools {
		example.Pools[i].MaxConcurrency, example.Pools[i].ColdConcurrency = maxEngineConcurrency, 2
	}
	f.configure(t, operators, example)
	f.changeContract(t, operators, example.Contracts[0], changeContract)
	return f
}

func (f *proxiedFleet) addEngine(t *testing.T, hostList *hosts.Server, id string) {
	t.Helper()
	e := &countedEngine{Engine: engine.New(engine.Options{ID: id, TokenInterval: answerInterval})}
	f.engines = append(f.engines, e)
	hostList.Put(hostlist.TargetGroup{Targets: []string{serve(t, e)}, Labels: map[string]string{
		hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: id, hostlist.LabelPool: model,
		hostlist.LabelDataCentre: "arima", hostlist.LabelVersion: "1",
	}})
}

// changeContract changes the team's contract, and waits until it is in force on every router.
func (f *proxiedFleet) changeContract(t *testing.T, operators []string, contract configuration.Contract, change func(*configuration.Contract)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	contract.RequestsPerSecond, contract.Burst, contract.Concurrency = 1e6, 1e6, 0
	change(&contract)
	encoded, err := json.Marshal(contract)
	must.NoError(t, err)
	accepted, err := operatorclient.New(operators[0], operatorToken).Put(ctx,
		configuration.Key{Kind: configuration.KindContract, Name: string(f.team)}, encoded, operatorclient.ChangeOptions{})
	must.NoError(t, err)
	for _, address := range operators {
		must.NoError(t, operatorclient.New(address, operatorToken).WaitFor(ctx, accepted.Revision))
	}
}

var grantOwnerPattern = regexp.MustCompile(`request placed on an upstream .*owner=(\S+)`)

// lastGrantOwner returns the shard owner that issued the router's last grant, read from its log.
func (r *testRouter) lastGrantOwner(t *testing.T) fleet.HostID {
	t.Helper()
	found := grantOwnerPattern.FindAllStringSubmatch(r.log.String(), -1)
	must.SliceNotEmpty(t, found)
	return fleet.HostID(found[len(found)-1][1])
}

// shardOwner sends requests through all routers until all get their grants from one owner.
func (f *proxiedFleet) shardOwner(t *testing.T) fleet.HostID {
	t.Helper()
	deadline := eventDeadline(t)
	for {
		must.NoError(t, deadline.Err(), must.Sprint("the routers get grants from several owners"))
		seen := map[fleet.HostID]bool{}
		var owner fleet.HostID
		for _, r := range f.byID {
			answer := f.stream(t, r.callers, 1)
			_, _, done := readEvents(t, sse.NewReader(answer.Body), 2)
			must.True(t, done)
			owner = r.lastGrantOwner(t)
			seen[owner] = true
		}
		if len(seen) == 1 {
			return owner
		}
	}
}

// traffic is a set of callers, each of which sends one request after the other to a router that
// stays up.
type traffic struct {
	callers sync.WaitGroup
	stop    chan struct{}
	// stopAndWait stops the callers and waits until they have returned.
	stopAndWait func()
	// complete holds a channel for each router, which receives a value for each complete answer.
	complete map[*testRouter]chan struct{}
	// logStart is the length of each router's log at the start of the traffic.
	logStart map[*testRouter]int
}

// startTraffic starts the callers of all routers but the excluded one. A caller stops after an
// answer that is neither complete nor a refusal, or when the traffic is stopped.
func (f *proxiedFleet) startTraffic(t *testing.T, excluded fleet.HostID) *traffic {
	load := &traffic{stop: make(chan struct{}), complete: map[*testRouter]chan struct{}{}, logStart: map[*testRouter]int{}}
	load.stopAndWait = sync.OnceFunc(func() { close(load.stop); load.callers.Wait() })
	t.Cleanup(load.stopAndWait)
	for id, r := range f.byID {
		if id == excluded {
			continue
		}
		complete := make(chan struct{}, 1<<16)
		load.complete[r], load.logStart[r] = complete, len(r.log.String())
		for caller := range callerCount / 2 {
			load.callers.Go(func() {
				for turn := 0; ; turn++ {
					select {
					case <-load.stop:
						return
					default:
					}
					answered, err := f.sendChat(r.callers, fmt.Sprintf("%s-%d-%d", id, caller, turn))
					if err != nil {
						t.Errorf("answer over %s: %v", id, err)
						return
					}
					if !answered {
						continue
					}
					select {
					case complete <- struct{}{}:
					case <-load.stop:
						return
					}
				}
			})
		}
	}
	return load
}

// awaitAnswers waits until each router with callers has delivered count/2 more complete answers.
func (l *traffic) awaitAnswers(t *testing.T, count int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
	defer cancel()
	for r, complete := range l.complete {
		for len(complete) > 0 {
			<-complete
		}
		for range count / 2 {
			select {
			case <-complete:
			case <-ctx.Done():
				log := r.log.String()
				t.Fatal("timed out waiting for complete answers; the router's log ends with\n" + log[max(0, len(log)-8<<10):])
			}
		}
	}
}

// sendChat sends one chat request. It returns true for a complete answer, false for a refusal, and
// an error otherwise.
func (f *proxiedFleet) sendChat(address, prompt string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": answerTokens, "prompt_cache_key": prompt,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Header.Set("Authorization", "Bearer demo-"+string(f.team))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return false, checkRefusal(answer)
	}
	return true, checkComplete(sse.NewReader(answer.Body), prompt)
}

// checkRefusal returns an error unless the answer is a refusal with a status that means not run and
// a Retry-After header.
func checkRefusal(answer *http.Response) error {
	isRefusal := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	if !isRefusal || answer.Header.Get("Retry-After") == "" {
		return fmt.Errorf("status %d, headers %v", answer.StatusCode, answer.Header)
	}
	return nil
}

// checkComplete reads a stream to its end, and returns an error unless its text is the complete
// answer to the prompt.
func checkComplete(events *sse.Reader, prompt string) error {
	var text string
	for {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if event.IsDone() {
			break
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) != 1 {
			return fmt.Errorf("event %q: %s", event.Name, event.Data)
		}
		text += chunk.Choices[0].Delta.Content
	}
	if text != strings.Join(engine.Tokens(prompt, answerTokens), "") {
		return fmt.Errorf("the answer to %q is %q", prompt, text)
	}
	return nil
}

// checkRuns stops the traffic, and checks that no engine exceeded its concurrency and that requests
// that ran more than once were logged as retries.
func (f *proxiedFleet) checkRuns(t *testing.T, load *traffic) {
	t.Helper()
	load.stopAndWait()
	var logs string
	owners := map[string]bool{}
	for r, logStart := range load.logStart {
		logs += r.log.String()
		for _, found := range grantOwnerPattern.FindAllStringSubmatch(r.log.String()[logStart:], -1) {
			owners[found[1]] = true
		}
	}
	runs := map[string]int{}
	for i, e := range f.engines {
		for id, count := range e.Runs() {
			runs[id] += count
		}
		e.mu.Lock()
		maxRunning := e.maxRunning
		e.mu.Unlock()
		t.Logf("engine %d ran at most %d", i, maxRunning)
		// Each owner grants up to maxEngineConcurrency on an engine, and may not have read a report
		// that includes the grants of another owner (see core/placement, "Two owners").
		must.LessEq(t, len(owners)*maxEngineConcurrency, maxRunning, must.Sprint(owners))
	}
	for id, count := range runs {
		if count > 1 {
			must.StrContains(t, logs, "retry request="+id, must.Sprintf("%s ran %d times", id, count))
		}
	}
}

// The shard owner is killed, or its link is closed or stalls. The other routers continue to
// complete chats under another owner, also after the link is restored.
func TestShardOwnerIsLost(t *testing.T) {
	faults := map[string]func(*proxiedFleet, fleet.HostID){
		"killed": func(f *proxiedFleet, owner fleet.HostID) {
			f.byID[owner].forceStop()
			<-f.byID[owner].ended
		},
		"cut":    func(f *proxiedFleet, owner fleet.HostID) { f.links[owner].setState(linkClosed) },
		"silent": func(f *proxiedFleet, owner fleet.HostID) { f.links[owner].setState(linkStalled) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			f := startProxiedFleet(t, "", func(*configuration.Contract) {})
			owner := f.shardOwner(t)
			load := f.startTraffic(t, owner)
			load.awaitAnswers(t, answersBeforeLoss)
			inject(f, owner)
			load.awaitAnswers(t, answersAfterLoss)
			for r := range load.complete {
				must.NotEq(t, owner, r.lastGrantOwner(t))
			}
			f.links[owner].setState(linkUp)
			load.awaitAnswers(t, answersAfterLoss)
			f.checkRuns(t, load)
		})
	}
}

// The router that owns a team's budget is killed. The team's requests continue to complete on the
// other routers.
func TestBudgetOwnerIsKilled(t *testing.T) {
	f := startProxiedFleet(t, "", func(contract *configuration.Contract) {
		contract.RequestsPerSecond, contract.Burst, contract.Concurrency = 400, 100, 2*maxEngineConcurrency
	})
	owner, _ := rendezvous.First("team/"+string(f.team), routerIDs)
	lost := fleet.HostID(owner)
	load := f.startTraffic(t, lost)
	load.awaitAnswers(t, answersBeforeLoss)
	f.byID[lost].forceStop()
	<-f.byID[lost].ended
	load.awaitAnswers(t, answersAfterLoss)
	f.checkRuns(t, load)
}
