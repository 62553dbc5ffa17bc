package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/internal/pipenet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// Connections that said nothing used to keep all routers out, as long as new ones came.
func TestSilentConnectionsKeepNoRouterOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Network{}
		var logged strings.Builder
		served := NewWithDial(network.Dial, "b", directory{}, testKey, log.New(&logged))
		served.Handle("answer", func(context.Context, fleet.HostID, port.Decode) (any, error) { return "yes", nil })
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		listener := network.Listen("b:1")
		go func() { ended <- served.Serve(ctx, listener) }()
		var silent []net.Conn
		for range 3 * maxPendingHandshakes {
			connection, err := network.Dial(ctx, "tcp", "b:1")
			must.NoError(t, err)
			silent = append(silent, connection)
			time.Sleep(10 * time.Millisecond)
		}
		caller := NewWithDial(network.Dial, "a", directory{}, testKey, log.New(io.Discard))
		var answer string
		must.NoError(t, caller.Call(t.Context(), "b", "answer", "", &answer))
		must.LessEq(t, 4, strings.Count(logged.String(), "peer refused"))
		caller.closeLinks()
		for _, connection := range silent {
			connection.Close()
		}
		stop()
		must.NoError(t, <-ended)
	})
}
