// Command 13 plays the loss of all machines of a deployment but one, and asks the directory of the one that is left.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"agateswitch/review/11/rig"
)

const (
	// routerCount is the number of machines of stonewall-harvest-grown, and lost how many of them are lost for good.
	routerCount, lost = 23, 22
	// settleTime is the time from the start to the traffic there.
	settleTime = 14 * time.Second
	// stableWindow is stable_window_ms. The directory may name a lost machine until that long and nameSlack after its end.
	stableWindow = 4 * time.Second
	nameSlack    = 3 * time.Second
	// allowed is how many later answers with one the rule allows.
	allowed = 3
	// askTime is how long the directory is asked, every askInterval.
	askTime     = 55 * time.Second
	askInterval = 500 * time.Millisecond
)

var zones = []string{"north-slope", "river-bend", "east-terrace", "south-orchard"}

// ask returns the addresses that a router's directory names.
func ask(client *http.Client, router *rig.Router) ([]string, error) {
	response, err := client.Get("http://" + router.Directory + "/v1/resolve?name=" + rig.Host + "&region=new-england&zone=" + router.Zone)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Addresses, nil
}

func main() {
	r := rig.New("review/13")
	r.Fields = map[string]any{
		"region": "new-england", "limits.cpu_share": 0.448, "limits.memory_mb": 397, "limits.max_fds": 8192, "limits.link_mbps": 23.0,
		"bounds.drain_ms": 3000, "bounds.budget_slack": 156,
	}
	app := &rig.Engine{ID: "app-1", Interval: 20 * time.Millisecond}
	r.Register(app.ID, "app", zones[0], "v1", r.Serve(app), "ready", 1000, 1, 6)
	r.Configure([]any{rig.Route("slots", "app", "idempotent", 2, 3*time.Second, 300*time.Millisecond)},
		[]any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0}},
		[]any{map[string]any{"name": "one", "api_keys": []string{"key-of-team-one"}}})
	var routers []*rig.Router
	for i := range routerCount {
		zone := zones[i%len(zones)]
		routers = append(routers, r.NewRouter(fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, r.Serve(r.Store.HandlerFor(fmt.Sprint(i))), true))
	}
	for _, router := range routers {
		router.Start()
	}
	for _, router := range routers {
		router.AwaitReady()
	}
	time.Sleep(settleTime)
	client := &http.Client{Timeout: time.Second}
	for _, router := range routers {
		addresses, err := ask(client, router)
		r.Check(err, "asking the directory")
		if len(addresses) != routerCount {
			r.End(rig.CannotRun, "cannot run: %s names %d of %d machines before the disruption", router.Name, len(addresses), routerCount)
		}
	}

	left, gone := routers[lost], map[string]bool{}
	if r.Trouble {
		var kills sync.WaitGroup
		for _, router := range routers[:lost] {
			kills.Go(router.Kill)
			gone[router.Front] = true
		}
		kills.Wait()
		r.Note("%d of %d machines are lost for good; %s is left, and reaches the store and the engine all the while", lost, routerCount, left.Name)
	}
	lostAt := time.Now()
	time.Sleep(stableWindow + nameSlack)
	asked, named := 0, 0
	var last time.Duration
	for from := time.Now(); time.Since(from) < askTime; time.Sleep(askInterval) {
		addresses, err := ask(client, left)
		if err != nil {
			r.Note("%s: %s", left.Name, err)
			continue
		}
		asked++
		dead := 0
		for _, address := range addresses {
			if gone[address] {
				dead++
			}
		}
		if dead > 0 && slices.Contains(addresses, left.Front) {
			named++
			last = time.Since(lostAt)
		}
		r.Note("%s names %d machines, of which %d were lost %.1f s ago", left.Name, len(addresses), dead, time.Since(lostAt).Seconds())
	}
	if asked <= allowed {
		r.End(rig.CannotRun, "cannot run: the directory has answered %d questions", asked)
	}
	if named > allowed {
		r.End(rig.Broken, "%d of %d answers of the directory named machines that were lost over %s before, the last one after %.0f s",
			named, asked, stableWindow+nameSlack, last.Seconds())
	}
	r.End(rig.Held, "%d of %d answers of the directory named a lost machine", named, asked)
}
