// Command 12 plays another writer of the platform's store, which leaves large entries among those of the engines, and ends each router that
// exceeds the memory of its machine, as the platform does.
package main

import (
	"bytes"
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
	// entries is how many entries the other writer leaves, one every entryInterval, and entryBytes the size of each, which is value_bytes.
	entries       = 200
	entryInterval = 250 * time.Millisecond
	entryBytes    = 1 << 20
	// memoryMB is the memory of a machine, the smallest of the site.
	memoryMB = 184
	// playTime bounds the run.
	playTime = 105 * time.Second
	// The rule is broken if processes on enoughMachines end by themselves enoughEnds times each.
	enoughMachines, enoughEnds = 2, 3
	// bookInterval is the time between two ordinary requests.
	bookInterval = 100 * time.Millisecond
	key          = "key-of-team-one"
)

func send(client *http.Client, router *rig.Router, id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.Front+"/book/1", strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Host = rig.Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("Deadline-Ms", "3000")
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

func main() {
	r := rig.New("review/12")
	r.Fields = map[string]any{"limits.memory_mb": memoryMB, "limits.cpu_share": 0.192, "limits.link_mbps": 200.0, "bounds.drain_ms": 3000, "bounds.budget_slack": 160}
	app := &rig.Engine{ID: "app-1", Interval: 20 * time.Millisecond, Forgets: true}
	r.Register(app.ID, "app", "arima", "v1", r.Serve(app), "ready", 1000, 1, 6)
	r.Configure([]any{rig.Route("book", "app", "non_idempotent", 1, 3*time.Second, 300*time.Millisecond)},
		[]any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0}},
		[]any{map[string]any{"name": "one", "api_keys": []string{key}}})
	var routers []*rig.Router
	for i := range routerCount {
		routers = append(routers, r.NewRouter(fmt.Sprintf("front-arima-%d", i+1), "arima", r.Serve(rig.PagedStore(r.Store, fmt.Sprint(i))), true))
	}
	for _, router := range routers {
		router.Start()
	}
	for _, router := range routers {
		router.AwaitReady()
	}
	size := entryBytes
	if !r.Trouble {
		size = 300
	}
	// The bytes are no text in any encoding that the platform uses.
	unreadable := bytes.Repeat([]byte{0xfe}, size)
	var over atomic.Bool
	var written, sent, served, unanswered atomic.Int64
	began := time.Now()
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; i < entries && !over.Load(); i++ {
			r.Store.PutRaw(fmt.Sprintf("servers/odd-%03d", i), unreadable)
			written.Add(1)
			time.Sleep(time.Until(began.Add(time.Duration(i+1) * entryInterval)))
		}
	})
	running.Go(func() {
		client := &http.Client{Timeout: 4 * time.Second}
		for i := 0; !over.Load(); i++ {
			sent.Add(1)
			switch send(client, routers[i%routerCount], fmt.Sprintf("b-%d", i)) {
			case http.StatusOK:
				served.Add(1)
			case 0:
				unanswered.Add(1)
			}
			time.Sleep(bookInterval)
		}
	})
	ends, machines, peak := map[string]int{}, 0, 0.0
	for notedAt := began; machines < enoughMachines && time.Since(began) < playTime; time.Sleep(50 * time.Millisecond) {
		if !r.Trouble && written.Load() == entries {
			break
		}
		line := ""
		for _, router := range routers {
			used := router.UsedMB()
			peak = max(peak, used)
			line += fmt.Sprintf(" %s %.0f MB", router.Name, used)
			if used <= memoryMB {
				continue
			}
			router.Kill()
			ends[router.Name]++
			r.Note("%s has %.0f MB, more than the %d MB of its machine: it is killed for the time %d", router.Name, used, memoryMB, ends[router.Name])
			if ends[router.Name] == enoughEnds {
				machines++
			}
			router.Restart()
		}
		if time.Since(notedAt) > 5*time.Second {
			notedAt = time.Now()
			r.Note("%d entries; memory:%s; ordinary requests: %d sent, %d served, %d without an answer", written.Load(), line, sent.Load(), served.Load(), unanswered.Load())
		}
	}
	over.Store(true)
	running.Wait()
	line := fmt.Sprintf("%d entries; ends: %v; ordinary requests: %d sent, %d served, %d without an answer; most memory %.0f MB",
		written.Load(), ends, sent.Load(), served.Load(), unanswered.Load(), peak)
	switch {
	case machines >= enoughMachines:
		r.End(rig.Broken, "on %d machines, processes ended %d times each for want of memory: %s", machines, enoughEnds, line)
	case served.Load() < sent.Load()*9/10:
		r.End(rig.CannotRun, "cannot run: %s", line)
	}
	r.End(rig.Held, "%s", line)
}
