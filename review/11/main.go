// Command 11 plays clients of one team whose prompts have parts with long ids, and ends each router that exceeds the memory of its
// machine, as the platform does.
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
	// perSecond is how many requests the clients send, over so many connections, and playTime for how long.
	perSecond = 900
	clients   = 48
	playTime  = 100 * time.Second
	// longID and shortID are the lengths of the ids of parts, in hexadecimal digits. With a long one, the header of a request has some
	// 15,300 of the 16,384 bytes that are allowed.
	longID, shortID = 15_000, 8
	// The rule is broken if processes on enoughMachines end by themselves enoughEnds times each.
	enoughMachines, enoughEnds = 2, 3
	// bookInterval is the time between two requests of an ordinary client.
	bookInterval = 100 * time.Millisecond

	abuserKey, ordinaryKey = "key-of-team-one", "key-of-team-two"
)

// counts are the outcomes of one client's requests.
type counts struct{ served, refused, failed atomic.Int64 }

func (c *counts) String() string {
	return fmt.Sprintf("%d served, %d refused, %d without an answer", c.served.Load(), c.refused.Load(), c.failed.Load())
}

// send sends a request and counts its outcome.
func (c *counts) send(client *http.Client, router *rig.Router, path, id, key string, header map[string]string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.Front+path, strings.NewReader("body"))
	if err != nil {
		return err
	}
	request.Host = rig.Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("Deadline-Ms", "6000")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		c.failed.Add(1)
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.failed.Add(1)
		return err
	}
	if response.StatusCode == http.StatusOK {
		c.served.Add(1)
	} else {
		c.refused.Add(1)
	}
	return nil
}

func main() {
	r := rig.New("review/11")
	for i := range 3 {
		engine := &rig.Engine{ID: fmt.Sprintf("lm-%d", i), Events: 2, Interval: time.Millisecond, Forgets: true}
		r.Register(engine.ID, "lm", "arima", "v1", r.Serve(engine), "ready", int64(1000+i), 1, 64)
		plain := &rig.Engine{ID: fmt.Sprintf("app-%d", i), Interval: 20 * time.Millisecond}
		r.Register(plain.ID, "app", "arima", "v1", r.Serve(plain), "ready", int64(2000+i), 1, 6)
	}
	r.Configure([]any{
		rig.Route("chat", "lm", "streaming", 1, 6*time.Second, 500*time.Millisecond),
		rig.Route("book", "app", "non_idempotent", 1, 3*time.Second, 300*time.Millisecond),
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

	length := shortID
	if r.Trouble {
		length = longID
	}
	var next atomic.Int64
	var over atomic.Bool
	var abusers, ordinary counts
	began := time.Now()
	var senders sync.WaitGroup
	for range clients {
		senders.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 7 * time.Second}
			for !over.Load() {
				i := next.Add(1) - 1
				time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / perSecond)))
				_ = abusers.send(client, routers[i%routerCount], "/chat/1", fmt.Sprintf("a-%d", i), abuserKey, map[string]string{
					"Model": "m", "Token-Usage": "900,80",
					"Prompt-Prefix": fmt.Sprintf("%0*x:800,%08x:100", length, i+1, i),
				})
			}
		})
	}
	senders.Go(func() {
		client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
		for i := 0; !over.Load(); i++ {
			id := fmt.Sprintf("b-%d", i)
			if err := ordinary.send(client, routers[i%routerCount], "/book/1", id, ordinaryKey, nil); err != nil {
				r.Note("ordinary request %s without an answer: %s", id, err)
			}
			time.Sleep(bookInterval)
		}
	})

	ends, machines, peak := map[string]int{}, 0, 0.0
	for notedAt := began; machines < enoughMachines && time.Since(began) < playTime; time.Sleep(50 * time.Millisecond) {
		line := ""
		for _, router := range routers {
			used := router.UsedMB()
			peak = max(peak, used)
			line += fmt.Sprintf(" %s %.0f MB", router.Name, used)
			if used <= rig.MemoryMB {
				continue
			}
			router.Kill()
			ends[router.Name]++
			r.Note("%s has %.0f MB, more than the %d MB of its machine: it is killed for the time %d", router.Name, used, rig.MemoryMB, ends[router.Name])
			if ends[router.Name] == enoughEnds {
				machines++
			}
			router.Restart()
		}
		if time.Since(notedAt) > 2*time.Second {
			notedAt = time.Now()
			r.Note("memory:%s; team one: %s; team two: %s", line, &abusers, &ordinary)
		}
	}
	over.Store(true)
	senders.Wait()
	r.Note("team one: %s; team two: %s; ends: %v", &abusers, &ordinary, ends)
	switch {
	case machines >= enoughMachines:
		r.End(rig.Broken, "on %d machines, processes ended %d times each for want of memory, %d of the ordinary client's requests had no answer, and %d were refused",
			machines, enoughEnds, ordinary.failed.Load(), ordinary.refused.Load())
	case len(ends) > 0:
		r.End(rig.Broken, "processes ended for want of memory, though fewer than %d times on each of %d machines in %s: %v", enoughEnds, enoughMachines, playTime, ends)
	case abusers.served.Load() < next.Load()*9/10:
		r.End(rig.CannotRun, "cannot run: only %d of %d requests of team one were served", abusers.served.Load(), next.Load())
	}
	r.End(rig.Held, "no router has held more than %.0f MB; team one: %s; team two: %s", peak, &abusers, &ordinary)
}
