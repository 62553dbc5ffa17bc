package upstreamhttp

import (
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
