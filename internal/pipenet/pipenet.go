// Package pipenet is a network in memory for tests. It works in testing/synctest, and its
// connections can go silent while new ones work.
package pipenet

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrRefused means that nobody listens on an address.
const ErrRefused = errors.ConstError("connection refused")

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Network connects dialers to listeners by address. Its zero value is empty.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	open      []*connection
	dials     int
	links     map[string]*link
}

// link is what a host's listeners send over, one write at a time.
type link struct {
	// free has room for the one write that is on its way.
	free           chan struct{}
	bytesPerSecond int
}

// Throttle limits what new connections to a host's listeners bring back together.
func (n *Network) Throttle(host string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil {
		n.links = map[string]*link{}
	}
	n.links[host] = &link{free: make(chan struct{}, 1), bytesPerSecond: bytesPerSecond}
}

func (l *link) carry(bytes int) {
	l.free <- struct{}{}
	time.Sleep(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	<-l.free
}

// Listen opens an address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	made := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = made
	return made
}

// Dial connects to an address.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	target, found := n.listeners[address]
	n.dials++
	host, _, _ := strings.Cut(address, ":")
	over := n.links[host]
	n.mu.Unlock()
	if !found {
		return nil, errors.Trace(ErrRefused)
	}
	near, far := net.Pipe()
	nearEnd, farEnd := newConnection(near), newConnection(far)
	farEnd.link = over
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

// Dials returns how many connections were tried.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// Silence makes every open connection lose all that is written to it from now on. It
// stays open.
func (n *Network) Silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, connection := range n.open {
		connection.silence()
	}
	n.open = nil
}

func (n *Network) forget(address string) {
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
		l.network.forget(l.address)
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// connection is one end of a pipe.
type connection struct {
	net.Conn
	// link is nil on an end that is not throttled.
	link *link

	mu     sync.Mutex
	silent bool
}

func newConnection(end net.Conn) *connection { return &connection{Conn: end} }

func (c *connection) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *connection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Write implements net.Conn. What a silent connection is given is lost.
func (c *connection) Write(buffer []byte) (int, error) {
	if c.isSilent() {
		return len(buffer), nil
	}
	if c.link != nil {
		c.link.carry(len(buffer))
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn. The other end of a silent connection does not hear of it.
func (c *connection) Close() error {
	if c.isSilent() {
		// The pipe has no half-close, so this end's reads are woken by their deadline.
		return c.Conn.SetReadDeadline(longAgo)
	}
	return c.Conn.Close()
}
