package dialer

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

func TestCounterIncludesClosedConnections(t *testing.T) {
	var counter Counter
	near, far := net.Pipe()
	dial := counter.Wrap(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	connection, err := dial(t.Context(), "tcp", "10.0.0.1:1")
	must.NoError(t, err)
	go func() {
		io.CopyN(io.Discard, far, 3)
		far.Write([]byte("answer"))
		far.Close()
	}()
	_, err = connection.Write([]byte("ask"))
	must.NoError(t, err)
	_, err = io.ReadAll(connection)
	must.NoError(t, err)
	connection.Close()
	sent, received := counter.Traffic()
	must.Eq(t, 3, sent)
	must.Eq(t, 6, received)
}
