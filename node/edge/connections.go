package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"agateswitch/core/routing"

	"github.com/charmbracelet/log"
)

// connections closes a caller's connection that is idle for longer than the desired state allows, or
// whose first header does not arrive within the time that it allows. An http.Server's own timeouts
// can't be changed while it is serving.
type connections struct {
	// limits returns the limits in force, or false before the first desired state.
	limits func() (routing.Limits, bool)
	log    *log.Logger

	// mu guards timers, which the server and the timers themselves change. It holds a timer for
	// each connection that is idle or whose first header is pending.
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnections(limits func() (routing.Limits, bool), logger *log.Logger) *connections {
	return &connections{limits: limits, log: logger, timers: map[net.Conn]*time.Timer{}}
}

// onStateChange is the server's ConnState hook.
func (c *connections) onStateChange(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.closeAfter(connection, func(limits routing.Limits) time.Duration { return limits.HeaderTimeout })
	case http.StateIdle:
		c.closeAfter(connection, func(limits routing.Limits) time.Duration { return limits.IdleTimeout })
	default:
		c.stopTimer(connection)
	}
}

// closeAfter closes the connection when it has been in its current state for the timeout. Before it
// does so, it reads the timeout again, because it may have been raised in the meantime.
func (c *connections) closeAfter(connection net.Conn, timeout func(routing.Limits) time.Duration) {
	began := time.Now()
	remaining := func() (time.Duration, bool) {
		limits, known := c.limits()
		if !known || timeout(limits) <= 0 {
			return 0, false
		}
		return timeout(limits) - time.Since(began), true
	}
	initial, limited := remaining()
	if !limited {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(initial, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timers[connection] != timer {
			return
		}
		if rest, limited := remaining(); limited && rest > 0 {
			timer.Reset(rest)
			return
		}
		delete(c.timers, connection)
		c.log.Debug("closing a connection that exceeded its idle or header timeout", "caller", connection.RemoteAddr(), "after", time.Since(began))
		connection.Close()
	})
	c.timers[connection] = timer
}

// stopTimer stops the connection's timer, if it has one.
func (c *connections) stopTimer(connection net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer, found := c.timers[connection]; found {
		timer.Stop()
		delete(c.timers, connection)
	}
}
