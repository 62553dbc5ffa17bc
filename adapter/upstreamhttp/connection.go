package upstreamhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"time"

	"agateswitch/port"

	"github.com/juju/errors"
)

// errSealed is returned by a write after the connection was sealed.
const errSealed = errors.ConstError("call was given up before it was sent")

// trackedConn records whether bytes of the current call may have been written to it.
type trackedConn struct {
	net.Conn

	// mu serialises seal and the start of a write, so that a call that seal reports as unwritten
	// cannot send any byte afterwards.
	mu      sync.Mutex
	written bool
	sealed  bool
	// writeEnded is closed at the end of the write that is under way; nil before the first one. writeFailed is true once one has failed.
	writeEnded  chan struct{}
	writeFailed bool
	// strip is the beginning of the current call's request line, up to a scheme that must not be sent.
	strip string
}

// Write implements net.Conn.
func (c *trackedConn) Write(buffer []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written = true
	ended := make(chan struct{})
	c.writeEnded = ended
	strip := c.strip
	c.strip = ""
	c.mu.Unlock()
	write := c.Conn.Write
	if strip != "" && bytes.HasPrefix(buffer, []byte(strip)) {
		write = func(buffer []byte) (int, error) { return c.writeWithoutScheme(buffer, strip) }
	}
	n, err := write(buffer)
	c.mu.Lock()
	c.writeFailed = c.writeFailed || err != nil
	c.mu.Unlock()
	close(ended)
	return n, err
}

// Read implements net.Conn. The kernel reports a reset once, to the write that is under way; reads then look as if the connection had
// ended in order.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err == io.EOF && c.isUploadCut() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// isUploadCut reports whether a connection that has ended did so before all of the call was written. It closes the connection, which ends
// a write that is blocked.
func (c *trackedConn) isUploadCut() bool {
	c.Conn.Close()
	c.mu.Lock()
	ended := c.writeEnded
	c.mu.Unlock()
	if ended != nil {
		<-ended
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFailed
}

// writeWithoutScheme writes the beginning of a request without the scheme at the end of strip.
func (c *trackedConn) writeWithoutScheme(buffer []byte, strip string) (int, error) {
	line := append([]byte(strings.TrimSuffix(strip, scheme+":")), buffer[len(strip):]...)
	n, err := c.Conn.Write(line)
	if err != nil {
		return min(n, len(buffer)), err
	}
	return len(buffer), nil
}

// begin marks the start of a call. The transport assigns a connection to one call at a time, and
// to the next one only after the previous call was written completely.
func (c *trackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// setStrip sets strip for the call that has begun.
func (c *trackedConn) setStrip(strip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strip = strip
}

// mayBeWritten reports whether bytes of the current call may have been written.
func (c *trackedConn) mayBeWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection, makes further writes fail, and reports whether bytes of the call may
// have been sent.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	c.sealed = true
	written := c.written
	c.mu.Unlock()
	c.Conn.Close()
	return written
}

// callTracker records the connections that the transport uses for one call.
type callTracker struct {
	// maySend is port.UpstreamCall.MaySend. It may be nil.
	maySend func() bool
	// connectTimeout is port.UpstreamCall.ConnectTimeout.
	connectTimeout time.Duration
	// strip is that of the call's connections.
	strip string

	mu          sync.Mutex
	connections []*trackedConn
	withdrawn   bool
	// expired is true once connectTimeout has passed without a connection. One that comes then is not used.
	expired bool
}

// boundConnect cancels the call if it has no connection within connectTimeout. The returned function ends that.
func (t *callTracker) boundConnect(cancel context.CancelCauseFunc) (stop func()) {
	if t.connectTimeout <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(t.connectTimeout, func() {
		t.mu.Lock()
		t.expired = len(t.connections) == 0
		expired := t.expired
		t.mu.Unlock()
		if expired {
			cancel(errors.Trace(port.ErrConnectTimeout))
		}
	})
	return func() { timer.Stop() }
}

// trace returns the hook that adds each connection of the call to the tracker.
func (t *callTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection, tracked := info.Conn.(*trackedConn)
		if !tracked {
			panic("upstreamhttp: the transport used a connection that the client's dialer did not create")
		}
		connection.begin()
		connection.setStrip(t.strip)
		withdrawn := t.maySend != nil && !t.maySend()
		if withdrawn {
			connection.seal()
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		// The transport sends some requests again on its own when a kept connection ends.
		if t.expired || t.mayBeSent() {
			connection.seal()
		}
		t.connections = append(t.connections, connection)
		t.withdrawn = t.withdrawn || withdrawn
	}}
}

// mayBeSent reports whether bytes of the call may have been written to an earlier connection. The caller holds mu.
func (t *callTracker) mayBeSent() bool {
	return slices.ContainsFunc(t.connections, (*trackedConn).mayBeWritten)
}

// abort closes the call's connections and reports whether bytes of the call may have been sent.
func (t *callTracker) abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, connection := range t.connections {
		if connection.seal() {
			sent = true
		}
	}
	return sent
}

// wasWithdrawn reports whether the call was withdrawn.
func (t *callTracker) wasWithdrawn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withdrawn
}

// hadConnection reports whether the call was assigned a connection at any time.
func (t *callTracker) hadConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.connections) > 0
}
