// Package pipenet is an in-memory network for tests. It works in testing/synctest bubbles, and it
// can discard all traffic of open connections while new connections work.
package pipenet

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrRefused is returned by Dial when there is no listener on the address.
const ErrRefused = errors.ConstError("connection refused")

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Network connects dialers to listeners by address. The zero value is a network without listeners.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	open      []*connection
	dials     int
	links     map[string]*link
	cuts      []cut
}

// chunkBytes is how much of a write is transmitted at a time. Concurrent writes take turns.
const chunkBytes = 8 << 10

// link is the shared outbound bandwidth of a host's listeners. It transmits one chunk at a time.
type link struct {
	// writing holds an element while a chunk is being transmitted.
	writing        chan struct{}
	bytesPerSecond int
}

// Throttle limits the total bandwidth from a host's listeners to dialers, on new connections.
func (n *Network) Throttle(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = map[string]*link{}
	}
	n.links[host] = &link{writing: make(chan struct{}, 1), bytesPerSecond: bytesPerSecond}
}

func (l *link) transmit(bytes int) {
	l.writing <- struct{}{}
	time.Sleep(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	<-l.writing
}

// Listen returns a listener on an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	created := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = created
	return created
}

// Dial connects to an address.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return Host{network: n}.Dial(ctx, network, address)
}

// Host is a named host of the network, whose connections can be cut.
type Host struct {
	network *Network
	name    string
}

// Host returns a host by its name.
func (n *Network) Host(name string) Host { return Host{network: n, name: name} }

// Dial connects to an address.
func (h Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	effect, isCut := n.cutOf(h.name, address)
	n.mu.Unlock()
	if isCut && effect == Silent {
		ctx, cancel := context.WithTimeout(ctx, silentDialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if isCut {
		return nil, errors.Trace(ErrRefused)
	}
	n.mu.Lock()
	target, found := n.listeners[address]
	n.dials++
	host, _, _ := strings.Cut(address, ":")
	hostLink := n.links[host]
	n.mu.Unlock()
	if !found {
		return nil, errors.Trace(ErrRefused)
	}
	near, far := net.Pipe()
	nearEnd, farEnd := newConnection(near), newConnection(far)
	nearEnd.from, nearEnd.to, farEnd.from, farEnd.to = h.name, address, h.name, address
	farEnd.link = hostLink
	select {
	case target.accepted <- farEnd:
	case <-target.closed:
		return nil, errors.Trace(ErrRefused)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, nearEnd, farEnd)
	return nearEnd, nil
}

// Dials returns the number of connection attempts, including failed ones.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Blackhole makes all open connections discard what either end writes from now on. They stay open.
func (n *Network) Blackhole() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range n.open {
		connection.blackhole()
	}
	n.open = nil
}

func (n *Network) removeListener(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.removeListener(l.address)
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// connection is one end of a pipe. It can be throttled and blackholed.
type connection struct {
	net.Conn
	// link is nil on an end that is not throttled.
	link *link
	// from is the name of the host that has dialled, and to the address.
	from, to string

	mu         sync.Mutex
	blackholed bool
}

func newConnection(end net.Conn) *connection { return &connection{Conn: end} }

func (c *connection) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed = true
}

func (c *connection) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

// Write implements net.Conn. A blackholed connection discards the data and reports success.
func (c *connection) Write(buffer []byte) (int, error) {
	if c.isBlackholed() {
		return len(buffer), nil
	}
	if c.link == nil {
		return c.Conn.Write(buffer)
	}
	written := 0
	for written < len(buffer) {
		chunk := buffer[written:min(len(buffer), written+chunkBytes)]
		c.link.transmit(len(chunk))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn. The other end of a blackholed connection is not notified.
func (c *connection) Close() error {
	if c.isBlackholed() {
		// A pipe has no half-close, so a deadline in the past ends the pending reads of this end.
		return c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.Conn.Close()
}
