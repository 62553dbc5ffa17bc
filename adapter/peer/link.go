package peer

import (
	"context"
	"sync"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// A call is tried over maxConnections connections; each later one may stay silent for
// patienceFactor times as long.
const (
	maxConnections = 2
	patienceFactor = 4
)

// link is the way to one router. Calls share its connection, and move to a fresh one
// when it is lost or silent.
type link struct {
	mesh    *Mesh
	to      fleet.HostID
	address string

	// mu guards current. It is not held while connecting, so that calls can give up.
	mu      sync.Mutex
	current *connection
	// connecting has room for one: whoever fills it connects, all others wait for that.
	connecting chan struct{}
}

func newLink(mesh *Mesh, to fleet.HostID, address string) *link {
	return &link{mesh: mesh, to: to, address: address, connecting: make(chan struct{}, 1)}
}

func (l *link) call(ctx context.Context, message envelope) (envelope, error) {
	var err error
	patience := silentAfter
	for range maxConnections {
		var connection *connection
		connection, err = l.connection(ctx)
		if err != nil {
			return envelope{}, err
		}
		var answer envelope
		answer, err = connection.call(ctx, message, patience)
		if err == nil || !errors.Is(err, errLinkLost) {
			return answer, err
		}
		l.mesh.log.Info("peer connection lost, trying a fresh one", "peer", l.to, "method", message.Method, "err", err)
		// If the fresh connection is slow as well, the peer or this host is busy.
		patience *= patienceFactor
	}
	return envelope{}, err
}

// connection returns the current connection, or makes one.
func (l *link) connection(ctx context.Context) (*connection, error) {
	if open := l.open(); open != nil {
		return open, nil
	}
	select {
	case l.connecting <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.connecting }()
	if open := l.open(); open != nil {
		return open, nil
	}
	made, err := connect(ctx, l)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = made
	return made, nil
}

// open returns the current connection if it is still up.
func (l *link) open() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil || l.current.isLost() {
		return nil
	}
	return l.current
}

// close ends the current connection.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.lose(errors.New("link closed"))
	}
}
