package grants

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/membership"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// network connects the services of a test in memory, with the same encoding as the mesh.
type network struct {
	mu    sync.Mutex
	nodes map[fleet.HostID]*testRouter
	// dead routers refuse calls. unresponsive routers accept calls and never reply.
	dead, unresponsive map[fleet.HostID]bool
	// partitioned contains the pairs in which the first router cannot reach the second.
	partitioned map[[2]fleet.HostID]bool
}

// testRouter implements port.Peers, port.Members, port.Configuration and port.Versions for one
// service.
type testRouter struct {
	network  *network
	self     fleet.Host
	handlers map[string]port.PeerHandler
	config   *configuration.Snapshot
	service  *Service
	view     *membership.View
	// version is the version that the router chooses for every chat.
	version fleet.Version
}

func (r *testRouter) Handle(method string, handler port.PeerHandler) { r.handlers[method] = handler }

func (r *testRouter) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	r.network.mu.Lock()
	target := r.network.nodes[to]
	dead := r.network.dead[to] || r.network.partitioned[[2]fleet.HostID{r.self.ID, to}]
	unresponsive := r.network.unresponsive[to] && to != r.self.ID
	r.network.mu.Unlock()
	if dead {
		return port.ErrPeerUnreachable
	}
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	value, err := target.handlers[method](ctx, r.self.ID, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	answer, err := msgpack.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	return msgpack.Unmarshal(answer, response)
}

func (r *testRouter) Current() *configuration.Snapshot { return r.config }
func (r *testRouter) Self() fleet.Host                 { return r.self }

func (r *testRouter) locked(step func()) {
	r.network.mu.Lock()
	defer r.network.mu.Unlock()
	step()
}

func (r *testRouter) Routers() (list []fleet.Host) {
	r.locked(func() { list = r.view.Routers(time.Now()) })
	return list
}

func (r *testRouter) Router(id fleet.HostID) (host fleet.Host, found bool) {
	r.locked(func() { host, found = r.view.Router(id) })
	return host, found
}

func (r *testRouter) Upstreams(pool fleet.PoolID) (list []fleet.Upstream) {
	r.locked(func() { list = r.view.Upstreams(pool) })
	return list
}

func (r *testRouter) Usable(pool fleet.PoolID) []fleet.Upstream { return r.Upstreams(pool) }
func (r *testRouter) Suspect(id fleet.HostID)                   { r.locked(func() { r.view.Suspect(time.Now(), id) }) }
func (r *testRouter) Confirm(id fleet.HostID)                   { r.locked(func() { r.view.Confirm(id) }) }

func (r *testRouter) Choose(fleet.PoolID, fleet.ChatID) fleet.Version { return r.version }
func (r *testRouter) Observe(fleet.Evidence)                          {}

const (
	testPool = fleet.PoolID("farrier-lm")
	testTeam = fleet.Team("arima-yard")
	// surgingTeam has a low rate limit and narrowTeam a low concurrency limit.
	surgingTeam = fleet.Team("apprentices")
	surgeRate   = 20
	narrowTeam  = fleet.Team("accounts")
	narrowLimit = 5
)

func testSnapshot(t testing.TB) *configuration.Snapshot {
	t.Helper()
	encode := func(value any) json.RawMessage {
		body, err := json.Marshal(value)
		must.NoError(t, err)
		return body
	}
	pool := configuration.Pool{Name: testPool, Type: configuration.PoolEngine, ColdConcurrency: 2, MaxConcurrency: 8}
	contract := func(team fleet.Team, rate float64, concurrency int) configuration.Item {
		value := configuration.Contract{Team: team, Pools: []fleet.PoolID{testPool}, RequestsPerSecond: rate, Burst: int(rate), Concurrency: concurrency}
		return configuration.Item{Key: configuration.Key{Kind: configuration.KindContract, Name: string(team)}, Revision: 1, Value: encode(value)}
	}
	snapshot, _, err := configuration.Empty().Apply(configuration.Delta{To: 1, Items: []configuration.Item{
		{Key: configuration.Key{Kind: configuration.KindPool, Name: string(testPool)}, Revision: 1, Value: encode(pool)},
		contract(testTeam, 10_000, 0), contract(surgingTeam, surgeRate, 0), contract(narrowTeam, 10_000, narrowLimit),
	}})
	must.NoError(t, err)
	return snapshot
}

func testUpstreams(count int) []fleet.Upstream {
	list := make([]fleet.Upstream, count)
	for i := range list {
		list[i] = fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprint("engine-", i)), Pool: testPool, State: fleet.Live, Weight: 1}
	}
	return list
}

// fakeEngines holds the actual load of the engines, and reports it without delay.
type fakeEngines struct {
	mu      sync.Mutex
	running map[fleet.UpstreamID]int
	// reportsDisabled makes all load reports fail.
	reportsDisabled bool
}

func (e *fakeEngines) Load(_ context.Context, upstream fleet.Upstream) (fleet.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportsDisabled {
		return fleet.LoadReport{}, errors.NotSupportedf("load reports")
	}
	running := e.running[upstream.ID]
	return fleet.LoadReport{Incarnation: "1", Running: running, Work: fleet.Work(running) * requestWork, Completed: 1000, CacheEntries: 9}, nil
}

func (e *fakeEngines) add(on fleet.UpstreamID, change int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[on] += change
	return e.running[on]
}

const requestWork = 100

func newNetwork(t testing.TB, routers int, upstreams []fleet.Upstream, reports port.EngineReports) *network {
	t.Helper()
	n := &network{
		nodes: map[fleet.HostID]*testRouter{}, dead: map[fleet.HostID]bool{}, unresponsive: map[fleet.HostID]bool{},
		partitioned: map[[2]fleet.HostID]bool{},
	}
	var hosts []fleet.Host
	for i := range routers {
		hosts = append(hosts, fleet.Host{ID: fleet.HostID(fmt.Sprint("router-", i)), State: fleet.Live})
	}
	snapshot := testSnapshot(t)
	logger := log.New(io.Discard)
	for i, host := range hosts {
		r := &testRouter{network: n, self: host, handlers: map[string]port.PeerHandler{}, config: snapshot, view: membership.NewView(host)}
		r.view.SetHosts(hosts, upstreams)
		r.service = New(r, r, r, r, int64(i+1)*1_000_000, port.Telemetry{Log: logger})
		if reports != nil {
			r.service.UseReports(reports)
		}
		n.nodes[host.ID] = r
	}
	return n
}

func (n *network) set(step func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	step()
}

// ownerOf returns the owner of a chat's shard, and the first other router by id.
func (n *network) ownerOf(chat fleet.ChatID) (owner, other *testRouter) {
	router := n.nodes["router-0"]
	acq := acquisition{request: testRequest(chat)}
	router.service.route(&acq)
	for id, node := range n.nodes {
		if id == acq.owner {
			owner = node
		} else if other == nil || id < other.self.ID {
			other = node
		}
	}
	return owner, other
}

func testRequest(chat fleet.ChatID) fleet.Request {
	return fleet.Request{
		ID: fleet.RequestID("request-" + chat), Team: testTeam, Pool: testPool, Chat: chat, Decode: requestWork,
		Deadline: time.Now().Add(1300 * time.Millisecond),
	}
}

func chatID(i int) fleet.ChatID { return fleet.ChatID(fmt.Sprint("chat-", i)) }
