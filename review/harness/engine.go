package harness

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Engine stands in for a model engine. It answers with a stream of events, goes on after Last-Event-Id, and drops a request when
// its connection closes.
type Engine struct {
	ID, Address string
	events      int
	interval    time.Duration
	// SlowFirst is how long the first event of a stream takes in the first SlowFor after a crash.
	SlowFirst, SlowFor time.Duration

	mu     sync.Mutex
	runs   []*Run
	server *http.Server
	down   bool
	// crashed is true from the first crash on.
	crashed bool
	born    time.Time
	seq     int
}

// Run is a request that an engine works on.
type Run struct {
	Engine, ID  string
	Resumed     bool
	Began       time.Time
	Ended       time.Time
	Complete    bool
	PromptParts string
}

// NewEngine starts an engine whose streams have the given number of events.
func NewEngine(id string, events int, interval time.Duration) *Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &Engine{ID: id, Address: listener.Addr().String(), events: events, interval: interval}
	e.serve(listener)
	return e
}

// serve serves as a new incarnation.
func (e *Engine) serve(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server, e.down, e.born, e.seq = &http.Server{Handler: e}, false, time.Now(), 0
	server := e.server
	go func() { _ = server.Serve(listener) }()
}

// Crash ends the engine, and starts it again at the same address after some time.
func (e *Engine) Crash(downFor time.Duration) {
	e.mu.Lock()
	server := e.server
	e.down, e.crashed = true, true
	e.mu.Unlock()
	server.Close()
	time.Sleep(downFor)
	listener, err := net.Listen("tcp", e.Address)
	check(err)
	e.serve(listener)
}

// firstDelay returns how long the first event of a stream takes.
func (e *Engine) firstDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slowRemaining() > 0 {
		return e.SlowFirst
	}
	return e.interval
}

// slowRemaining returns for how long the engine remains slow after its start. The caller holds mu.
func (e *Engine) slowRemaining() time.Duration {
	if !e.crashed {
		return 0
	}
	return max(0, e.SlowFor-time.Since(e.born))
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != e.ID || id == "" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &Run{Engine: e.ID, ID: id, Resumed: last > 0, Began: time.Now(), PromptParts: r.Header.Get("Prompt-Prefix")}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	complete := e.stream(w, r, last)
	e.mu.Lock()
	run.Ended, run.Complete = time.Now(), complete
	e.mu.Unlock()
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, last int) (complete bool) {
	w.Header().Set("Engine-Signature", "signed-"+e.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	delay := e.firstDelay()
	for event := last + 1; event <= e.events; event++ {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event); err != nil {
			return false
		}
		if err := control.Flush(); err != nil {
			return false
		}
		delay = e.interval
	}
	return true
}

// Runs returns copies of the runs so far. One that has not ended has a zero end.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, run := range e.runs {
		runs = append(runs, *run)
	}
	return runs
}

// RunsByID returns the runs of several engines by request, in the order of their beginning.
func RunsByID(engines []*Engine) map[string][]Run {
	byID := map[string][]Run{}
	for _, e := range engines {
		for _, run := range e.Runs() {
			byID[run.ID] = append(byID[run.ID], run)
		}
	}
	for _, runs := range byID {
		slices.SortFunc(runs, func(a, b Run) int { return a.Began.Compare(b.Began) })
	}
	return byID
}

// Register writes the engine's entry as engines do. One that is down writes nothing.
func (e *Engine) Register(f *Fleet, service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.seq++
	f.Store.Put("servers/"+e.ID, map[string]any{
		"service": service, "address": e.Address, "zone": "arima", "version": "1", "slots": 64, "state": "ready",
		"cold_remaining_ms": e.slowRemaining().Milliseconds(), "seq": e.seq, "born": e.born.UnixMilli(),
	})
}

// Heartbeats writes the entries of engines again and again.
func Heartbeats(f *Fleet, service string, engines []*Engine) {
	for {
		for _, e := range engines {
			e.Register(f, service)
		}
		time.Sleep(heartbeat)
	}
}

// heartbeat is the time between two writes of an engine.
const heartbeat = 1200 * time.Millisecond
