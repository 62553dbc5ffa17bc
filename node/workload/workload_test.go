package workload

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/warmth"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// roundTrip is the time of a call between routers.
const roundTrip = time.Millisecond

// wire joins routers by function calls that are counted.
type wire struct {
	mu    sync.Mutex
	nodes map[fleet.HostID]*node
	calls int
}

// node is one router.
type node struct {
	*Workload
	id       fleet.HostID
	wire     *wire
	handlers map[string]port.PeerHandler
	silent   bool
}

func newWire(routers int) *wire {
	w := &wire{nodes: map[fleet.HostID]*node{}}
	for i := range routers {
		n := &node{id: fleet.HostID(fmt.Sprintf("r%03d", i)), wire: w, handlers: map[string]port.PeerHandler{}}
		n.Workload = New(n.id, n, n, log.New(io.Discard))
		w.nodes[n.id] = n
	}
	return w
}

// run starts the routers, and returns what stops them.
func (w *wire) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, n := range w.nodes {
		go n.Run(ctx)
	}
	return func() {
		cancel()
		time.Sleep(time.Minute)
	}
}

func (w *wire) node(i int) *node { return w.nodes[fleet.HostID(fmt.Sprintf("r%03d", i))] }

func (n *node) Others() []fleet.HostID {
	n.wire.mu.Lock()
	defer n.wire.mu.Unlock()
	var others []fleet.HostID
	for id, other := range n.wire.nodes {
		if id != n.id && !other.silent {
			others = append(others, id)
		}
	}
	return others
}

func (n *node) Handle(method string, handler port.PeerHandler) { n.handlers[method] = handler }

func (n *node) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	time.Sleep(roundTrip)
	n.wire.mu.Lock()
	n.wire.calls++
	other, silent := n.wire.nodes[to], n.wire.nodes[to].silent || n.silent
	n.wire.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errors.Trace(port.ErrPeerUnreachable)
	}
	sent, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := other.handlers[method](ctx, n.id, func(into any) error { return msgpack.Unmarshal(sent, into) })
	if err != nil {
		return err
	}
	received, err := msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(received, response)
}

func (w *wire) silence(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.silent = true
}

var prompt = []warmth.Part{{ID: "a", Tokens: 100}}

// Every router soon knows what all others run and where prompts were read, in a small fleet and
// in one that has a collector, and forgets what a silent router runs.
func TestWorkloadIsShared(t *testing.T) {
	for routers, delay := range map[int]time.Duration{8: 20 * time.Millisecond, 88: 1100 * time.Millisecond} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWire(routers)
				defer w.run()()
				var tickets []*Ticket
				for i := range routers {
					tickets = append(tickets, w.node(i).Start("e1", 1000, prompt))
				}
				time.Sleep(delay)
				for _, n := range w.nodes {
					must.Eq(t, Load{Running: routers, PendingPrefill: 1000 * routers}, n.Load("e1"))
					must.Eq(t, map[fleet.UpstreamID]int{"e1": 100}, n.Cached(prompt))
				}
				tickets[0].Read()
				tickets[1].End()
				time.Sleep(delay)
				must.Eq(t, Load{Running: routers - 1, PendingPrefill: 1000 * (routers - 2)}, w.node(2).Load("e1"))
				w.silence(w.node(3))
				time.Sleep(silentAfter + 2*fullInterval + delay)
				must.Eq(t, Load{Running: routers - 2, PendingPrefill: 1000 * (routers - 3)}, w.node(2).Load("e1"))
			})
		})
	}
}

// A collector that falls silent is replaced.
func TestCollectorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire(40)
		defer w.run()()
		time.Sleep(time.Second)
		w.silence(w.nodes[w.node(0).collectors()[0]])
		first := w.node(0)
		if first.silent {
			first = w.node(1)
		}
		first.Start("e1", 10, prompt)
		time.Sleep(2 * time.Second)
		for _, n := range w.nodes {
			if !n.silent {
				must.Eq(t, 1, n.Load("e1").Running)
			}
		}
	})
}

// The calls of a large fleet grow with the number of routers, not with its square.
func TestCallsGrowWithTheFleet(t *testing.T) {
	perRouter := func(routers int) float64 {
		calls := 0
		synctest.Test(t, func(t *testing.T) {
			w := newWire(routers)
			defer w.run()()
			for i := range 10 * routers {
				w.node(i%routers).Start("e1", 10, nil)
				if i%routers == 0 {
					time.Sleep(time.Second)
				}
			}
			w.mu.Lock()
			calls = w.calls
			w.mu.Unlock()
		})
		return float64(calls) / float64(routers) / 10
	}
	// At most one exchange in collectInterval, and one in fullInterval.
	const most = float64(time.Second/collectInterval + time.Second/fullInterval)
	for _, routers := range []int{40, 88, 380} {
		must.LessEq(t, most, perRouter(routers), must.Sprint(routers))
	}
}

// A reader that falls behind goes on at the oldest placement that is kept.
func TestJournalIsBounded(t *testing.T) {
	var j journal
	for range 60 {
		j.add(make([]warmth.Placement, 1000))
	}
	must.Len(t, maxJournal, j.placements)
	cursor, read := uint64(0), 0
	for {
		part, next := j.since(cursor)
		if len(part) == 0 {
			break
		}
		read, cursor = read+len(part), next
	}
	must.Eq(t, maxJournal, read)
	must.Eq(t, 60000, cursor)
}
