package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const errConnectionLost = errors.ConstError("connection lost before the response arrived")

// Liveness limits of a connection with a pending call.
const (
	// pingInterval is the time without received data after which a ping is sent.
	pingInterval = 150 * time.Millisecond
	// stallTimeout is the time without received data, pongs included, after which a
	// connection is considered stalled and the call is retried on a new one.
	stallTimeout = 2 * pingInterval
)

// connection is one outgoing connection, shared by concurrent calls. Responses are matched to
// calls by id.
type connection struct {
	net.Conn
	link *link
	// lost is closed when the connection becomes unusable. cause is the reason and is set before.
	lost  chan struct{}
	cause error
	once  sync.Once
	// lastReceived is when data was last received and lastPing when the last ping was sent, in
	// Unix nanoseconds.
	lastReceived atomic.Int64
	lastPing     atomic.Int64

	// writeSemaphore admits one write at a time. It is separate from mu, so that a hung write does
	// not block the delivery of responses, and a channel rather than a mutex, so that waiting
	// writers can give up.
	writeSemaphore chan struct{}

	// mu guards the fields below: callers register pending calls, the reader removes them.
	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan envelope
}

// connect dials the link's router and performs the handshake.
func connect(ctx context.Context, l *link) (*connection, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	raw, err := l.mesh.dial(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	counted := countedConn{Conn: raw, mesh: l.mesh}
	// The handshake is aborted when ctx ends.
	cancel := context.AfterFunc(ctx, func() { raw.Close() })
	err = clientHandshake(counted, l.mesh.key, hello{From: l.mesh.self, To: l.to})
	if !cancel() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	c := &connection{Conn: counted, link: l, lost: make(chan struct{}), writeSemaphore: make(chan struct{}, 1), pending: map[uint64]chan envelope{}}
	c.lastReceived.Store(time.Now().UnixNano())
	go c.read()
	return c, nil
}

// call sends a request and waits for its response. It returns errConnectionLost when a retry on
// another connection may succeed, for example when nothing is received for timeout.
func (c *connection) call(ctx context.Context, message envelope, timeout time.Duration) (envelope, error) {
	answer := make(chan envelope, 1)
	message.ID = c.register(answer)
	defer c.unregister(message.ID)
	frame, err := encodeFrame(message)
	if err != nil {
		return envelope{}, err
	}
	started := time.Now()
	c.write(ctx, frame)
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case response := <-answer:
			return response, nil
		case <-c.lost:
			return envelope{}, c.cause
		case <-ctx.Done():
			return envelope{}, ctx.Err()
		case <-ticker.C:
			c.checkLiveness(started, timeout)
		}
	}
}

// checkLiveness fails the connection when nothing has been received for timeout since a call was
// sent, and pings the peer before that.
func (c *connection) checkLiveness(started time.Time, timeout time.Duration) {
	now := time.Now()
	idleSince := time.Unix(0, c.lastReceived.Load())
	if idleSince.Before(started) {
		idleSince = started
	}
	idle := now.Sub(idleSince)
	switch {
	case idle >= timeout:
		c.fail(errors.Errorf("nothing received for %s", idle.Round(time.Millisecond)))
	case idle >= pingInterval:
		c.ping(now)
	}
}

// ping sends a ping, at most one per pingInterval for all pending calls.
func (c *connection) ping(now time.Time) {
	last := c.lastPing.Load()
	if now.Sub(time.Unix(0, last)) < pingInterval || !c.lastPing.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	frame, err := encodeFrame(envelope{Kind: kindPing})
	if err != nil {
		panic("encoding a ping frame failed: " + err.Error())
	}
	// A write can hang for writeTimeout; the calls continue their liveness checks meanwhile.
	go c.write(context.Background(), frame)
}

// write sends a frame, unless the connection or ctx ends while it waits for earlier writes.
func (c *connection) write(ctx context.Context, frame []byte) {
	select {
	case c.writeSemaphore <- struct{}{}:
	case <-c.lost:
		return
	case <-ctx.Done():
		return
	}
	defer func() { <-c.writeSemaphore }()
	if err := writeProgressing(c, frame); err != nil {
		c.fail(err)
	}
}

// Read implements net.Conn. Each part of a frame shows that the connection is alive.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.lastReceived.Store(time.Now().UnixNano())
	}
	return n, err
}

// read receives frames and delivers responses until the connection fails.
func (c *connection) read() {
	buffered := bufio.NewReader(c)
	for {
		var message envelope
		if err := readFrame(buffered, MaxFrameBytes, &message); err != nil {
			c.fail(err)
			return
		}
		if message.Kind == kindResponse {
			c.deliver(message)
		}
	}
}

// register adds a pending call and returns its id.
func (c *connection) register(answer chan envelope) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	c.pending[c.nextID] = answer
	return c.nextID
}

func (c *connection) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// deliver passes a response to its call. A response without a pending call is dropped.
func (c *connection) deliver(message envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, found := c.pending[message.ID]; found {
		delete(c.pending, message.ID)
		answer <- message
	}
}

// fail closes the connection and fails every pending call.
func (c *connection) fail(cause error) {
	c.once.Do(func() {
		c.cause = errors.WithType(errors.Trace(cause), errConnectionLost)
		close(c.lost)
		c.Close()
	})
}

func (c *connection) isLost() bool {
	select {
	case <-c.lost:
		return true
	default:
		return false
	}
}

// countedConn adds the bytes read and written to the mesh's counters.
type countedConn struct {
	net.Conn
	mesh *Mesh
}

func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mesh.receivedBytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.mesh.sentBytes.Add(int64(n))
	return n, err
}
