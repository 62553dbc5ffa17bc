package upstreamhttp

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/shoenig/test/must"
)

// A call that was given up before its first byte sends nothing afterwards, and only then
// counts as unsent.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	connection := &trackedConn{Conn: near}
	var flight flight
	must.False(t, flight.isConnected())
	flight.trace().GotConn(httptrace.GotConnInfo{Conn: connection})
	must.True(t, flight.isConnected())
	must.False(t, flight.abort())
	_, err := connection.Write([]byte("late"))
	must.ErrorIs(t, err, errSealed)
	must.False(t, flight.abort())
}

func TestConnectionThatWroteCountsAsSent(t *testing.T) {
	near, far := net.Pipe()
	far.Close()
	connection := &trackedConn{Conn: near}
	connection.begin()
	// The write fails, but how much of it left is not known.
	_, err := connection.Write([]byte("x"))
	must.Error(t, err)
	must.True(t, connection.seal())
	connection.begin()
	must.False(t, connection.seal())
}
