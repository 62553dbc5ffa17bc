package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/internal/pipenet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// failingListener fails until a time, as when the process is out of descriptors.
type failingListener struct {
	net.Listener
	until    time.Time
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		l.failures++
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A lack of descriptors used to end the server for the rest of the process's life.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		var logged strings.Builder
		served := NewWithDial(network.Dial, "b", directory{}, testKey, log.New(&logged))
		served.Handle("answer", func(context.Context, fleet.HostID, port.Decode) (any, error) { return "yes", nil })
		listener := &failingListener{Listener: network.Listen("b:1"), until: time.Now().Add(10 * time.Second)}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- served.Serve(ctx, listener) }()
		time.Sleep(12 * time.Second)
		caller := NewWithDial(network.Dial, "a", directory{}, testKey, log.New(io.Discard))
		var answer string
		must.NoError(t, caller.Call(t.Context(), "b", "answer", "", &answer))
		must.Less(t, 40, listener.failures)
		must.LessEq(t, 11, strings.Count(logged.String(), "failed to accept"))
		caller.closeLinks()
		stop()
		must.NoError(t, <-ended)
	})
}

func TestServerEndsWhenItsListenerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := (&pipenet.Network{}).Listen("b:1")
		must.NoError(t, listener.Close())
		must.ErrorIs(t, NewWithDial(nil, "b", directory{}, testKey, log.New(io.Discard)).Serve(t.Context(), listener), net.ErrClosed)
	})
}
