package upstreamhttp

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/shoenig/test/must"
)

// A call that is aborted before its first byte is written counts as unsent, and cannot send any
// byte afterwards.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	connection := &trackedConn{Conn: near}
	var tracker callTracker
	must.False(t, tracker.hadConnection())
	tracker.trace().GotConn(httptrace.GotConnInfo{Conn: connection})
	must.True(t, tracker.hadConnection())
	must.False(t, tracker.abort())
	_, err := connection.Write([]byte("late"))
	must.ErrorIs(t, err, errSealed)
	must.False(t, tracker.abort())
}

// A call counts as sent once a write has started, even if the write fails.
func TestConnectionThatWroteCountsAsSent(t *testing.T) {
	near, far := net.Pipe()
	far.Close()
	connection := &trackedConn{Conn: near}
	connection.begin()
	// The write fails, but it is unknown how many bytes were sent.
	_, err := connection.Write([]byte("x"))
	must.Error(t, err)
	must.True(t, connection.seal())
	connection.begin()
	must.False(t, connection.seal())
}

// slowWrite is a connection whose peer has ended it, and on which a write returns when it is told the result.
type slowWrite struct {
	net.Conn
	begun  chan struct{}
	result chan error
}

func (c slowWrite) Write(buffer []byte) (int, error) {
	close(c.begun)
	return len(buffer), <-c.result
}

func (slowWrite) Read([]byte) (int, error) { return 0, io.EOF }

func (c slowWrite) Close() error { return nil }

// The end of a connection can be read before the write that came before it has returned.
func TestEndOfAConnectionIsJudgedByTheWriteUnderWay(t *testing.T) {
	for _, c := range []struct{ write, want error }{{nil, io.EOF}, {net.ErrClosed, io.ErrUnexpectedEOF}} {
		slow := slowWrite{begun: make(chan struct{}), result: make(chan error, 1)}
		connection := &trackedConn{Conn: slow}
		go connection.Write([]byte("x"))
		<-slow.begun
		read := make(chan error)
		go func() {
			_, err := connection.Read(make([]byte, 1))
			read <- err
		}()
		slow.result <- c.write
		must.ErrorIs(t, <-read, c.want)
	}
}
