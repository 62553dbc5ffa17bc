// Package pipenet is a network in memory for tests. It works in testing/synctest, and its
// connections can go silent while new ones work.
package pipenet

import (
	"context"
	"net"
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
	n.mu.Unlock()
	if !found {
		return nil, errors.Trace(ErrRefused)
	}
	near, far := net.Pipe()
	nearEnd, farEnd := newConnection(near), newConnection(far)
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
