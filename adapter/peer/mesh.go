package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Limits of connections between routers.
const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
)

// Directory finds the address of a router.
type Directory interface {
	Router(id fleet.HostID) (fleet.Host, bool)
}

// Mesh is a port.Peers over TCP. It is safe for concurrent use.
type Mesh struct {
	self      fleet.HostID
	directory Directory
	handlers  map[string]port.PeerHandler

	mu    sync.Mutex
	links map[fleet.HostID]*link

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// New makes the mesh of a router.
func New(self fleet.HostID, directory Directory) *Mesh {
	return &Mesh{
		self:      self,
		directory: directory,
		handlers:  map[string]port.PeerHandler{},
		links:     map[fleet.HostID]*link{},
	}
}

// Handle implements port.Peers.
func (m *Mesh) Handle(method string, handler port.PeerHandler) {
	m.handlers[method] = handler
}

// Traffic returns the bytes sent and received since the start.
func (m *Mesh) Traffic() (sent, received int64) {
	return m.sentBytes.Load(), m.receivedBytes.Load()
}

// Call implements port.Peers.
func (m *Mesh) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Annotatef(err, "encoding %s", method)
	}
	if to == m.self {
		return m.callSelf(ctx, method, body, response)
	}
	host, found := m.directory.Router(to)
	if !found {
		return errors.WithType(errors.Errorf("router %q is not known", to), port.ErrPeerUnreachable)
	}
	answer, err := m.link(host).call(ctx, envelope{Kind: kindRequest, From: string(m.self), Method: method, Body: body})
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "calling %s on %s", method, to), port.ErrPeerUnreachable)
	}
	if answer.Error != "" {
		return errors.Errorf("%s on %s: %s", method, to, answer.Error)
	}
	return errors.Annotatef(msgpack.Unmarshal(answer.Body, response), "decoding %s", method)
}

func (m *Mesh) callSelf(ctx context.Context, method string, body []byte, response any) error {
	answer := m.handle(ctx, envelope{From: string(m.self), Method: method, Body: body})
	if answer.Error != "" {
		return errors.New(answer.Error)
	}
	return errors.Trace(msgpack.Unmarshal(answer.Body, response))
}

func (m *Mesh) link(host fleet.Host) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.links[host.ID]
	if !found || known.address != host.PeerAddress {
		known = &link{mesh: m, address: host.PeerAddress, waiting: map[uint64]chan envelope{}}
		m.links[host.ID] = known
	}
	return known
}

// Serve answers peers on the listener until ctx ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		connection, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "accepting a peer")
		}
		go m.serveConnection(ctx, connection)
	}
}

func (m *Mesh) serveConnection(ctx context.Context, connection net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { connection.Close() })
	counted := countedConn{Conn: connection, mesh: m}
	var writing sync.Mutex
	for {
		message, err := readFrame(counted)
		if err != nil {
			return
		}
		go func() {
			answer := m.handle(ctx, message)
			writing.Lock()
			defer writing.Unlock()
			connection.SetWriteDeadline(time.Now().Add(writeTimeout))
			if writeFrame(counted, answer) != nil {
				cancel()
			}
		}()
	}
}

func (m *Mesh) handle(ctx context.Context, message envelope) envelope {
	answer := envelope{Kind: kindResponse, ID: message.ID}
	if message.Kind == kindPing {
		answer.Kind = kindPong
		return answer
	}
	handler, found := m.handlers[message.Method]
	if !found {
		answer.Error = "unknown method " + message.Method
		return answer
	}
	decode := func(into any) error { return msgpack.Unmarshal(message.Body, into) }
	value, err := handler(ctx, fleet.HostID(message.From), decode)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	body, err := msgpack.Marshal(value)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Body = body
	return answer
}
