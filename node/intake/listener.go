package intake

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

const (
	// writePiece is how much is written to a client at once, and writePatience how long the client may take for it. A client that
	// reads 2.2 KB a second is never cut off.
	writePiece    = 64 << 10
	writePatience = 30 * time.Second
	// headerFactor is how many bytes of memory a byte of a header takes at most while it is read: short fields take much more than
	// their text.
	headerFactor = 32
	logInterval  = time.Second
)

// Gate bounds the connections of the listeners that it wraps. Above the limit, the connection that has been silent for the longest
// outside of a request is closed for a new one.
type Gate struct {
	max     int
	account *Account
	log     *log.Logger

	mu       sync.Mutex
	open     map[*Conn]struct{}
	closed   int64
	loggedAt time.Time
}

// NewGate returns a gate for a number of connections, 0 for any number, whose headers take from an account.
func NewGate(maxConnections int, account *Account, logger *log.Logger) *Gate {
	return &Gate{max: maxConnections, account: account, log: logger, open: map[*Conn]struct{}{}}
}

// Counts returns the number of open connections, and how many were closed for others since the start.
func (g *Gate) Counts() (open, closed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.open)), g.closed
}

// Wrap returns a listener whose connections pass the gate.
func (g *Gate) Wrap(listener net.Listener) net.Listener { return gatedListener{listener, g} }

type gatedListener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gate.admit(connection), nil
}

// admit adds a connection. If there are too many, another one is closed, or this one if all others are in use.
func (g *Gate) admit(connection net.Conn) *Conn {
	c := &Conn{Conn: connection, gate: g, readAt: time.Now()}
	c.holder = g.account.NewHolder(c.giveWay)
	g.mu.Lock()
	g.open[c] = struct{}{}
	var closing *Conn
	if g.max > 0 && len(g.open) > g.max {
		closing = g.silent(c)
		delete(g.open, closing)
		g.closed++
	}
	isLogDue := closing != nil && time.Since(g.loggedAt) >= logInterval
	if isLogDue {
		g.loggedAt = time.Now()
	}
	g.mu.Unlock()
	if closing != nil {
		closing.Close()
	}
	if isLogDue {
		g.log.Warn("too many connections of callers; closing the one that is silent for the longest", "max", g.max, "caller", closing.RemoteAddr(), "closed", g.closed)
	}
	return c
}

// silent returns the connection outside of a request that has been silent for the longest, or the new one. Callers hold mu.
func (g *Gate) silent(added *Conn) *Conn {
	found, since := added, time.Now()
	for c := range g.open {
		c.mu.Lock()
		if !c.inRequest && c != added && c.readAt.Before(since) {
			found, since = c, c.readAt
		}
		c.mu.Unlock()
	}
	return found
}

// Conn is a client's connection. What is read of a header counts in the account until the request begins.
type Conn struct {
	net.Conn
	gate   *Gate
	holder *Holder

	mu        sync.Mutex
	inRequest bool
	readAt    time.Time
	closeOnce sync.Once
}

type connKey struct{}

// Context returns a context that holds a connection, for http.Server.ConnContext.
func Context(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// Begin marks the start of a request on the connection of a context. It returns what the request holds, and a function to call at its
// end. A context without a connection has a holder of its own, which gives way by give.
func (a *Account) Begin(ctx context.Context, give func()) (*Holder, func()) {
	c, found := ctx.Value(connKey{}).(*Conn)
	if !found || c.holder.account != a {
		h := a.NewHolder(give)
		return h, h.Close
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	c.holder.Release()
	return c.holder, func() {
		c.holder.Release()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inRequest, c.readAt = false, time.Now()
	}
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mu.Lock()
	c.readAt = time.Now()
	inRequest := c.inRequest
	c.mu.Unlock()
	if err != nil || inRequest || count == 0 {
		return count, err
	}
	if taken, _ := c.holder.tryTake(int64(count) * headerFactor); !taken {
		return 0, errors.Trace(ErrNoMemory)
	}
	return count, nil
}

// Write implements net.Conn. Each piece has its own time, so that the client is judged by its progress.
func (c *Conn) Write(buffer []byte) (int, error) {
	written := 0
	for {
		piece := buffer[written:min(len(buffer), written+writePiece)]
		if err := c.SetWriteDeadline(time.Now().Add(writePatience)); err != nil {
			return written, err
		}
		count, err := c.Conn.Write(piece)
		written += count
		if err != nil || written == len(buffer) {
			return written, err
		}
	}
}

// giveWay ends what the client is sending. The reader of the connection fails, and gives back.
func (c *Conn) giveWay() {
	if err := c.SetReadDeadline(time.Now()); err != nil {
		c.Conn.Close()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.gate.mu.Lock()
		delete(c.gate.open, c)
		c.gate.mu.Unlock()
		c.holder.Close()
	})
	return err
}
