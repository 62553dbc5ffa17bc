package upstreamhttp

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"
)

// errSealed means that a write came after its call had been given up.
const errSealed = errors.ConstError("call was given up before it was sent")

// trackedConn knows whether bytes of the current call were written to it.
type trackedConn struct {
	net.Conn

	// mu orders the start of a write against seal: a call that seal reports as unwritten
	// can send nothing afterwards.
	mu      sync.Mutex
	written bool
	sealed  bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(buffer []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(buffer)
}

// begin starts a call. The transport gives a connection to one call at a time, and to
// the next only when the last one is written whole.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal ends the connection and tells whether bytes of the call can have been sent.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	c.Conn.Close()
	return written
}

// flight follows one call over the connections that the transport tries for it.
type flight struct {
	mu          sync.Mutex
	connections []*trackedConn
}

func (f *flight) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection, tracked := info.Conn.(*trackedConn)
		if !tracked {
			panic("a connection that the client's dialer did not make")
		}
		connection.begin()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.connections = append(f.connections, connection)
	}}
}

// abort ends the call's connections and tells whether bytes of it can have been sent.
func (f *flight) abort() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := false
	for _, connection := range f.connections {
		if connection.seal() {
			sent = true
		}
	}
	return sent
}

// isConnected tells whether the call ever had a connection.
func (f *flight) isConnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.connections) > 0
}
