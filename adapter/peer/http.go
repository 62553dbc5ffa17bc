package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// useHTTP in a hello asks for a connection that carries HTTP/1.1 after the handshake, in place of frames.
const useHTTP = "http"

// httpConnection is a connection for HTTP from an authenticated router.
type httpConnection struct {
	net.Conn
	from fleet.HostID
	once sync.Once
	done chan struct{}
}

// Close implements net.Conn.
func (c *httpConnection) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// httpListener returns the incoming HTTP connections. It implements net.Listener.
type httpListener struct {
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
	address  net.Addr
}

// Accept implements net.Listener.
func (l *httpListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *httpListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *httpListener) Addr() net.Addr { return l.address }

// peerAddr is the address of a mesh.
type peerAddr fleet.HostID

// Network implements net.Addr.
func (peerAddr) Network() string { return "mesh" }

// String implements net.Addr.
func (a peerAddr) String() string { return string(a) }

// HTTPListener returns the listener of the HTTP connections that other routers open. There is one for each mesh.
func (m *Mesh) HTTPListener() net.Listener { return m.http }

// CallingRouter returns the router that has opened an HTTP connection.
func CallingRouter(connection net.Conn) (fleet.HostID, bool) {
	incoming, found := connection.(*httpConnection)
	if !found {
		return "", false
	}
	return incoming.from, true
}

// DialHTTP opens a connection for HTTP to a router.
func (m *Mesh) DialHTTP(ctx context.Context, to fleet.HostID) (net.Conn, error) {
	host, found := m.directory.Router(to)
	if !found {
		return nil, errors.Errorf("router %q is not known", to)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := m.dial(ctx, "tcp", host.PeerAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	abort := context.AfterFunc(ctx, func() { raw.Close() })
	err = clientHandshake(raw, m.key, hello{From: m.self, To: to, Use: useHTTP})
	if !abort() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	return countedConn{Conn: raw, mesh: m}, nil
}

// serveHTTP passes a connection to the HTTP server and returns when it is closed.
func (m *Mesh) serveHTTP(ctx context.Context, accepted net.Conn, from fleet.HostID) {
	connection := &httpConnection{Conn: accepted, from: from, done: make(chan struct{})}
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case m.http.accepted <- connection:
	case <-m.http.closed:
		connection.Close()
	case <-timer.C:
		m.log.Warn("peer refused: no HTTP server accepts its connection", "peer", from)
		connection.Close()
	case <-ctx.Done():
		connection.Close()
	}
	<-connection.done
}
