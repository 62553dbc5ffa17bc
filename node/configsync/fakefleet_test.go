package configsync

import (
	"context"
	"io"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// roundTrip is the duration of a call between routers.
const roundTrip = 2 * time.Millisecond

// fakeFleet connects routers by function calls, and counts the bytes of the messages.
type fakeFleet struct {
	store *fakeStore

	mu    sync.Mutex
	nodes map[fleet.HostID]*fakeNode
}

// fakeNode is one router. It implements port.Peers and port.Members for its service.
type fakeNode struct {
	*Service
	fleet    *fakeFleet
	host     fleet.Host
	handlers map[string]port.PeerHandler
	link     *storeLink
	stop     context.CancelFunc
	suspects map[fleet.HostID]time.Time
	// storePartitioned and the fields below are guarded by fleet.mu.
	storePartitioned, peersPartitioned bool
	bytes, calls                       int
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{store: newFakeStore(), nodes: map[fleet.HostID]*fakeNode{}}
}

// add starts a router that runs until ctx ends or its stop function is called.
func (f *fakeFleet) add(ctx context.Context, id fleet.HostID, dataCentre fleet.DataCentre) *fakeNode {
	node := &fakeNode{
		fleet: f, host: fleet.Host{ID: id, DataCentre: dataCentre, State: fleet.Live},
		handlers: map[string]port.PeerHandler{}, suspects: map[fleet.HostID]time.Time{},
	}
	node.link = &storeLink{fakeStore: f.store, partitioned: func() bool { return node.get(&node.storePartitioned) }}
	node.Service = New(node.link, port.Telemetry{Log: log.New(io.Discard)})
	node.Join(node, node)
	f.mu.Lock()
	f.nodes[id] = node
	f.mu.Unlock()
	runContext, stop := context.WithCancel(ctx)
	node.stop = stop
	go node.Run(runContext)
	return node
}

func (n *fakeNode) get(flag *bool) bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return *flag
}

func (n *fakeNode) set(flag *bool, value bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	*flag = value
}

// Handle implements port.Peers.
func (n *fakeNode) Handle(method string, handler port.PeerHandler) { n.handlers[method] = handler }

// Call implements port.Peers.
func (n *fakeNode) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	n.fleet.mu.Lock()
	peer, found := n.fleet.nodes[to]
	partitioned := n.peersPartitioned || (found && peer.peersPartitioned)
	n.fleet.mu.Unlock()
	if !found {
		return port.ErrPeerUnreachable
	}
	if partitioned {
		<-ctx.Done()
		return errors.WithType(ctx.Err(), port.ErrPeerUnreachable)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	<-time.After(roundTrip)
	answer, err := peer.handlers[method](ctx, n.host.ID, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	encoded, err := msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	n.countTraffic(peer, len(body)+len(encoded))
	return msgpack.Unmarshal(encoded, response)
}

func (n *fakeNode) countTraffic(peer *fakeNode, bytes int) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.bytes += bytes
	peer.bytes += bytes
	n.calls++
}

// Self implements port.Members.
func (n *fakeNode) Self() fleet.Host { return n.host }

// Routers implements port.Members.
func (n *fakeNode) Routers() []fleet.Host {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var hosts []fleet.Host
	for id, node := range n.fleet.nodes {
		if !time.Now().Before(n.suspects[id]) {
			hosts = append(hosts, node.host)
		}
	}
	return hosts
}

// Router implements port.Members.
func (n *fakeNode) Router(fleet.HostID) (fleet.Host, bool) { return fleet.Host{}, false }

// Upstreams implements port.Members.
func (n *fakeNode) Upstreams(fleet.PoolID) []fleet.Upstream { return nil }

// Usable implements port.Members.
func (n *fakeNode) Usable(fleet.PoolID) []fleet.Upstream { return nil }

// Suspect implements port.Members.
func (n *fakeNode) Suspect(id fleet.HostID) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.suspects[id] = time.Now().Add(4 * time.Second)
}

// Confirm implements port.Members.
func (n *fakeNode) Confirm(id fleet.HostID) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	delete(n.suspects, id)
}
