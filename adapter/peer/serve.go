package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"agateswitch/core/fleet"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxCallsPerConnection is the maximum number of concurrent calls of one peer connection.
	maxCallsPerConnection = 256
	// maxPendingHandshakes is the maximum number of concurrent handshakes. Above it, the oldest one of the address that has the most ends.
	maxPendingHandshakes = 64
	// refusalLogInterval limits the log lines about connections without a good handshake.
	refusalLogInterval = time.Second
	// idleTimeout is the time without received data after which a peer's connection is closed.
	idleTimeout = 5 * time.Minute
)

// unknownMethod is what a router answers, followed by the method's name, to a call of a method that it does not have.
const unknownMethod = "unknown method "

// Pauses after failed accepts, as when the process is out of descriptors. They double from the first to the longest.
const (
	firstAcceptPause   = 5 * time.Millisecond
	longestAcceptPause = time.Second
)

// Serve accepts peer connections on the listener and handles their calls until ctx ends. It returns an error if the listener is
// closed before.
func (m *Mesh) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer m.closeLinks()
	handshakes := handshakes{log: m.log, loggedAt: map[bool]time.Time{}}
	failures := acceptFailures{log: m.log}
	for {
		connection, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Annotate(err, "accepting a peer connection")
		}
		if err != nil {
			failures.pause(ctx, err)
			continue
		}
		failures.next = 0
		handshakes.add(connection)
		go m.serveConnection(ctx, connection, &handshakes)
	}
}

// acceptFailures paces the accepts after one that has failed.
type acceptFailures struct {
	log *log.Logger
	// next is how long the next pause lasts, unless it is the first one.
	next     time.Duration
	loggedAt time.Time
}

// pause logs a failure, at most once a second, and waits before the next accept.
func (f *acceptFailures) pause(ctx context.Context, cause error) {
	length := max(f.next, firstAcceptPause)
	f.next = min(2*length, longestAcceptPause)
	if now := time.Now(); f.loggedAt.IsZero() || now.Sub(f.loggedAt) >= time.Second {
		f.loggedAt = now
		f.log.Error("failed to accept a peer connection; trying again", "pause", length, "err", cause)
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// incomingConnection is a connection from an authenticated peer.
type incomingConnection struct {
	net.Conn
	mesh *Mesh
	from fleet.HostID
	// callSemaphore limits the number of concurrent calls.
	callSemaphore chan struct{}
	// writeSemaphore admits one write at a time.
	writeSemaphore chan struct{}
}

// serveConnection handles the calls of one peer, whose handshake is in progress.
func (m *Mesh) serveConnection(ctx context.Context, accepted net.Conn, handshakes *handshakes) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { accepted.Close() })
	counted := countedConn{Conn: accepted, mesh: m}
	greeting, err := serverHandshake(counted, m.key, m.self)
	handshakes.end(accepted, err)
	if err != nil {
		return
	}
	from := greeting.From
	if greeting.Use == useHTTP {
		m.serveHTTP(ctx, counted, from)
		return
	}
	s := &incomingConnection{Conn: counted, mesh: m, from: from, callSemaphore: make(chan struct{}, maxCallsPerConnection), writeSemaphore: make(chan struct{}, 1)}
	if err := s.run(ctx, cancel); err != io.EOF && ctx.Err() == nil {
		m.log.Warn("peer connection closed after an error", "peer", from, "address", accepted.RemoteAddr(), "err", err)
	}
}

// run handles frames until the connection ends and returns the reason; io.EOF is a regular end.
func (s *incomingConnection) run(ctx context.Context, cancel func()) error {
	buffered := bufio.NewReader(s)
	for {
		s.SetReadDeadline(time.Now().Add(idleTimeout))
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
			return errors.Errorf("unexpected frame kind %d", message.Kind)
		}
	}
}

// start runs a call's handler in a goroutine, or refuses the call at maxCallsPerConnection.
func (s *incomingConnection) start(ctx context.Context, message envelope, cancel func()) {
	select {
	case s.callSemaphore <- struct{}{}:
		go func() {
			defer func() { <-s.callSemaphore }()
			s.answer(ctx, s.mesh.handle(ctx, s.from, message), cancel)
		}()
	default:
		s.mesh.log.Warn("peer call refused: too many calls of this peer are running", "peer", s.from, "method", message.Method)
		s.answer(ctx, envelope{Kind: kindResponse, ID: message.ID, Error: "too many calls are running"}, cancel)
	}
}

// answer writes a response or a pong. A response that cannot be encoded, for example because it is
// too large, is replaced by its error. cancel ends the connection after a failed write.
func (s *incomingConnection) answer(ctx context.Context, answer envelope, cancel func()) {
	frame, err := encodeFrame(answer)
	if err != nil {
		answer.Body, answer.Error = nil, err.Error()
		frame, _ = encodeFrame(answer)
	}
	select {
	case s.writeSemaphore <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.writeSemaphore }()
	if err := writeProgressing(s, frame); err != nil {
		cancel()
	}
}

// handle runs the handler of a call and returns the response frame's envelope.
func (m *Mesh) handle(ctx context.Context, from fleet.HostID, message envelope) envelope {
	answer := envelope{Kind: kindResponse, ID: message.ID}
	handler, found := m.handlers[message.Method]
	if !found {
		answer.Error = unknownMethod + message.Method
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
