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
	// engineLimit is how many requests an owner lets an engine run.
	engineLimit    = 4
	ownerEngines   = 2
	ownerCallers   = 2 * (2*engineLimit + 4)
	answerTokens   = 8
	answerInterval = 5 * time.Millisecond
	answersBefore  = 2 * ownerCallers
	answersAfter   = 4 * ownerCallers
)

var ownerRouters = []string{"arima-1", "arima-2", "arima-3"}

// countedEngine counts the answers that an engine has not finished.
type countedEngine struct {
	*engine.Engine
	mu            sync.Mutex
	running, most int
}

func (e *countedEngine) add(change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += change
	e.most = max(e.most, e.running)
}

func (e *countedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && !strings.HasSuffix(r.URL.Path, "/cancel") {
		e.add(1)
		ended := sync.OnceFunc(func() { e.add(-1) })
		defer ended()
		w = endWriter{ResponseWriter: w, ended: ended}
	}
	e.Engine.ServeHTTP(w, r)
}

// endWriter tells of an answer's end before its reader can know it.
type endWriter struct {
	http.ResponseWriter
	ended func()
}

func (w endWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w endWriter) Write(piece []byte) (int, error) {
	if bytes.Contains(piece, []byte(sse.Done)) {
		w.ended()
	}
	return w.ResponseWriter.Write(piece)
}

// ownerFleet is three routers that reach each other over relays.
type ownerFleet struct {
	testFleet
	engines []*countedEngine
	byID    map[fleet.HostID]*running
	relays  map[fleet.HostID]*relay
}

func listen(t *testing.T) (router.Listeners, addresses) {
	t.Helper()
	open, err := router.Listen(settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"})
	must.NoError(t, err)
	return open, addresses{
		callers: open.Callers.Addr().String(), operators: open.Operators.Addr().String(), peers: open.Peers.Addr().String(),
	}
}

// startOwnerFleet starts the routers in the test's process, but for the one named process,
// if any, which gets its own.
func startOwnerFleet(t *testing.T, process fleet.HostID, limit func(*configuration.Contract)) *ownerFleet {
	t.Helper()
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f := &ownerFleet{byID: map[fleet.HostID]*running{}, relays: map[fleet.HostID]*relay{}}
	f.team = example.Contracts[0].Team
	list := hosts.New()
	platform := settings.Platform{Store: serve(t, store.New()), Hosts: serve(t, list)}
	for i := range ownerEngines {
		f.addEngine(t, list, fmt.Sprintf("e%d", i))
	}
	served := map[fleet.HostID]addresses{}
	listeners := map[fleet.HostID]router.Listeners{}
	var operators []string
	for _, name := range ownerRouters {
		id := fleet.HostID(name)
		if id == process {
			f.byID[id], served[id] = startProcess(t, id, platform)
		} else {
			listeners[id], served[id] = listen(t)
		}
		operators = append(operators, served[id].operators)
		f.relays[id] = startRelay(t, served[id].peers)
		list.Put(hostlist.TargetGroup{Targets: []string{served[id].callers}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleRouter, hostlist.LabelID: name, hostlist.LabelDataCentre: "arima",
			hostlist.LabelPeer: f.relays[id].listener.Addr().String(),
		}})
	}
	// All routers are on the list before these start, so that they begin with one view.
	for id, open := range listeners {
		f.byID[id] = startRouter(t, open, settings.Settings{
			Host:     settings.Host{ID: id, DataCentre: "arima", Region: "tt-north"},
			Platform: platform, OperatorToken: operatorToken,
			ResumeKeys: []string{"router-test-resume-key-of-32-characters"},
			PeerKey:    "router-test-peer-key-of-32-characters",
		})
	}
	for i := range example.Pools {
		example.Pools[i].MaxConcurrency, example.Pools[i].ColdConcurrency = engineLimit, 2
	}
	f.configure(t, operators, example)
	f.limit(t, operators, example.Contracts[0], limit)
	return f
}

func (f *ownerFleet) addEngine(t *testing.T, list *hosts.Server, id string) {
	t.Helper()
	e := &countedEngine{Engine: engine.New(engine.Options{ID: id, TokenInterval: answerInterval})}
	f.engines = append(f.engines, e)
	list.Put(hostlist.TargetGroup{Targets: []string{serve(t, e)}, Labels: map[string]string{
		hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: id, hostlist.LabelPool: model,
		hostlist.LabelDataCentre: "arima", hostlist.LabelVersion: "1",
	}})
}

// limit changes the team's contract, and waits until every router knows it.
func (f *ownerFleet) limit(t *testing.T, operators []string, contract configuration.Contract, change func(*configuration.Contract)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventLimit)
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

var placedBy = regexp.MustCompile(`placed .*owner=(\S+)`)

// ownerSeen returns the owner of a router's last grant.
func (r *running) ownerSeen(t *testing.T) fleet.HostID {
	t.Helper()
	found := placedBy.FindAllStringSubmatch(r.log.String(), -1)
	must.SliceNotEmpty(t, found)
	return fleet.HostID(found[len(found)-1][1])
}

// shardOwner asks all routers until they name one owner.
func (f *ownerFleet) shardOwner(t *testing.T) fleet.HostID {
	t.Helper()
	limit := eventDeadline(t)
	for {
		must.NoError(t, limit.Err(), must.Sprint("the routers name several owners"))
		seen := map[fleet.HostID]bool{}
		var owner fleet.HostID
		for _, r := range f.byID {
			answer := f.stream(t, r.callers, 1)
			_, _, done := readEvents(t, sse.NewReader(answer.Body), 2)
			must.True(t, done)
			owner = r.ownerSeen(t)
			seen[owner] = true
		}
		if len(seen) == 1 {
			return owner
		}
	}
}

// traffic is callers that ask one after the other, over the routers that stay.
type traffic struct {
	asking sync.WaitGroup
	stop   chan struct{}
	// end stops the callers and waits for them.
	end   func()
	whole map[*running]chan struct{}
	// before is how long a router's log was at the start.
	before map[*running]int
}

// start begins the traffic. A caller ends at a wrong answer or at stop.
func (f *ownerFleet) start(t *testing.T, lost fleet.HostID) *traffic {
	load := &traffic{stop: make(chan struct{}), whole: map[*running]chan struct{}{}, before: map[*running]int{}}
	load.end = sync.OnceFunc(func() { close(load.stop); load.asking.Wait() })
	t.Cleanup(load.end)
	for id, r := range f.byID {
		if id == lost {
			continue
		}
		whole := make(chan struct{}, 1<<16)
		load.whole[r], load.before[r] = whole, len(r.log.String())
		for caller := range ownerCallers / 2 {
			load.asking.Go(func() {
				for turn := 0; ; turn++ {
					select {
					case <-load.stop:
						return
					default:
					}
					ran, err := f.ask(r.callers, fmt.Sprintf("%s-%d-%d", id, caller, turn))
					if err != nil {
						t.Errorf("answer over %s: %v", id, err)
						return
					}
					if !ran {
						continue
					}
					select {
					case whole <- struct{}{}:
					case <-load.stop:
						return
					}
				}
			})
		}
	}
	return load
}

// wait returns when each staying router has brought a number of complete answers more.
func (l *traffic) wait(t *testing.T, count int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventLimit)
	defer cancel()
	for r, whole := range l.whole {
		for len(whole) > 0 {
			<-whole
		}
		for range count / 2 {
			select {
			case <-whole:
			case <-ctx.Done():
				log := r.log.String()
				t.Fatal("the answers did not come; the router's log ends with\n" + log[max(0, len(log)-8<<10):])
			}
		}
	}
}

// ask returns true for a complete answer, false for a refusal, and an error for anything else.
func (f *ownerFleet) ask(address, prompt string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventLimit)
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
	return true, checkWhole(sse.NewReader(answer.Body), prompt)
}

// checkRefusal passes a refusal that says not run and when to come back.
func checkRefusal(answer *http.Response) error {
	isRefusal := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	if !isRefusal || answer.Header.Get("Retry-After") == "" {
		return fmt.Errorf("status %d, headers %v", answer.StatusCode, answer.Header)
	}
	return nil
}

func checkWhole(events *sse.Reader, prompt string) error {
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

// finish ends the traffic, and checks what the engines ran.
func (f *ownerFleet) finish(t *testing.T, load *traffic) {
	t.Helper()
	load.end()
	var logs string
	owners := map[string]bool{}
	for r, before := range load.before {
		logs += r.log.String()
		for _, found := range placedBy.FindAllStringSubmatch(r.log.String()[before:], -1) {
			owners[found[1]] = true
		}
	}
	runs := map[string]int{}
	for i, e := range f.engines {
		for id, count := range e.Runs() {
			runs[id] += count
		}
		e.mu.Lock()
		most := e.most
		e.mu.Unlock()
		t.Logf("engine %d ran at most %d", i, most)
		// Each owner lets it run engineLimit, and need not have read a report of what
		// another granted (see core/placement, "Two owners").
		must.LessEq(t, len(owners)*engineLimit, most, must.Sprint(owners))
	}
	for id, count := range runs {
		if count > 1 {
			must.StrContains(t, logs, "retry request="+id, must.Sprintf("%s ran %d times", id, count))
		}
	}
}

// The shard owner is killed, its link is cut or goes silent: the chats of the routers that
// stay go on under another owner, also when the link comes back.
func TestShardOwnerIsLost(t *testing.T) {
	losses := map[string]func(*ownerFleet, fleet.HostID){
		"killed": func(f *ownerFleet, owner fleet.HostID) {
			f.byID[owner].force()
			<-f.byID[owner].ended
		},
		"cut":    func(f *ownerFleet, owner fleet.HostID) { f.relays[owner].set(linkCut) },
		"silent": func(f *ownerFleet, owner fleet.HostID) { f.relays[owner].set(linkSilent) },
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			f := startOwnerFleet(t, "", func(*configuration.Contract) {})
			owner := f.shardOwner(t)
			load := f.start(t, owner)
			load.wait(t, answersBefore)
			lose(f, owner)
			load.wait(t, answersAfter)
			for r := range load.whole {
				must.NotEq(t, owner, r.ownerSeen(t))
			}
			f.relays[owner].set(linkUp)
			load.wait(t, answersAfter)
			f.finish(t, load)
		})
	}
}

// The router that keeps a team's budget is killed: the team goes on with the others.
func TestBudgetOwnerIsKilled(t *testing.T) {
	f := startOwnerFleet(t, "", func(contract *configuration.Contract) {
		contract.RequestsPerSecond, contract.Burst, contract.Concurrency = 400, 100, 2*engineLimit
	})
	owner, _ := rendezvous.First("team/"+string(f.team), ownerRouters)
	lost := fleet.HostID(owner)
	load := f.start(t, lost)
	load.wait(t, answersBefore)
	f.byID[lost].force()
	<-f.byID[lost].ended
	load.wait(t, answersAfter)
	f.finish(t, load)
}
