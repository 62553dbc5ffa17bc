package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"agateswitch/adapter/peer"
	"agateswitch/core/fleet"

	"github.com/charmbracelet/log"
)

// Idle connections between routers. The one that opens them closes them first.
const (
	detourIdleTimeout       = 30 * time.Second
	detourServerIdleTimeout = time.Minute
)

type callingRouterKey struct{}

// newRouterServer returns the server for requests that other routers have no path for.
func (s *servers) newRouterServer() *http.Server {
	return &http.Server{
		DisableGeneralOptionsHandler: true,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			from, _ := r.Context().Value(callingRouterKey{}).(fleet.HostID)
			s.gateway.ServeDetour(w, r, from)
		}),
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			from, _ := peer.CallingRouter(connection)
			return context.WithValue(ctx, callingRouterKey{}, from)
		},
		ReadHeaderTimeout: headerTimeout, IdleTimeout: detourServerIdleTimeout, MaxHeaderBytes: 2 * maxHeaderBytes,
		ErrorLog: s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}
