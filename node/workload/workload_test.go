package workload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/dissemination"
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
	// bytes is what the router has sent.
	bytes int
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

func (w *wire) resetCounts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = 0
	for _, n := range w.nodes {
		n.bytes = 0
	}
}

// sent returns the bytes that the router with most has sent, and those of all.
func (w *wire) sent() (busiest, sum int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		busiest, sum = max(busiest, n.bytes), sum+n.bytes
	}
	return busiest, sum
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

func (n *node) Nearest() []fleet.HostID { return n.Others() }

func (n *node) Relays() dissemination.RelayPlan {
	hosts := []fleet.Host{n.host()}
	for _, id := range n.Others() {
		hosts = append(hosts, n.wire.nodes[id].host())
	}
	return dissemination.PlanRelays(hosts, n.host())
}

// host spreads the routers over three data centres.
func (n *node) host() fleet.Host {
	return fleet.Host{ID: n.id, DataCentre: fleet.DataCentre(fmt.Sprint("dc", int(n.id[len(n.id)-1])%3))}
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
	n.wire.mu.Lock()
	n.bytes += len(sent)
	other.bytes += len(received)
	n.wire.mu.Unlock()
	return msgpack.Unmarshal(received, response)
}

func (w *wire) silence(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.silent = true
}

var prompt = []warmth.Part{{ID: "a", Tokens: 100}}

// Every router soon knows what all others run and where prompts were read, in a small fleet and
// in one that has relays, and forgets what a silent router runs.
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

// A relay that falls silent is replaced.
func TestRelayIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire(40)
		defer w.run()()
		time.Sleep(time.Second)
		var first *node
		for _, n := range w.nodes {
			if plan := n.Relays(); !plan.IsRelay() {
				first = n
				w.silence(w.nodes[plan.Near[0]])
				break
			}
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

// Large fleets share their figures within half a second, and no router sends more than a quarter
// of the users' slowest link, 10 Mbit/s, can carry. The load: 4 requests a second for each router,
// each with three parts, at 60 engines; in one of four the last part is new, and one of four does
// not meet the engine that its prompt met before.
func TestLargeFleetsStayFreshOnSlowLinks(t *testing.T) {
	const rate, seconds, engines, mostBytes, freshWithin = 4, 5, 60, 10e6 / 8 / 4, 500 * time.Millisecond
	for _, routers := range []int{40, 88} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWire(routers)
				defer w.run()()
				time.Sleep(time.Second)
				w.resetCounts()
				random := rand.New(rand.NewPCG(1, 2))
				for range routers * rate * seconds {
					time.Sleep(time.Second / time.Duration(routers*rate))
					subject := random.IntN(2000)
					parts := []warmth.Part{{ID: fmt.Sprintf("%08x", subject%24)}, {ID: fmt.Sprintf("%08x", 100+subject)}, {ID: fmt.Sprintf("%08x", 5000+subject)}}
					if random.IntN(4) == 0 {
						parts[2].ID = fmt.Sprintf("%08x", random.Uint32())
					}
					engine := subject % engines
					if random.IntN(4) == 0 {
						engine = random.IntN(engines)
					}
					upstream := fleet.UpstreamID(fmt.Sprintf("i-%010d", engine))
					ticket := w.node(random.IntN(routers)).Start(upstream, 500, parts)
					time.AfterFunc(time.Duration(random.IntN(1400))*time.Millisecond, ticket.End)
				}
				busiest, sum := w.sent()
				must.LessEq(t, mostBytes*seconds, busiest)
				t.Logf("%d routers: %d B/s a router in the mean, %d on the busiest", routers, sum/routers/seconds, busiest/seconds)
				time.Sleep(2 * time.Second)
				w.node(1).Start("e1", 500, prompt)
				time.Sleep(freshWithin)
				for _, n := range w.nodes {
					must.Eq(t, 1, n.Load("e1").Running)
					must.Eq(t, map[fleet.UpstreamID]int{"e1": 100}, n.Cached(prompt))
					must.Eq(t, Load{}, n.Load("i-0000000001"))
				}
			})
		})
	}
}

// The calls of a large fleet grow with the number of routers, not with its square.
func TestCallsGrowWithTheFleet(t *testing.T) {
	const seconds = 3
	perRouter := func(routers int) float64 {
		calls := 0
		synctest.Test(t, func(t *testing.T) {
			w := newWire(routers)
			defer w.run()()
			time.Sleep(time.Second)
			w.resetCounts()
			for i := range seconds * routers {
				w.node(i%routers).Start("e1", 10, nil)
				if i%routers == 0 {
					time.Sleep(time.Second)
				}
			}
			w.mu.Lock()
			calls = w.calls
			w.mu.Unlock()
		})
		return float64(calls) / float64(routers) / seconds
	}
	for _, routers := range []int{40, 88, 380} {
		relays := float64(routers)/dissemination.RelayGroupSize + 3
		// A router asks its relay at intervals; relays share a fixed rate among the others, and
		// tell everything at fullInterval.
		most := float64(time.Second/gatherInterval) +
			relays/float64(routers)*(float64(time.Second/relayPause)+relays*float64(time.Second/fullInterval))
		must.LessEq(t, most, perRouter(routers), must.Sprint(routers))
	}
}

// A journal keeps a bounded number of placements; a reader that begins or has fallen behind goes on
// with the newest ones, and one that keeps up misses none.
func TestJournalIsBounded(t *testing.T) {
	var j journal
	cursor := uint64(0)
	for i := range 600 {
		added := make([]warmth.CachedPart, 100)
		added[0].Part = fmt.Sprint(i)
		j.add(added)
		part, next := j.since(cursor)
		must.Len(t, 100, part)
		must.Eq(t, fmt.Sprint(i), part[0].Part)
		cursor = next
	}
	must.Len(t, maxJournal, j.placements)
	for _, behind := range []uint64{0, 1, 1 << 40} {
		part, next := j.since(behind)
		must.Len(t, maxPlacements, part)
		must.Eq(t, 60000, next)
	}
}

// What a router can tell nobody does not pile up.
func TestUntoldPlacementsAreBounded(t *testing.T) {
	w := newWire(1).node(0)
	for i := range 3 * maxUntold {
		w.Start("e1", 0, []warmth.Part{{ID: fmt.Sprint(i)}}).End()
	}
	must.LessEq(t, maxUntold, len(w.placed))
}

// Where all routers have started at once, none reads what every other knows.
func TestLearningIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire(88)
		w.node(0).Start("e1", 10, prompt)
		must.False(t, w.node(1).Learn(t.Context()))
		must.LessEq(t, learnAsked, w.calls)

		w = newWire(learnAsked)
		w.node(0).Start("e1", 10, prompt)
		w.node(0).SetLearned()
		must.True(t, w.node(1).Learn(t.Context()))
		must.Eq(t, map[fleet.UpstreamID]int{"e1": 100}, w.node(1).Cached(prompt))
	})
}
