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

// Limits of connections between routers.
const (
	dialTimeout  = time.Second
	writeTimeout = 500 * time.Millisecond
)

// Directory finds the address of a router.
type Directory interface {
	Router(id fleet.HostID) (fleet.Host, bool)
}

// Dial makes a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Mesh is a port.Peers over TCP. It is safe for concurrent use. A call whose connection
// is lost or silent is sent once more over a fresh one, so that a handler may see it twice.
type Mesh struct {
	self      fleet.HostID
	directory Directory
	key       []byte
	log       *log.Logger
	dial      Dial
	handlers  map[string]port.PeerHandler

	// mu guards links, which calls of all parts of the router use.
	mu    sync.Mutex
	links map[fleet.HostID]*link

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// New makes the mesh of a router. The key is the same on every router of the fleet.
func New(self fleet.HostID, directory Directory, key string, logger *log.Logger) *Mesh {
	return NewOn((&net.Dialer{}).DialContext, self, directory, key, logger)
}

// NewOn makes a mesh that connects by dial.
func NewOn(dial Dial, self fleet.HostID, directory Directory, key string, logger *log.Logger) *Mesh {
	return &Mesh{
		self: self, directory: directory, key: []byte(key), log: logger, dial: dial,
		handlers: map[string]port.PeerHandler{}, links: map[fleet.HostID]*link{},
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
	message := envelope{Kind: kindRequest, Method: method, Body: body}
	answer, err := m.send(ctx, to, message)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "calling %s on %s", method, to), port.ErrPeerUnreachable)
	}
	if answer.Error != "" {
		return errors.Errorf("%s on %s: %s", method, to, answer.Error)
	}
	return errors.Annotatef(decode(answer.Body, response), "decoding %s", method)
}

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

func (m *Mesh) link(host fleet.Host) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.links[host.ID]
	if found && known.address == host.PeerAddress {
		return known
	}
	if found {
		known.close()
	} else {
		m.dropLost()
	}
	made := newLink(m, host.ID, host.PeerAddress)
	m.links[host.ID] = made
	return made
}

// dropLost forgets the links of routers that are no more known. Hosts are replaced, and
// their ids do not return.
func (m *Mesh) dropLost() {
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
