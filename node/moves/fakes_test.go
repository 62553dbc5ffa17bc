package moves

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Delays of the fakes.
const (
	callDelay = time.Millisecond
	// configDelay is the maximum time until a router receives a change of configuration.
	configDelay = 2 * time.Second
	suspectTime = 5 * time.Second
)

// fakeFleet is a set of routers that share a mesh, a store and a host list, in virtual time.
type fakeFleet struct {
	mu      sync.Mutex
	routers map[fleet.HostID]*fakeRouter
	// partitioned holds routers that can't exchange messages with others; withoutStore those that
	// can't reach the store.
	partitioned  map[fleet.HostID]bool
	withoutStore map[fleet.HostID]bool
	storeDown    bool
	// loseAnswers is the number of next writes that take effect without an answer.
	loseAnswers int
	revision    configuration.Revision
	items       map[configuration.Key]configuration.Item
	upstreams   []fleet.Upstream
	running     sync.WaitGroup
	stop        context.CancelFunc
	ctx         context.Context
}

// fakeRouter implements the ports of one router and has its service.
type fakeRouter struct {
	fleet    *fakeFleet
	host     fleet.Host
	service  *Service
	handlers map[string]port.PeerHandler
	suspects map[fleet.HostID]time.Time
	snapshot *configuration.Snapshot
	sent     int
	received int
	stop     context.CancelFunc
}

func newFakeFleet(routers int) *fakeFleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &fakeFleet{
		routers: map[fleet.HostID]*fakeRouter{}, partitioned: map[fleet.HostID]bool{}, withoutStore: map[fleet.HostID]bool{},
		items: map[configuration.Key]configuration.Item{}, ctx: ctx, stop: stop,
		upstreams: []fleet.Upstream{
			{ID: "e1", Pool: testPool, Version: "1", State: fleet.Live}, {ID: "e2", Pool: testPool, Version: "2", State: fleet.Live},
		},
	}
	f.put(configuration.Key{Kind: configuration.KindPool, Name: testPool}, configuration.Pool{Name: testPool, Type: configuration.PoolEngine, Version: "1"})
	for i := range routers {
		f.start(fleet.HostID(fmt.Sprintf("h%d", i)))
	}
	return f
}

const testPool = "farrier-lm"

func (f *fakeFleet) put(key configuration.Key, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.revision++
	f.items[key] = configuration.Item{Key: key, Revision: f.revision, Value: encoded}
}

func (f *fakeFleet) start(id fleet.HostID) *fakeRouter {
	ctx, stop := context.WithCancel(f.ctx)
	r := &fakeRouter{
		fleet: f, host: fleet.Host{ID: id, State: fleet.Live}, handlers: map[string]port.PeerHandler{},
		suspects: map[fleet.HostID]time.Time{}, snapshot: configuration.Empty(), stop: stop,
	}
	r.service = New(r, nil, r, r, port.Telemetry{Log: log.New(io.Discard)})
	r.service.UseWriter(r)
	r.readStore()
	f.mu.Lock()
	f.routers[id] = r
	f.mu.Unlock()
	f.running.Go(func() { r.service.Run(ctx) })
	delay := configDelay / time.Duration(1+len(f.routers)%7)
	f.running.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-time.After(delay):
				r.readStore()
			case <-ctx.Done():
			}
		}
	})
	return r
}

func (f *fakeFleet) shutDown() {
	f.stop()
	f.running.Wait()
}

func (f *fakeFleet) all() []*fakeRouter {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*fakeRouter
	for _, router := range f.routers {
		all = append(all, router)
	}
	slices.SortFunc(all, func(a, b *fakeRouter) int { return len(a.host.ID)*1000 - len(b.host.ID)*1000 + compare(a, b) })
	return all
}

func compare(a, b *fakeRouter) int {
	if a.host.ID < b.host.ID {
		return -1
	}
	return 1
}

// readStore applies the complete configuration of the store, in place of a configuration service.
// A host that starts during an outage gets the same configuration, as if from its peers.
func (r *fakeRouter) readStore() {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if (f.storeDown && r.snapshot.Revision() > 0) || f.withoutStore[r.host.ID] {
		return
	}
	delta := configuration.Delta{From: r.snapshot.Revision(), To: f.revision}
	for _, item := range f.items {
		delta.Items = append(delta.Items, item)
	}
	next, changed, err := r.snapshot.Apply(delta)
	if err != nil {
		panic(err)
	}
	if changed {
		r.snapshot = next
	}
}

func (r *fakeRouter) Current() *configuration.Snapshot {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.snapshot
}

func (r *fakeRouter) WriteItem(ctx context.Context, key configuration.Key, value json.RawMessage,
	expected configuration.Revision) (configuration.Revision, *fleet.Refusal) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	unknown := fleet.RefuseUnknown(fleet.CodeStoreDown, "no answer")
	if f.storeDown || f.withoutStore[r.host.ID] {
		return 0, unknown
	}
	if f.items[key].Revision != expected {
		return 0, fleet.Refuse(fleet.CodeConflict, "the item has changed", 0)
	}
	f.revision++
	f.items[key] = configuration.Item{Key: key, Revision: f.revision, Value: value}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return 0, unknown
	}
	return f.revision, nil
}

func (r *fakeRouter) Self() fleet.Host { return r.host }

func (r *fakeRouter) Routers() []fleet.Host {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	var hosts []fleet.Host
	for id, router := range r.fleet.routers {
		if time.Now().After(r.suspects[id]) {
			hosts = append(hosts, router.host)
		}
	}
	return hosts
}

func (r *fakeRouter) Router(id fleet.HostID) (fleet.Host, bool) { return fleet.Host{ID: id}, true }

func (r *fakeRouter) Upstreams(fleet.PoolID) []fleet.Upstream {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.fleet.upstreams
}

func (r *fakeRouter) Usable(pool fleet.PoolID) []fleet.Upstream { return r.Upstreams(pool) }

func (r *fakeRouter) Suspect(id fleet.HostID) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.suspects[id] = time.Now().Add(suspectTime)
}

func (r *fakeRouter) Confirm(id fleet.HostID) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	delete(r.suspects, id)
}

func (r *fakeRouter) Handle(method string, handler port.PeerHandler) { r.handlers[method] = handler }

func (r *fakeRouter) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	select {
	case <-time.After(callDelay):
	case <-ctx.Done():
	}
	r.fleet.mu.Lock()
	target := r.fleet.routers[to]
	unreachable := target == nil || r.fleet.partitioned[to] || r.fleet.partitioned[r.host.ID]
	r.sent += len(body)
	if !unreachable {
		target.received += len(body)
	}
	r.fleet.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return errors.Trace(port.ErrPeerUnreachable)
	}
	answer, err := target.handlers[method](ctx, r.host.ID, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	encoded, err := msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	r.fleet.mu.Lock()
	r.received += len(encoded)
	target.sent += len(encoded)
	r.fleet.mu.Unlock()
	return msgpack.Unmarshal(encoded, response)
}
