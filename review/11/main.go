// Command 11 plays a desired state that grows by many routes and shrinks again at once, and checks that the routers still learn what changes in
// the store.
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
	routerCount = 8
	// manyRoutes is how many routes the grown desired state has beside the usual ones, some 45 KB in all. shrinkAfter is the time until the
	// next one, which has the usual ones only.
	manyRoutes  = 200
	shrinkAfter = 80 * time.Millisecond
	// looks is how many requests each router gets then for a path without a route, lookInterval apart.
	looks        = 10
	lookInterval = 15 * time.Millisecond
	// leaveAfter is the time from there until an engine leaves, and roundTime that from one round to the next.
	leaveAfter = 700 * time.Millisecond
	roundTime  = 4 * time.Second
	rounds     = 16
	// roundStep is by how much one round is longer than the one before, up to roundSpread: routers look at the store in a rhythm of 2 s.
	roundStep, roundSpread = 300 * time.Millisecond, 2 * time.Second
	// drain is drain_ms, checkTime how long late requests are waited for, and lastCheckTime how long once there is one.
	drain         = 3 * time.Second
	checkTime     = 600 * time.Millisecond
	lastCheckTime = 8 * time.Second
	// endTime is how long ordinary requests are watched after the engine that leaves has ended, which is later than the pages ask for.
	endTime = 5 * time.Second
	// bookInterval is the time between two ordinary requests to a router.
	bookInterval = 50 * time.Millisecond
	key          = "key-of-team-one"
)

// send sends a request to a router and returns its status, or 0 if there was no answer.
func send(client *http.Client, router *rig.Router, path, id, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.Front+path, strings.NewReader("body"))
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

// running is an engine and what it has registered.
type running struct {
	engine  *rig.Engine
	address string
	stop    func()
	born    int64
}

var engines []running

// addEngine starts an engine and registers it.
func addEngine(r *rig.Rig) {
	number := len(engines) + 1
	e := running{engine: &rig.Engine{ID: fmt.Sprintf("app-%d", number), Interval: 20 * time.Millisecond}, born: int64(1000 + number)}
	e.address, e.stop = r.ServeUntil(e.engine)
	engines = append(engines, e)
	r.Register(e.engine.ID, "app", "arima", "v1", e.address, "ready", e.born, 1, 6)
}

// lateArrivals returns how many requests have reached an engine later than drain after a time, and the time of the last one.
func lateArrivals(engine *rig.Engine, acked time.Time) (late int, last time.Duration) {
	for _, arrival := range engine.Arrivals() {
		if at := arrival.At.Sub(acked); at > drain {
			late, last = late+1, max(last, at)
		}
	}
	return late, last
}

// configure writes a desired state with a number of further routes.
func configure(r *rig.Rig, further int) {
	routes := []any{rig.Route("book", "app", "non_idempotent", 1, 3*time.Second, 300*time.Millisecond)}
	for i := range further {
		routes = append(routes, rig.Route(fmt.Sprintf("further-%03d", i), "app", "idempotent", 2, 3*time.Second, 300*time.Millisecond))
	}
	r.Configure(routes, []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0}},
		[]any{map[string]any{"name": "one", "api_keys": []string{key}}})
}

func main() {
	r := rig.New("review/11")
	r.Fields = map[string]any{"bounds.drain_ms": 3000, "bounds.budget_slack": 156}
	addEngine(r)
	configure(r, 0)
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
	time.Sleep(3500 * time.Millisecond)

	further := 0
	if r.Trouble {
		further = manyRoutes
	}
	var over atomic.Bool
	var traffic sync.WaitGroup
	var sent, served atomic.Int64
	for n, router := range routers {
		traffic.Go(func() {
			client := &http.Client{Timeout: 5 * time.Second}
			for i := 0; !over.Load(); i++ {
				sent.Add(1)
				if send(client, router, "/book/1", fmt.Sprintf("b-%d-%d", n, i), key) == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(bookInterval)
			}
		})
	}
	client := &http.Client{Timeout: 5 * time.Second}
	checked, lateRounds := 0, 0
	for round := range rounds {
		began := time.Now()
		configure(r, further)
		time.Sleep(shrinkAfter)
		configure(r, 0)
		for i := range looks {
			for n, router := range routers {
				go send(client, router, "/nowhere/1", fmt.Sprintf("w-%d-%d-%d", round, n, i), key)
			}
			time.Sleep(lookInterval)
		}
		time.Sleep(time.Until(began.Add(leaveAfter)))
		old := engines[len(engines)-1]
		addEngine(r)
		r.Register(old.engine.ID, "app", "arima", "v1", old.address, "draining", old.born, 2, 6)
		acked := time.Now()
		r.Note("round %d: the store has acknowledged that %s is draining", round+1, old.engine.ID)
		time.Sleep(drain + checkTime)
		late, last := lateArrivals(old.engine, acked)
		checked++
		if late > 0 {
			lateRounds++
			r.Note("%d requests have reached %s later than %s after that, the last one after %.2f s", late, old.engine.ID, drain, last.Seconds())
		}
		if late > 0 && last > drain+checkTime-2*bookInterval {
			time.Sleep(lastCheckTime)
			late, last = lateArrivals(old.engine, acked)
			r.Note("%d requests have reached %s later than %s after that, the last one after %.2f s", late, old.engine.ID, drain, last.Seconds())
			old.stop()
			r.Note("%s has ended", old.engine.ID)
			sentBefore, servedBefore := sent.Load(), served.Load()
			time.Sleep(endTime)
			sentAfter, servedAfter := sent.Load()-sentBefore, served.Load()-servedBefore
			r.Note("in the %s after that, %d ordinary requests were sent and %d served", endTime, sentAfter, servedAfter)
			over.Store(true)
			traffic.Wait()
			r.End(rig.Broken, "in round %d, %d requests reached a draining engine later than %s after the ack, the last one %.1f s after it; once it had ended, %d of %d ordinary requests were served in %s",
				round+1, late, drain, last.Seconds(), servedAfter, sentAfter, endTime)
		}
		time.Sleep(time.Until(began.Add(roundTime + time.Duration(round)*roundStep%roundSpread)))
	}
	over.Store(true)
	traffic.Wait()
	if lateRounds > 0 {
		r.End(rig.Broken, "requests reached a draining engine later than %s after the ack in %d of %d rounds", drain, lateRounds, checked)
	}
	r.End(rig.Held, "no request reached a draining engine late in %d rounds (%d of %d requests served)", checked, served.Load(), sent.Load())
}
