// Command 14 plays clients of one team whose prompts have very many short parts, and checks that requests of another team are answered
// by the time-out of their route.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/review/11/rig"
)

const (
	routerCount = 3
	// perSecond is how many requests the clients of team one send, over so many connections, and playTime for how long.
	perSecond = 400
	clients   = 64
	playTime  = 45 * time.Second
	// prefixBytes is the length of a prompt's list of parts. With the other headers, it stays below the 16,384 bytes that are allowed.
	prefixBytes = 15_500
	// ordinaryClients send a request each every ordinaryInterval.
	ordinaryClients  = 10
	ordinaryInterval = 500 * time.Millisecond
	// timeout is the time-out of the ordinary requests' route, and deadline how long their requesters wait. Half a second after the
	// time-out, more than half of those that were unanswered at it must have an answer; fewer than enough say nothing.
	timeout, deadline = 1500 * time.Millisecond, 3 * time.Second
	lateAfter         = 500 * time.Millisecond
	enough            = 8

	abuserKey, ordinaryKey = "key-of-team-one", "key-of-team-two"
)

// send sends a request and returns its status, or 0 if there was no answer.
func send(client *http.Client, router *rig.Router, path, id, key, prefix string, wait time.Duration) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.Front+path, strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Host = rig.Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if prefix != "" {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Usage", "1500,80")
		request.Header.Set("Prompt-Prefix", prefix)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// prompt lists the parts of the prompt of request i.
func prompt(i int64, bytes int) string {
	var list strings.Builder
	for part := 0; part < 3 || list.Len() < bytes; part++ {
		fmt.Fprintf(&list, "%x:1,", i*4096+int64(part))
	}
	return list.String() + "f:1"
}

func main() {
	r := rig.New("review/14")
	for i := range 3 {
		engine := &rig.Engine{ID: fmt.Sprintf("lm-%d", i), Events: 2, Interval: time.Millisecond, Forgets: true}
		r.Register(engine.ID, "lm", "arima", "v1", r.Serve(engine), "ready", int64(1000+i), 1, 64)
		plain := &rig.Engine{ID: fmt.Sprintf("app-%d", i), Interval: 20 * time.Millisecond, Forgets: true}
		r.Register(plain.ID, "app", "arima", "v1", r.Serve(plain), "ready", int64(2000+i), 1, 6)
	}
	r.Configure([]any{
		rig.Route("chat", "lm", "streaming", 1, 6*time.Second, 500*time.Millisecond),
		rig.Route("book", "app", "non_idempotent", 1, timeout, 300*time.Millisecond),
	}, []any{
		map[string]any{"name": "lm", "health_path": "/healthz", "max_connections": 370, "cold_start_s": 0, "cold_per_s": 0,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 345666}},
		map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0},
	}, []any{
		map[string]any{"name": "one", "api_keys": []string{abuserKey}}, map[string]any{"name": "two", "api_keys": []string{ordinaryKey}},
	})
	var routers []*rig.Router
	for i := range routerCount {
		routers = append(routers, r.NewRouter(fmt.Sprintf("front-arima-%d", i+1), "arima", r.Serve(r.Store.HandlerFor(fmt.Sprint(i))), true))
	}
	for _, router := range routers {
		router.Start()
	}
	for _, router := range routers {
		router.AwaitReady()
	}

	bytes := 0
	if r.Trouble {
		bytes = prefixBytes
	}
	called := routers[0]
	var next, sent, answered, served, unanswered, late, ordinaryServed, ordinarySent atomic.Int64
	var over atomic.Bool
	began := time.Now()
	var senders sync.WaitGroup
	for range clients {
		senders.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			for !over.Load() {
				i := next.Add(1)
				time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / perSecond)))
				sent.Add(1)
				status := send(client, called, "/chat/1", fmt.Sprintf("a-%d", i), abuserKey, prompt(i, bytes), 6*time.Second)
				if status != 0 {
					answered.Add(1)
				}
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	for c := range ordinaryClients {
		senders.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: deadline}
			for i := 0; !over.Load(); i++ {
				id, at := fmt.Sprintf("b-%d-%d", c, i), time.Now()
				ordinarySent.Add(1)
				status := send(client, called, "/book/1", id, ordinaryKey, "", deadline)
				took := time.Since(at)
				if status == http.StatusOK {
					ordinaryServed.Add(1)
				}
				if took > timeout {
					unanswered.Add(1)
					r.Note("request %s of team two: status %d after %.2f s", id, status, took.Seconds())
				}
				if took > timeout+lateAfter {
					late.Add(1)
				}
				time.Sleep(time.Until(at.Add(ordinaryInterval)))
			}
		})
	}
	for time.Since(began) < playTime {
		time.Sleep(5 * time.Second)
		r.Note("team one: %d sent, %d answered, %d served; team two: %d sent, %d served, %d unanswered at the time-out, %d of them %s later; %s has %.0f MB",
			sent.Load(), answered.Load(), served.Load(), ordinarySent.Load(), ordinaryServed.Load(), unanswered.Load(), late.Load(), lateAfter, called.Name, called.UsedMB())
	}
	over.Store(true)
	senders.Wait()
	if unanswered.Load() >= enough && 2*late.Load() > unanswered.Load() {
		r.End(rig.Broken, "of %d requests of team two, %d were unanswered at their route's time-out, and %d of these had no answer %s later; %d were served (team one: %d sent, %d served)",
			ordinarySent.Load(), unanswered.Load(), late.Load(), lateAfter, ordinaryServed.Load(), sent.Load(), served.Load())
	}
	if ordinaryServed.Load() < ordinarySent.Load()*9/10 {
		r.End(rig.CannotRun, "cannot run: only %d of %d requests of team two were served", ordinaryServed.Load(), ordinarySent.Load())
	}
	r.End(rig.Held, "of %d requests of team two, %d were unanswered at their route's time-out, and %d of these had no answer %s later; %d were served (team one: %d sent, %d served)",
		ordinarySent.Load(), unanswered.Load(), late.Load(), lateAfter, ordinaryServed.Load(), sent.Load(), served.Load())
}
