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
	// withdrawAfter is the time from a round's begin until a key is withdrawn, and roundTime that from one round to the next.
	withdrawAfter = 700 * time.Millisecond
	roundTime     = 5500 * time.Millisecond
	rounds        = 13
	// roundStep is by how much one round is longer than the one before, up to roundSpread: routers look at the store in a rhythm of 2 s.
	roundStep, roundSpread = 300 * time.Millisecond, 2 * time.Second
	// apply is config_apply_ms; requests with a withdrawn key are sent applyMargin later, for checkTime, and for lastCheckTime more once one
	// was run.
	apply         = 3 * time.Second
	applyMargin   = 50 * time.Millisecond
	checkTime     = 300 * time.Millisecond
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
	// isLeaving makes all answers say that the engine leaves.
	isLeaving *atomic.Bool
}

var engines []running

// addEngine starts an engine and registers it.
func addEngine(r *rig.Rig) {
	number := len(engines) + 1
	e := running{born: int64(1000 + number), isLeaving: &atomic.Bool{}}
	e.engine = &rig.Engine{ID: fmt.Sprintf("app-%d", number), Interval: 20 * time.Millisecond, Forgets: true}
	e.engine.Before = func(w http.ResponseWriter, _ *http.Request) bool {
		if e.isLeaving.Load() {
			w.Header().Set("Server-Leaving", "1")
			w.Header().Set("Connection", "close")
		}
		return false
	}
	e.address, e.stop = r.ServeUntil(e.engine)
	engines = append(engines, e)
	r.Register(e.engine.ID, "app", "arima", "v1", e.address, "ready", e.born, 1, 6)
}

// otherKey returns the key that is withdrawn in a round.
func otherKey(round int) string { return fmt.Sprint("key-of-round-", round) }

// configure writes a desired state with a number of further routes, which allows the ordinary key and another one.
func configure(r *rig.Rig, further int, other string) {
	routes := []any{rig.Route("book", "app", "non_idempotent", 1, 3*time.Second, 300*time.Millisecond)}
	for i := range further {
		routes = append(routes, rig.Route(fmt.Sprintf("further-%03d", i), "app", "idempotent", 2, 3*time.Second, 300*time.Millisecond))
	}
	r.Configure(routes, []any{map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110, "cold_start_s": 0, "cold_per_s": 0}},
		[]any{map[string]any{"name": "one", "api_keys": []string{key, other}}})
}

func main() {
	r := rig.New("review/11")
	r.Fields = map[string]any{"bounds.drain_ms": 3000, "bounds.budget_slack": 156}
	addEngine(r)
	configure(r, 0, otherKey(0))
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
	// try sends requests with a withdrawn key to all routers until a time, and returns how many were run, and when the last one was sent.
	try := func(withdrawn string, acked, until time.Time) (ran int, last time.Duration) {
		for i := 0; time.Now().Before(until); i++ {
			for n, router := range routers {
				at := time.Since(acked)
				if send(client, router, "/book/1", fmt.Sprintf("k-%s-%d-%d", withdrawn, n, i), withdrawn) == http.StatusOK {
					ran, last = ran+1, at
				}
			}
			time.Sleep(bookInterval)
		}
		return ran, last
	}
	lateRounds := 0
	for round := range rounds {
		began := time.Now()
		configure(r, further, otherKey(round))
		time.Sleep(shrinkAfter)
		configure(r, 0, otherKey(round))
		for i := range looks {
			for n, router := range routers {
				go send(client, router, "/nowhere/1", fmt.Sprintf("w-%d-%d-%d", round, n, i), key)
			}
			time.Sleep(lookInterval)
		}
		time.Sleep(time.Until(began.Add(withdrawAfter)))
		configure(r, 0, otherKey(round+1))
		acked := time.Now()
		r.Note("round %d: %s is withdrawn", round+1, otherKey(round))
		time.Sleep(apply + applyMargin)
		ran, last := try(otherKey(round), acked, time.Now().Add(checkTime))
		if ran > 0 {
			lateRounds++
			r.Note("%d requests with the key were run, sent later than %s after that", ran, apply)
		}
		// Where some of the routers have learnt of the change from others just after the bound, the case goes on.
		if ran > 0 && last > apply+applyMargin+checkTime/2 {
			further, last := try(otherKey(round), acked, time.Now().Add(lastCheckTime))
			ran += further
			r.Note("%d by now, the last one sent %.1f s after it", ran, last.Seconds())
			served, sent := replaceEngine(r, &served, &sent)
			over.Store(true)
			traffic.Wait()
			r.End(rig.Broken, "in round %d, %d requests with a withdrawn key were run, sent later than %s after the ack, the last one %.1f s after it; once an engine was replaced, %d of %d ordinary requests were served in %s",
				round+1, ran, apply, last.Seconds(), served, sent, endTime)
		}
		time.Sleep(time.Until(began.Add(roundTime + time.Duration(round)*roundStep%roundSpread)))
	}
	over.Store(true)
	traffic.Wait()
	if lateRounds > 0 {
		r.End(rig.Broken, "requests with a withdrawn key were run, sent later than %s after the ack, in %d of %d rounds", apply, lateRounds, rounds)
	}
	r.End(rig.Held, "no request with a withdrawn key was run late in %d rounds (%d of %d ordinary requests served)", rounds, served.Load(), sent.Load())
}

// replaceEngine replaces the engine by another one, as the pages say, and returns how many ordinary requests are served after its end.
func replaceEngine(r *rig.Rig, served, sent *atomic.Int64) (servedAfter, sentAfter int64) {
	old := engines[len(engines)-1]
	addEngine(r)
	time.Sleep(time.Second)
	r.Register(old.engine.ID, "app", "arima", "v1", old.address, "draining", old.born, 2, 6)
	old.isLeaving.Store(true)
	r.Note("%s is there; %s is draining, and says so in its answers", engines[len(engines)-1].engine.ID, old.engine.ID)
	time.Sleep(apply + time.Second)
	old.stop()
	r.Note("%s has ended", old.engine.ID)
	servedBefore, sentBefore := served.Load(), sent.Load()
	time.Sleep(endTime)
	servedAfter, sentAfter = served.Load()-servedBefore, sent.Load()-sentBefore
	r.Note("in the %s after that, %d of %d ordinary requests were served", endTime, servedAfter, sentAfter)
	return servedAfter, sentAfter
}
