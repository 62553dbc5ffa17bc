package peer

import (
	"context"
	"sync"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// A call is attempted on at most maxConnections connections. The stall timeout of each further
// attempt is retryTimeoutFactor times the previous one.
const (
	maxConnections     = 2
	retryTimeoutFactor = 4
)

// link is the outgoing path to one router. Calls share its connection and are retried on a new
// one when it is lost or stalled.
type link struct {
	mesh    *Mesh
	to      fleet.HostID
	address string

	// mu guards current. It is not held while connecting, so that waiting calls can give up.
	mu      sync.Mutex
	current *connection
	// connectSemaphore admits one call that connects; other calls wait for its result.
	connectSemaphore chan struct{}
}

func newLink(mesh *Mesh, to fleet.HostID, address string) *link {
	return &link{mesh: mesh, to: to, address: address, connectSemaphore: make(chan struct{}, 1)}
}

func (l *link) call(ctx context.Context, message envelope) (envelope, error) {
	var err error
	timeout := stallTimeout
	for range maxConnections {
		var connection *connection
		connection, err = l.connection(ctx)
		if err != nil {
			return envelope{}, err
		}
		var answer envelope
		answer, err = connection.call(ctx, message, timeout)
		if err == nil || !errors.Is(err, errConnectionLost) {
			return answer, err
		}
		l.mesh.log.Info("peer connection lost; retrying the call on a new connection", "peer", l.to, "method", message.Method, "err", err)
		// A new connection that is slow as well indicates that the peer or this host is busy.
		timeout *= retryTimeoutFactor
	}
	return envelope{}, err
}

// connection returns the current connection, or establishes one.
func (l *link) connection(ctx context.Context) (*connection, error) {
	if open := l.openConnection(); open != nil {
		return open, nil
	}
	select {
	case l.connectSemaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.connectSemaphore }()
	if open := l.openConnection(); open != nil {
		return open, nil
	}
	created, err := connect(ctx, l)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = created
	return created, nil
}

// openConnection returns the current connection, or nil if it is missing or lost.
func (l *link) openConnection() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.isLost() {
		return nil
	}
	return l.current
}

// close closes the current connection and fails its pending calls.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.fail(errors.New("link closed"))
	}
}
