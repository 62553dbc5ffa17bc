// Command 12 shows that the streams of sound engines are broken off at an event with a line of more than 4 KB.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/review/11/rig"
)

const (
	routers = 2
	// streams is how many streams each router's connection carries, one after the other.
	streams = 168
	// events is the number of events of a stream, of which longEvent is long.
	events, longEvent = 6, 3
	// longWords is how many words of text the long event has: some 13 KB.
	longWords = 2300
	// nameLengths is how many lengths the names have with which the texts begin.
	nameLengths = 28
	// eventInterval is the time between two events.
	eventInterval = 5 * time.Millisecond
	timeout       = 15 * time.Second
	// mostClosed is how many connections the rule lets a router close without an answer.
	mostClosed = 3
)

// text returns ordinary text on one line, which begins with a name: sentences of five words, which begin with a capital letter.
func text(name string, words int) string {
	var b strings.Builder
	b.WriteString(name + " ")
	for i := range words {
		word := "hoof "
		switch i % 5 {
		case 0:
			word = "Clean "
		case 4:
			word = "twice. "
		}
		b.WriteString(word)
	}
	return b.String()
}

// body returns the events of a stream, whose texts begin with names of several lengths. The long event holds a whole report.
func body(stream int) (pieces []string) {
	name := strings.Repeat("x", stream%nameLengths)
	for i := 1; i <= events; i++ {
		words := 5
		if i == longEvent && rig.HasTrouble() {
			words = longWords
		}
		pieces = append(pieces, fmt.Sprintf("id: %d\ndata: %s\n\n", i, text(name, words)))
	}
	return pieces
}

func main() {
	f := rig.New()
	f.Routes = []any{rig.Route("chat", "farrier-lm", "streaming", timeout, 300*time.Millisecond)}
	f.Services = []any{rig.Service("farrier-lm", true)}
	f.Configure()
	f.Engine("farrier-lm", "i-lm-0", "arima", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var stream int
		if _, err := fmt.Sscanf(r.URL.Path, "/chat/%d", &stream); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		sent := 0
		for _, piece := range body(stream) {
			if _, err := w.Write([]byte(piece)); err != nil {
				break
			}
			w.(http.Flusher).Flush()
			sent++
			time.Sleep(eventInterval)
		}
		f.Printf("engine: ran %s, wrote %d of %d events, caller left %t", r.Header.Get("Attempt-Id"), sent, events, r.Context().Err() != nil)
	}))
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
	var ends ends
	var callers sync.WaitGroup
	for _, r := range all {
		callers.Go(func() { call(f, r, &ends) })
	}
	callers.Wait()
	counts := fmt.Sprintf("%d streams of a sound engine, %d got whole, %d ended with a closed connection in the middle, %d failed, %d otherwise",
		routers*streams, ends.whole.Load(), ends.closed.Load(), ends.failed.Load(), ends.others.Load())
	if ends.closed.Load() > mostClosed {
		f.End(rig.Broken, "LOST broken: "+counts)
	}
	if ends.whole.Load() != routers*streams {
		f.Fail("%s", counts)
	}
	f.End(rig.Held, "LOST held: "+counts)
}

// ends counts how streams ended.
type ends struct{ whole, closed, failed, others atomic.Int64 }

// call sends a router's requests on one connection, one after the other.
func call(f *rig.Fleet, r *rig.Router, ends *ends) {
	client := rig.NewClient()
	for i := range streams {
		id := fmt.Sprintf("chat-%d-%d", r.Number, i)
		f.Printf("%s sent to router %d", id, r.Number)
		got := r.Send(client, fmt.Sprintf("/chat/%d", i), id, "hello", map[string]string{
			"Deadline-Ms": fmt.Sprint(timeout.Milliseconds()), "Model": "m", "Token-Usage": "713,280", "Prompt-Prefix": "a1:603,b2:110",
		})
		f.Printf("%s answered with %d, %d bytes, after %s, error %v", id, got.Status, len(got.Body), got.Took.Round(time.Millisecond), got.Err)
		switch {
		case got.Err != nil:
			ends.closed.Add(1)
		case got.Status != http.StatusOK:
			ends.failed.Add(1)
		case got.Body == strings.Join(body(i), ""):
			ends.whole.Add(1)
		default:
			ends.others.Add(1)
		}
	}
}
