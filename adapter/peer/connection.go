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

const errLinkLost = errors.ConstError("connection lost before the answer")

// Limits of a connection on which a call waits.
const (
	// pingAfter is how long nothing may come before a ping is sent.
	pingAfter = 150 * time.Millisecond
	// silentAfter is how long nothing may come, pongs included, before the connection
	// counts as silent. The call then goes to a fresh one.
	silentAfter = 2 * pingAfter
)

// connection is one outgoing connection. Calls share it; each waits for its id.
type connection struct {
	net.Conn
	link *link
	// lost is closed when the connection is unusable; cause tells why from then on.
	lost  chan struct{}
	cause error
	once  sync.Once
	// heard is when something came last, and pinged when a ping was sent, in Unix nanoseconds.
	heard  atomic.Int64
	pinged atomic.Int64

	// writing has room for the one write that may run. It is apart from mu, so that a write
	// that hangs holds up no answer, and no mutex, so that those behind it can give up.
	writing chan struct{}

	// mu guards the fields below: callers add what the reader takes away.
	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan envelope
}

// connect makes a connection and proves this router to its peer.
func connect(ctx context.Context, l *link) (*connection, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	dialled, err := l.mesh.dial(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	counted := countedConn{Conn: dialled, mesh: l.mesh}
	// The handshake ends when the call does.
	cancel := context.AfterFunc(ctx, func() { dialled.Close() })
	err = greet(counted, l.mesh.key, l.mesh.self, l.to)
	if !cancel() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		dialled.Close()
		return nil, errors.Trace(err)
	}
	c := &connection{Conn: counted, link: l, lost: make(chan struct{}), writing: make(chan struct{}, 1), waiting: map[uint64]chan envelope{}}
	c.heard.Store(time.Now().UnixNano())
	go c.read()
	return c, nil
}

// call sends a request and waits for its answer. It returns errLinkLost when another
// connection may do better, for one when nothing has come for patience.
func (c *connection) call(ctx context.Context, message envelope, patience time.Duration) (envelope, error) {
	answer := make(chan envelope, 1)
	message.ID = c.expect(answer)
	defer c.abandon(message.ID)
	frame, err := encodeFrame(message)
	if err != nil {
		return envelope{}, err
	}
	started := time.Now()
	c.write(ctx, frame)
	probe := time.NewTicker(pingAfter)
	defer probe.Stop()
	for {
		select {
		case response := <-answer:
			return response, nil
		case <-c.lost:
			return envelope{}, c.cause
		case <-ctx.Done():
			return envelope{}, ctx.Err()
		case <-probe.C:
			c.probe(started, patience)
		}
	}
}

// probe judges whether the connection has gone silent since a call was sent.
func (c *connection) probe(started time.Time, patience time.Duration) {
	now := time.Now()
	quietSince := time.Unix(0, c.heard.Load())
	if quietSince.Before(started) {
		quietSince = started
	}
	quiet := now.Sub(quietSince)
	switch {
	case quiet >= patience:
		c.lose(errors.Errorf("nothing came for %s", quiet.Round(time.Millisecond)))
	case quiet >= pingAfter:
		c.ping(now)
	}
}

// ping asks for a sign of life, once for all calls that wait.
func (c *connection) ping(now time.Time) {
	last := c.pinged.Load()
	if now.Sub(time.Unix(0, last)) < pingAfter || !c.pinged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	frame, err := encodeFrame(envelope{Kind: kindPing})
	if err != nil {
		panic("a ping always has a frame: " + err.Error())
	}
	// A write can hang as long as writeTimeout; the calls go on judging meanwhile.
	go c.write(context.Background(), frame)
}

// write sends a frame, unless the connection or ctx ends before its turn.
func (c *connection) write(ctx context.Context, frame []byte) {
	select {
	case c.writing <- struct{}{}:
	case <-c.lost:
		return
	case <-ctx.Done():
		return
	}
	defer func() { <-c.writing }()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(frame); err != nil {
		c.lose(err)
	}
}

func (c *connection) read() {
	buffered := bufio.NewReader(c)
	for {
		var message envelope
		if err := readFrame(buffered, MaxFrameBytes, &message); err != nil {
			c.lose(err)
			return
		}
		c.heard.Store(time.Now().UnixNano())
		if message.Kind == kindResponse {
			c.deliver(message)
		}
	}
}

func (c *connection) expect(answer chan envelope) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	c.waiting[c.nextID] = answer
	return c.nextID
}

func (c *connection) abandon(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *connection) deliver(message envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, found := c.waiting[message.ID]; found {
		delete(c.waiting, message.ID)
		answer <- message
	}
}

// lose ends the connection and every call that waits on it.
func (c *connection) lose(cause error) {
	c.once.Do(func() {
		c.cause = errors.WithType(errors.Trace(cause), errLinkLost)
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

// countedConn adds the bytes of a connection to the mesh's counters.
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
