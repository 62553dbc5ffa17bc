// Command 14 plays the loss of most machines while the platform's store is down, and asks the directory of those that are left.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"agateswitch/platform/standin"
	"agateswitch/review/11/rig"
)

const (
	routerCount = 6
	// lost is how many machines are lost for good.
	lost = 5
	// rounds is how often the disruption is played on a new fleet. In some, the machine that is left regains the store sooner.
	rounds = 5
	// settleTime is how long a fleet runs before the disruption, and askTime how long its directory is asked after it.
	settleTime, askTime = 3 * time.Second, 3500 * time.Millisecond
	// outage is how long the store does not answer.
	outage = 8 * time.Second
	// stableWindow is stable_window_ms. A machine is in touch that long after the end of a disruption of the store, and the
	// directory may name a lost one until that long and nameSlack after its end.
	stableWindow = 3 * time.Second
	nameSlack    = 3 * time.Second
	// allowed is how many such answers the rule allows.
	allowed = 3
	// askInterval is the time between two questions: some 30 requesters whose answers hold for 2 s.
	askInterval = 70 * time.Millisecond
)

// ask returns the addresses that a router's directory names.
func ask(client *http.Client, router *rig.Router) ([]string, error) {
	response, err := client.Get("http://" + router.Directory + "/v1/resolve?name=" + rig.Host + "&region=tt-north&zone=arima")
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

// play plays the disruption on a new fleet, and returns how many answers of its directory were asked for in touch, and how many named a
// machine that was lost long before.
func play(r *rig.Rig, round int) (asked, named int) {
	r.Note("round %d", round)
	r.Store = standin.NewStore()
	app := &rig.Engine{ID: "app-1", Interval: 20 * time.Millisecond}
	r.Register(app.ID, "app", "arima", "v1", r.Serve(app), "ready", 1000, 1, 6)
	r.Configure([]any{rig.Route("slots", "app", "idempotent", 2, 3*time.Second, 300*time.Millisecond)},
		[]any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0}},
		[]any{map[string]any{"name": "one", "api_keys": []string{"key-of-team-one"}}})
	var routers []*rig.Router
	var links []*rig.Link
	for i := range routerCount {
		link := r.NewLink(r.Serve(r.Store.HandlerFor(fmt.Sprint(i))))
		links = append(links, link)
		routers = append(routers, r.NewRouter(fmt.Sprintf("front-arima-%d", i+1), "arima", link.Address(), true))
	}
	for _, router := range routers {
		router.Start()
		defer router.Kill()
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

	left, gone := routers[lost:], map[string]string{}
	if r.Trouble {
		for _, link := range links {
			link.SetDown(true)
		}
		r.Note("the store answers no machine")
		time.Sleep(time.Second)
		for _, router := range routers[:lost] {
			router.Kill()
			gone[router.Front] = router.Name
			r.Note("%s is lost for good", router.Name)
		}
	} else {
		left = routers
		time.Sleep(time.Second)
	}
	lostAt := time.Now()
	time.Sleep(outage - time.Second)
	for _, link := range links {
		link.SetDown(false)
	}
	backAt := time.Now()
	r.Note("the store answers all machines")
	from := slices.MaxFunc([]time.Time{backAt.Add(stableWindow), lostAt.Add(stableWindow + nameSlack)}, time.Time.Compare)
	time.Sleep(time.Until(from))
	r.Note("the machines that are left are in touch, and the others were lost over %s ago", stableWindow+nameSlack)
	for time.Since(from) < askTime {
		for _, router := range left {
			at := time.Now()
			addresses, err := ask(client, router)
			if err != nil {
				r.Note("%s: %s", router.Name, err)
				continue
			}
			asked++
			for _, address := range addresses {
				if name, isGone := gone[address]; isGone && slices.Contains(addresses, router.Front) {
					named++
					r.Note("%s names %s, which was lost %.2f s ago; the store is back for %.2f s", router.Name, name, at.Sub(lostAt).Seconds(), at.Sub(backAt).Seconds())
					break
				}
			}
		}
		time.Sleep(askInterval)
	}
	r.Note("%d of %d answers named a machine that was lost", named, asked)
	return asked, named
}

func main() {
	r := rig.New("review/14")
	asked, named, most := 0, 0, 0
	for round := range rounds {
		inRound, namedInRound := play(r, round+1)
		asked, named, most = asked+inRound, named+namedInRound, max(most, namedInRound)
		if most > allowed {
			r.End(rig.Broken, "%d of %d answers of the directory in round %d named a machine that was lost over %s before, by machines in touch",
				namedInRound, inRound, round+1, stableWindow+nameSlack)
		}
	}
	r.End(rig.Held, "%d of %d answers of the directory named a lost machine, at most %d in a round", named, asked, most)
}
