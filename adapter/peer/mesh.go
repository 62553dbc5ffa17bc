package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Timeouts of connections between routers.
const (
	dialTimeout = time.Second
	// writeTimeout bounds the write of one chunk of a frame.
	writeTimeout = 500 * time.Millisecond
)

// Directory looks up routers by id.
type Directory interface {
	Router(id fleet.HostID) (fleet.Host, bool)
}

// Dial establishes a connection, with the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Mesh implements port.Peers over TCP. It is safe for concurrent use. A call whose connection is
// lost or stalled is sent once more over a new one, so a handler may receive a call twice.
type Mesh struct {
	self      fleet.HostID
	directory Directory
	key       []byte
	log       *log.Logger
	dial      Dial
	handlers  map[string]port.PeerHandler
	http      *httpListener

	// mu guards links, which concurrent calls share.
	mu    sync.Mutex
	links map[fleet.HostID]*link

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// New returns the mesh of a router. The key is shared by all routers of the fleet.
func New(self fleet.HostID, directory Directory, key string, logger *log.Logger) *Mesh {
	return NewWithDial((&net.Dialer{}).DialContext, self, directory, key, logger)
}

// NewWithDial returns a mesh that connects with dial.
func NewWithDial(dial Dial, self fleet.HostID, directory Directory, key string, logger *log.Logger) *Mesh {
	return &Mesh{
		self: self, directory: directory, key: []byte(key), log: logger, dial: dial,
		handlers: map[string]port.PeerHandler{}, links: map[fleet.HostID]*link{},
		http: &httpListener{accepted: make(chan net.Conn), closed: make(chan struct{}), address: peerAddr(self)},
	}
}

// Handle implements port.Peers.
func (m *Mesh) Handle(method string, handler port.PeerHandler) {
	m.handlers[method] = handler
}

// Traffic returns the number of bytes sent and received since the mesh was created.
func (m *Mesh) Traffic() (sent, received int64) {
	return m.sentBytes.Load(), m.receivedBytes.Load()
}

// Call implements port.Peers.
func (m *Mesh) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Annotatef(err, "encoding %s", method)
	}
	message := envelope{Kind: kindRequest, Method: method, Body: body}
	answer, err := m.send(ctx, to, message)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "calling %s on %s", method, to), port.ErrPeerUnreachable)
	}
	if answer.Error == unknownMethod+method {
		return errors.Annotatef(port.ErrUnknownMethod, "%s on %s", method, to)
	}
	if answer.Error != "" {
		return errors.Errorf("%s on %s: %s", method, to, answer.Error)
	}
	return errors.Annotatef(decode(answer.Body, response), "decoding %s", method)
}

// send delivers a request to a router, or handles it locally when the router is this one.
func (m *Mesh) send(ctx context.Context, to fleet.HostID, message envelope) (envelope, error) {
	if to == m.self {
		return m.handle(ctx, m.self, message), nil
	}
	host, found := m.directory.Router(to)
	if !found {
		return envelope{}, errors.Errorf("router %q is not known", to)
	}
	return m.link(host).call(ctx, message)
}

// link returns the link to a host, creating or replacing it as needed.
func (m *Mesh) link(host fleet.Host) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	existing, found := m.links[host.ID]
	if found && existing.address == host.PeerAddress {
		return existing
	}
	if found {
		existing.close()
	} else {
		m.closeDeparted()
	}
	created := newLink(m, host.ID, host.PeerAddress)
	m.links[host.ID] = created
	return created
}

// closeDeparted closes and removes the links of routers that are no longer in the directory. Hosts
// are replaced under new ids, so these links would accumulate.
func (m *Mesh) closeDeparted() {
	for id, known := range m.links {
		if _, found := m.directory.Router(id); !found {
			known.close()
			delete(m.links, id)
		}
	}
}

func (m *Mesh) closeLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, known := range m.links {
		known.close()
	}
}
