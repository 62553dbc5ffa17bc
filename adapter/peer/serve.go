package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxHandlers is how many calls of one peer run at once.
	maxHandlers = 256
	// maxStrangers is how many connections may be in their handshake at once.
	maxStrangers = 64
	// idleLimit is how long a peer's connection may bring nothing.
	idleLimit = 5 * time.Minute
)

// Serve answers peers on the listener until ctx ends.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer m.closeLinks()
	strangers := make(chan struct{}, maxStrangers)
	for {
		connection, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "accepting a peer")
		}
		select {
		case strangers <- struct{}{}:
			go m.serveConnection(ctx, connection, func() { <-strangers })
		default:
			m.log.Warn("peer refused: too many handshakes", "address", connection.RemoteAddr())
			connection.Close()
		}
	}
}

// serving is one incoming connection.
type serving struct {
	net.Conn
	mesh *Mesh
	from fleet.HostID
	// handlers has room for the calls that may run at once.
	handlers chan struct{}
	// writing has room for the one answer that may be written at a time.
	writing chan struct{}
}

// serveConnection answers one peer. admitted is called when its handshake has ended.
func (m *Mesh) serveConnection(ctx context.Context, accepted net.Conn, admitted func()) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { accepted.Close() })
	counted := countedConn{Conn: accepted, mesh: m}
	from, err := admit(counted, m.key, m.self)
	admitted()
	if err != nil {
		m.log.Warn("peer refused", "address", accepted.RemoteAddr(), "err", err)
		return
	}
	s := &serving{Conn: counted, mesh: m, from: from, handlers: make(chan struct{}, maxHandlers), writing: make(chan struct{}, 1)}
	if err := s.run(ctx, cancel); err != io.EOF && ctx.Err() == nil {
		m.log.Warn("peer connection closed", "peer", from, "address", accepted.RemoteAddr(), "err", err)
	}
}

// run answers frames until the connection ends, and returns why; io.EOF is a proper end.
func (s *serving) run(ctx context.Context, cancel func()) error {
	buffered := bufio.NewReader(s)
	for {
		s.SetReadDeadline(time.Now().Add(idleLimit))
		var message envelope
		if err := readFrame(buffered, MaxFrameBytes, &message); err != nil {
			return err
		}
		switch message.Kind {
		case kindPing:
			s.answer(ctx, envelope{Kind: kindPong}, cancel)
		case kindRequest:
			s.start(ctx, message, cancel)
		default:
			return errors.Errorf("frame of kind %d", message.Kind)
		}
	}
}

// start runs a call's handler, unless too many run.
func (s *serving) start(ctx context.Context, message envelope, cancel func()) {
	select {
	case s.handlers <- struct{}{}:
		go func() {
			defer func() { <-s.handlers }()
			s.answer(ctx, s.mesh.handle(ctx, s.from, message), cancel)
		}()
	default:
		s.mesh.log.Warn("call of a peer refused: too many are running", "peer", s.from, "method", message.Method)
		s.answer(ctx, envelope{Kind: kindResponse, ID: message.ID, Error: "too many calls are running"}, cancel)
	}
}

func (s *serving) answer(ctx context.Context, answer envelope, cancel func()) {
	frame, err := encodeFrame(answer)
	if err != nil {
		answer.Body, answer.Error = nil, err.Error()
		frame, _ = encodeFrame(answer)
	}
	select {
	case s.writing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.writing }()
	s.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.Write(frame); err != nil {
		cancel()
	}
}

// handle runs the handler of a call.
func (m *Mesh) handle(ctx context.Context, from fleet.HostID, message envelope) envelope {
	answer := envelope{Kind: kindResponse, ID: message.ID}
	handler, found := m.handlers[message.Method]
	if !found {
		answer.Error = "unknown method " + message.Method
		return answer
	}
	value, err := handler(ctx, from, func(into any) error { return decode(message.Body, into) })
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	body, err := msgpack.Marshal(value)
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Body = body
	return answer
}
