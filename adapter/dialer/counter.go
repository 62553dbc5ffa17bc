package dialer

import (
	"context"
	"net"
	"sync/atomic"
)

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counter counts the bytes of connections. It is safe for concurrent use.
type Counter struct {
	sent, received atomic.Int64
}

// Wrap returns a Dial whose connections are counted.
func (c *Counter) Wrap(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: connection, counter: c}, nil
	}
}

// Traffic returns the number of bytes sent and received so far, also on connections that are closed.
func (c *Counter) Traffic() (sent, received int64) { return c.sent.Load(), c.received.Load() }

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.sent.Add(int64(n))
	return n, err
}
