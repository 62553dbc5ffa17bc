package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// link is the outgoing connection to one router. Calls share it; each waits for its id.
type link struct {
	mesh    *Mesh
	address string

	mu         sync.Mutex
	connection net.Conn
	nextID     uint64
	waiting    map[uint64]chan envelope
}

var errLinkLost = errors.New("connection lost before the answer")

func (l *link) call(ctx context.Context, message envelope) (envelope, error) {
	answer := make(chan envelope, 1)
	id, err := l.send(ctx, message, answer)
	if err != nil {
		return envelope{}, err
	}
	select {
	case response, ok := <-answer:
		if !ok {
			return envelope{}, errLinkLost
		}
		return response, nil
	case <-ctx.Done():
		l.abandon(id)
		return envelope{}, ctx.Err()
	}
}

func (l *link) send(ctx context.Context, message envelope, answer chan envelope) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection == nil {
		if err := l.dial(ctx); err != nil {
			return 0, err
		}
	}
	l.nextID++
	message.ID = l.nextID
	l.waiting[message.ID] = answer
	connection := l.connection
	connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(countedConn{Conn: connection, mesh: l.mesh}, message); err != nil {
		delete(l.waiting, message.ID)
		connection.Close()
		return 0, err
	}
	return message.ID, nil
}

func (l *link) dial(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return errors.Trace(err)
	}
	l.connection = connection
	go l.read(connection)
	return nil
}

func (l *link) read(connection net.Conn) {
	counted := countedConn{Conn: connection, mesh: l.mesh}
	for {
		message, err := readFrame(counted)
		if err != nil {
			l.lost(connection)
			return
		}
		l.deliver(message)
	}
}

func (l *link) deliver(message envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, found := l.waiting[message.ID]
	if found {
		delete(l.waiting, message.ID)
		answer <- message
	}
}

// lost ends every call that waits on a connection.
func (l *link) lost(connection net.Conn) {
	connection.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != connection {
		return
	}
	l.connection = nil
	for id, answer := range l.waiting {
		delete(l.waiting, id)
		close(answer)
	}
}

func (l *link) abandon(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
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
