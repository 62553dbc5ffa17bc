// Command 11 shows that a few hundred requests whose prompts have very many parts, each inside the limits, hang all routers.
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
	// routers, engines and timeout are those of a small deployment.
	routers = 6
	engines = 9
	timeout = 4 * time.Second
	// lateSlack is how long after the timeout a request must have its answer.
	lateSlack = 500 * time.Millisecond
	// leastUnanswered is the least number of requests without an answer at the timeout that the rule judges.
	leastUnanswered = 8

	// crowd requests come in crowdTime, spread over all routers. Their prompts have longParts parts, in a header of less than 16 KB.
	crowd     = 240
	crowdTime = 2 * time.Second
	longParts = 2400
	// shortParts is the number of parts of an ordinary prompt.
	shortParts = 3
	// calmTime is how long ordinary requests come before the crowd, and playTime until the last ones come.
	calmTime = 2 * time.Second
	playTime = 8 * time.Second
	// ordinaryInterval is the time between two ordinary requests of each kind to each router.
	ordinaryInterval = 200 * time.Millisecond
)

// play sends the requests and counts what the rule counts.
type play struct {
	fleet  *rig.Fleet
	client *http.Client
	sent   sync.WaitGroup
	number atomic.Int64
	// atTimeout and late count the ordinary requests without an answer at the timeout, and lateSlack later.
	ordinary, served, atTimeout, late atomic.Int64
}

func main() {
	f := rig.New()
	var runs atomic.Int64
	f.Routes = []any{
		rig.Route("chat", "farrier-lm", "streaming", timeout, 400*time.Millisecond),
		rig.Route("slots", "rounds-app", "idempotent", timeout, 300*time.Millisecond),
	}
	f.Services = []any{rig.Service("farrier-lm", true), rig.Service("rounds-app", false)}
	f.Configure()
	for i := range engines {
		f.Engine("farrier-lm", fmt.Sprintf("i-lm-%d", i), "arima", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			stream(w, r)
		}))
	}
	for i := range 3 {
		f.Engine("rounds-app", fmt.Sprintf("i-app-%d", i), "arima", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			_, _ = io.WriteString(w, "three slots are open")
		}))
	}
	var all []*rig.Router
	for range routers {
		all = append(all, f.Add("arima"))
	}
	for _, r := range all {
		r.Start()
	}
	for _, r := range all {
		r.AwaitState()
	}
	p := &play{fleet: f, client: rig.NewClient()}
	p.run(all)
	for _, r := range all {
		f.Printf("router %d: ended %t, largest resident set %d kB", r.Number, r.HasEnded(), r.MemoryKB())
	}
	counts := fmt.Sprintf("%d ordinary requests, %d served, %d without an answer at their timeout of %s, %d still without one %s later; engines ran %d requests",
		p.ordinary.Load(), p.served.Load(), p.atTimeout.Load(), timeout, p.late.Load(), lateSlack, runs.Load())
	if p.atTimeout.Load() >= leastUnanswered && 2*p.late.Load() > p.atTimeout.Load() {
		f.End(rig.Broken, "CONFIG broken: "+counts)
	}
	f.End(rig.Held, "CONFIG held: "+counts)
}

// stream answers like a sound engine: five events.
func stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 5 {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i+1, i+1)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(10 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// prompt returns a prompt of parts of one token each.
func prompt(parts int) string {
	var text strings.Builder
	for i := range parts {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%x:1", i)
	}
	return text.String()
}

func (p *play) run(all []*rig.Router) {
	parts := shortParts
	if rig.HasTrouble() {
		parts = longParts
	}
	crowded := prompt(parts)
	p.fleet.Printf("each of the crowd's prompts has %d parts in %d bytes", parts, len(crowded))
	began := time.Now()
	p.sent.Go(func() {
		time.Sleep(calmTime)
		for i := range crowd {
			p.sent.Go(func() { p.chat("crowd", all[i%len(all)], crowded, false) })
			time.Sleep(crowdTime / crowd)
		}
		p.fleet.Printf("the crowd has sent all its requests")
	})
	for i := 0; time.Since(began) < playTime; i++ {
		for _, r := range all {
			p.sent.Go(func() { p.chat("ordinary", r, fmt.Sprintf("%x:603,%x:110", 0xa000+i%29, 0xf000+i), true) })
			p.sent.Go(func() { p.call(r) })
		}
		time.Sleep(ordinaryInterval)
	}
	p.sent.Wait()
}

func (p *play) chat(who string, r *rig.Router, prompt string, isOrdinary bool) {
	id := fmt.Sprintf("chat-%d", p.number.Add(1))
	p.fleet.Printf("%s chat %s sent to router %d", who, id, r.Number)
	got := r.Send(p.client, "/chat/1", id, "hello", map[string]string{
		"Deadline-Ms": fmt.Sprint(timeout.Milliseconds()), "Model": "m", "Token-Usage": "713,280", "Prompt-Prefix": prompt,
	})
	p.judge(who+" chat", r, id, got, isOrdinary)
}

func (p *play) call(r *rig.Router) {
	id := fmt.Sprintf("call-%d", p.number.Add(1))
	p.fleet.Printf("ordinary call %s sent to router %d", id, r.Number)
	got := r.Send(p.client, "/slots/1", id, "", map[string]string{"Deadline-Ms": fmt.Sprint(timeout.Milliseconds())})
	p.judge("ordinary call", r, id, got, true)
}

func (p *play) judge(what string, r *rig.Router, id string, got rig.Answer, isOrdinary bool) {
	p.fleet.Printf("%s %s at router %d answered with %d after %s, error %v", what, id, r.Number, got.Status, got.Took.Round(time.Millisecond), got.Err)
	if !isOrdinary {
		return
	}
	p.ordinary.Add(1)
	if got.Status == http.StatusOK && got.Err == nil {
		p.served.Add(1)
	}
	if got.Took > timeout {
		p.atTimeout.Add(1)
	}
	if got.Took > timeout+lateSlack {
		p.late.Add(1)
	}
}
