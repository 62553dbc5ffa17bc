package intake

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

const (
	// sendBuffer is the kernel's buffer for what a client has not read yet. A larger one would tell late that the client reads.
	sendBuffer = 64 << 10
	// writePiece is how much is written to a client at once, and writePatience how long the client may take for it, whatever time
	// passes between two writes. A client that reads 4 KB a second is never cut off.
	writePiece    = 16 << 10
	writePatience = 30 * time.Second
	// blockedTime is how long a client must not have read before its connection may be closed for a new one.
	blockedTime = time.Second
	// headerFactor is how many bytes of memory a byte of a header takes at most while it is read: short fields take much more than
	// their text.
	headerFactor = 32
	// addressReserve is the divisor of the connections that are kept for other addresses than the one with the most.
	addressReserve = 8
)

// Gate bounds the connections of the listeners that it wraps. Above the limit, the connection that has waited for its client for the
// longest is closed for a new one.
type Gate struct {
	max     int
	account *Account

	mu      sync.Mutex
	reports reports
	open    map[*Conn]struct{}
	// byAddress counts the open connections by the address of the client.
	byAddress map[string]int
	// closed counts the connections closed for others, unread those whose client did not read.
	closed, unread int64
}

// NewGate returns a gate for a number of connections, 0 for any number, whose headers take from an account.
func NewGate(maxConnections int, account *Account, logger *log.Logger) *Gate {
	return &Gate{max: maxConnections, account: account, reports: newReports(logger), open: map[*Conn]struct{}{}, byAddress: map[string]int{}}
}

// Counts returns the number of open connections, and how many were closed for others since the start.
func (g *Gate) Counts() (open, closed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.open)), g.closed
}

// Unread returns how many connections were closed since the start because their client did not read.
func (g *Gate) Unread() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unread
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
		l.gate.reportAccept(err)
		return nil, err
	}
	return l.gate.admit(connection), nil
}

// reportAccept logs that a connection was not accepted, as for want of descriptors. The server pauses and tries again.
func (g *Gate) reportAccept(err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports.warn("failed to accept a connection; trying again", "err", err)
}

// admit adds a connection. If there are too many, another one is closed, or this one if all others are in use.
func (g *Gate) admit(connection net.Conn) *Conn {
	if buffered, isTCP := connection.(interface{ SetWriteBuffer(bytes int) error }); isTCP {
		// Without it the kernel chooses.
		_ = buffered.SetWriteBuffer(sendBuffer)
	}
	c := &Conn{Conn: connection, gate: g, address: hostOf(connection.RemoteAddr()), readAt: time.Now()}
	c.holder = g.account.NewHolder(c.giveWay)
	c.holder.connection = c
	c.holder.Assign(c.address)
	g.mu.Lock()
	g.open[c] = struct{}{}
	g.byAddress[c.address]++
	closing := g.surplus(c)
	if closing != nil {
		g.remove(closing)
		g.closed++
		g.reports.warn("too many connections of callers; closing the one that has waited for its caller for the longest",
			"max", g.max, "caller", closing.RemoteAddr(), "closed", g.closed)
	}
	g.mu.Unlock()
	if closing != nil {
		closing.Close()
	}
	return c
}

// remove removes a connection from those that are open. Callers hold mu.
func (g *Gate) remove(c *Conn) {
	if _, isOpen := g.open[c]; !isOpen {
		return
	}
	delete(g.open, c)
	if g.byAddress[c.address]--; g.byAddress[c.address] == 0 {
		delete(g.byAddress, c.address)
	}
}

// surplus returns the connection to close after one was added, or nil. Callers hold mu.
func (g *Gate) surplus(added *Conn) *Conn {
	switch {
	case g.max == 0:
		return nil
	case g.byAddress[added.address] > g.max-g.max/addressReserve:
		return g.silent(added, func(c *Conn) bool { return c.address == added.address })
	case len(g.open) > g.max:
		return g.silent(added, func(*Conn) bool { return true })
	}
	return nil
}

// silent returns the connection that has waited for its client to send for the longest, or else for it to read, or else the new one.
// Callers hold mu.
func (g *Gate) silent(added *Conn, isRival func(*Conn) bool) *Conn {
	now := time.Now()
	sender, reader := added, added
	sendsSince, readsSince := now, now.Add(-blockedTime)
	for c := range g.open {
		if c == added || !isRival(c) {
			continue
		}
		since, waits := c.waitsSince()
		switch {
		case waits == forMore && since.Before(sendsSince), waits == forRequest && !since.After(sendsSince):
			sender, sendsSince = c, since
		case waits == forReader && since.Before(readsSince):
			reader, readsSince = c, since
		}
	}
	if sender != added {
		return sender
	}
	return reader
}

// hostOf returns an address without its port.
func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

// waiting is what a connection waits for.
type waiting int

const (
	// forWork waits for the router or an upstream.
	forWork waiting = iota
	// forRequest waits for a request of its client, and forMore for the rest of one.
	forRequest
	forMore
	// forReader waits until its client reads.
	forReader
)

// Conn is a client's connection. What is read of a header counts in the account until the request begins.
type Conn struct {
	net.Conn
	gate    *Gate
	holder  *Holder
	address string

	mu sync.Mutex
	// inRequest is true from the end of a request's header to the end of its answer.
	inRequest bool
	readAt    time.Time
	// writesSince is when the write in progress began; zero if there is none.
	writesSince time.Time
	closeOnce   sync.Once
}

// waitsSince returns what the connection waits for, and since when it has been without progress.
func (c *Conn) waitsSince() (time.Time, waiting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.writesSince.IsZero():
		return c.writesSince, forReader
	case c.inRequest && c.holder.isKept():
		return time.Time{}, forWork
	case c.inRequest:
		return c.readAt, forMore
	}
	return c.readAt, forRequest
}

// OnStateChange is the ConnState hook of a server whose listener passes a gate.
func OnStateChange(connection net.Conn, state http.ConnState) {
	c, isGated := connection.(*Conn)
	if !isGated {
		return
	}
	switch state {
	case http.StateActive:
		c.begin()
	case http.StateIdle:
		c.holder.Reset()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inRequest, c.readAt = false, time.Now()
	default:
	}
}

// begin marks the end of a request's header.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	c.holder.Release()
}

type connKey struct{}

// Context returns a context that holds a connection, for http.Server.ConnContext.
func Context(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connection)
}

// Begin marks the start of a request on the connection of a context. It returns what the request holds, which ends with it. A context
// without a connection has a holder of its own, which gives way by ending what is read of w's request.
func (a *Account) Begin(ctx context.Context, w http.ResponseWriter) *Holder {
	c, found := ctx.Value(connKey{}).(*Conn)
	if !found || c.holder.account != a {
		return a.NewHolder(func() {
			// Where it can't be set, the caller's deadline ends it.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		})
	}
	c.begin()
	return c.holder
}

// End marks the end of a request that has begun with Begin.
func (h *Holder) End() {
	if h.connection == nil {
		h.Close()
		return
	}
	h.connection.end()
}

// end gives back what a request held. The server still writes the rest of its answer, so that the client is not waited for since its
// request came.
func (c *Conn) end() {
	c.mu.Lock()
	c.readAt = time.Now()
	c.mu.Unlock()
	c.holder.Release()
	c.holder.Assign(c.address)
}

// Abort closes the connection of a context. It reports false if there is none.
func Abort(ctx context.Context) bool {
	c, found := ctx.Value(connKey{}).(*Conn)
	if found {
		c.Close()
	}
	return found
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
	if err := c.holder.Take(context.Background(), int64(count)*headerFactor); err != nil {
		return 0, err
	}
	c.holder.Progress(count)
	return count, nil
}

// Write implements net.Conn. Each piece has its own time, so that the client is judged by its progress.
func (c *Conn) Write(buffer []byte) (int, error) {
	defer c.setWriting(time.Time{})
	written := 0
	for {
		piece := buffer[written:min(len(buffer), written+writePiece)]
		now := time.Now()
		c.setWriting(now)
		if err := c.SetWriteDeadline(now.Add(writePatience)); err != nil {
			return written, err
		}
		count, err := c.Conn.Write(piece)
		written += count
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.gate.reportUnread(c)
		}
		if err != nil || written == len(buffer) {
			return written, err
		}
	}
}

func (c *Conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesSince = since
}

// reportUnread counts a connection whose client did not read.
func (g *Gate) reportUnread(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unread++
	g.reports.warn("a caller does not read its answer; closing its connection", "caller", c.RemoteAddr(), "unread", g.unread)
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
		c.gate.remove(c)
		c.gate.mu.Unlock()
		c.holder.Close()
	})
	return err
}
