package grants

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/adapter/peer"
	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/fleet"
	"agateswitch/port"
	"agateswitch/standin/engine"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// The capacity target of CONTRIBUTING.md.
const (
	targetRouters = 380
	targetRate    = 2600.0
	targetShards  = 75
	targetBudget  = 28_000.0
	// shardsOfOwner is the maximum number of shards that placement.Owners assigns to one router at
	// the target.
	shardsOfOwner  = 1
	enginesOfShard = 8
	testVersion    = "2026-03-01"
)

// meshRouter is a service on a real mesh, with the view of the fleet of a test router.
type meshRouter struct {
	*testRouter
	mesh *peer.Mesh
}

// bytes returns the number of bytes that the router has sent and received.
func (r meshRouter) bytes() float64 {
	sent, received := r.mesh.Traffic()
	return float64(sent + received)
}

// meshPair connects two services over loopback TCP. It returns the owner of chat-1's shard first.
func meshPair(t testing.TB) (owner, entry meshRouter) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	t.Cleanup(func() { stop(); group.Wait() })
	var listeners [2]net.Listener
	var hosts []fleet.Host
	for i := range listeners {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		hosts = append(hosts, fleet.Host{ID: fleet.HostID(fmt.Sprint("tunapuna-10", i)), State: fleet.Live, PeerAddress: listeners[i].Addr().String()})
	}
	upstreams := testUpstreams(enginesOfShard)
	for i := range upstreams {
		upstreams[i].ID = fleet.UpstreamID(fmt.Sprint("farrier-lm-5", i))
		upstreams[i].Version = testVersion
	}
	var routers []meshRouter
	for i, host := range hosts {
		base := newNetwork(t, 1, upstreams, nil).nodes["router-0"]
		base.self = host
		base.view.SetSelfState(fleet.Leaving)
		base.view.SetHosts(hosts, upstreams)
		mesh := peer.New(host.ID, base, testPeerKey, log.New(io.Discard))
		base.service = New(base, base, base, mesh, time.Now().UnixNano(), port.Telemetry{Log: log.New(io.Discard)})
		group.Go(func() error { return mesh.Serve(ctx, listeners[i]) })
		routers = append(routers, meshRouter{testRouter: base, mesh: mesh})
	}
	acq := acquisition{request: testRequest("chat-1")}
	routers[0].service.route(&acq)
	if acq.owner == hosts[0].ID {
		return routers[0], routers[1]
	}
	return routers[1], routers[0]
}

// testPeerKey is the peer key of all routers in a test.
const testPeerKey = "a-peer-key-for-tests-of-32-characters"

// countedListener counts the bytes of its connections in both directions.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return countedConn{Conn: connection, bytes: l.bytes}, err
}

func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

// bytesPerReport returns the bytes of one load report, read from a stand-in engine over HTTP.
func bytesPerReport(t *testing.T) float64 {
	const reports = 50
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var bytes atomic.Int64
	server := &http.Server{Handler: engine.New(engine.Options{ID: "farrier-lm-50"}), ReadHeaderTimeout: time.Minute}
	served := make(chan struct{})
	go func() { server.Serve(countedListener{Listener: listener, bytes: &bytes}); close(served) }()
	client := upstreamhttp.New()
	for range reports {
		_, err := client.Load(t.Context(), fleet.Upstream{ID: "farrier-lm-50", Address: listener.Addr().String()})
		must.NoError(t, err)
	}
	must.NoError(t, server.Close())
	<-served
	return float64(bytes.Load()) / reports
}

// At the target size, a router that owns shardsOfOwner shards stays within its control traffic. The
// traffic consists of its decisions as owner and as entry router, each with its completion in a
// separate message, of a draw on the team's budget for each request, and of load reports.
func TestDecisionFitsControlTraffic(t *testing.T) {
	const decisions = 200
	owner, entry := meshPair(t)
	for i := range decisions {
		request := testRequest(fleet.ChatID(fmt.Sprintf("arima-yard/5f0c1c9e-%08d", i)))
		request.Prefill = 3000
		message := entry.service.acquireMessage(time.Now(), request, testVersion, fleet.Upstream{ID: "farrier-lm-50"}, uint64(time.Now().UnixNano()))
		var reply acquireReply
		must.NoError(t, entry.mesh.Call(t.Context(), owner.self.ID, methodAcquire, message, &reply))
		end := endMessage{Completions: []completionMessage{{Grant: reply.Grant, FirstToken: 900, Decoded: 400, Age: 150}}}
		must.Nil(t, reply.Refusal)
		must.NoError(t, entry.mesh.Call(t.Context(), owner.self.ID, methodEnd, end, &emptyReply{}))
	}
	perDecision := owner.bytes() / decisions
	before := owner.bytes()
	for range decisions {
		message := budgetMessage{Draws: []drawMessage{{Team: string(testTeam), Tokens: 3, Running: 12, Slots: 14}}}
		must.NoError(t, entry.mesh.Call(t.Context(), owner.self.ID, methodBudget, message, &budgetReply{}))
	}
	perDraw := (owner.bytes() - before) / decisions
	perReport := bytesPerReport(t)
	asOwner := targetRate / targetShards * shardsOfOwner * perDecision
	asEntry := targetRate / targetRouters * (perDecision + perDraw)
	asBudgetOwner := targetRate / targetRouters * perDraw
	perSecond := asOwner + asEntry + asBudgetOwner + shardsOfOwner*enginesOfShard*perReport
	t.Logf("bytes: %.0f a decision, %.0f a draw, %.0f a report; a second at the target: %.0f", perDecision, perDraw, perReport, perSecond)
	must.LessEq(t, targetBudget, perSecond)
}
