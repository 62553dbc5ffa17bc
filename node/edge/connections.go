package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"agateswitch/core/routing"

	"github.com/charmbracelet/log"
)

// connections closes callers' connections that are unused for longer than the desired state
// allows, or whose first header takes longer. A server's own timeouts can't change while it
// serves.
type connections struct {
	// limits returns those in force, and false before the first desired state.
	limits func() (routing.Limits, bool)
	log    *log.Logger

	// mu guards waiting, which the server and the timers change.
	mu      sync.Mutex
	waiting map[net.Conn]*time.Timer
}

func newConnections(limits func() (routing.Limits, bool), logger *log.Logger) *connections {
	return &connections{limits: limits, log: logger, waiting: map[net.Conn]*time.Timer{}}
}

// change is the server's ConnState hook.
func (c *connections) change(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.wait(connection, func(limits routing.Limits) time.Duration { return limits.HeaderTimeout })
	case http.StateIdle:
		c.wait(connection, func(limits routing.Limits) time.Duration { return limits.IdleTimeout })
	default:
		c.stop(connection)
	}
}

// wait closes the connection once it has been in its state for as long as a limit says. The
// limit is read again then: it may have been raised meanwhile.
func (c *connections) wait(connection net.Conn, limit func(routing.Limits) time.Duration) {
	began := time.Now()
	left := func() (time.Duration, bool) {
		limits, known := c.limits()
		if !known || limit(limits) <= 0 {
			return 0, false
		}
		return limit(limits) - time.Since(began), true
	}
	first, known := left()
	if !known {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(first, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waiting[connection] != timer {
			return
		}
		if rest, known := left(); known && rest > 0 {
			timer.Reset(rest)
			return
		}
		delete(c.waiting, connection)
		c.log.Debug("connection unused for too long", "caller", connection.RemoteAddr(), "after", time.Since(began))
		connection.Close()
	})
	c.waiting[connection] = timer
}

func (c *connections) stop(connection net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer, found := c.waiting[connection]; found {
		timer.Stop()
		delete(c.waiting, connection)
	}
}
