package edge

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"agateswitch/node/gateway"
	"agateswitch/node/intake"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Limits of the servers.
const (
	// idleTimeout is how long a caller's connection may be idle, and headerTimeout how long a header
	// may take, whatever the desired state allows. The limits of the desired state are lower, but
	// there is none at the start, and they may be raised while connections are open.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 30 * time.Second
	// maxHeaderBytes is the maximum number of bytes of a header that are read.
	maxHeaderBytes = 64 << 10
	// smallReadTimeout, smallWriteTimeout and smallHeaderBytes are limits of the servers that answer short questions without
	// bodies: the directory, the readiness check, and metrics.
	smallReadTimeout  = 5 * time.Second
	smallWriteTimeout = 30 * time.Second
	smallHeaderBytes  = 16 << 10
	// lingerTime is how long a leaving router continues to accept connections, because callers cache
	// the directory's answers.
	lingerTime = 3 * time.Second
	// readTime is how long the first request of a connection may take to be read after no more are accepted. http.Server.Shutdown
	// drops those that it finds unread.
	readTime = 300 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the part of the grace period before that in which requests that are left get an answer. A busy host with a share
	// of a core may stand still for a tenth of a second.
	answerMargin = 300 * time.Millisecond
)

// Listen opens a socket, as net.Listen does.
type Listen func(network, address string) (net.Listener, error)

// servers runs the HTTP servers of a router for callers and the platform.
type servers struct {
	gateway *gateway.Gateway
	clients clients
	listen  Listen
	callers string
	// routers accepts the connections of other routers for their requests.
	routers net.Listener
	// handlers holds the handlers of the other servers by their listen address.
	handlers map[string]http.Handler
	// leave is called once when the router begins to leave the fleet.
	leave func()
	// grace returns how long running requests may take to finish after that.
	grace func() time.Duration
	log   *log.Logger

	// sockets holds the open sockets by their listen address.
	sockets map[string]net.Listener
}

// open opens the sockets of all servers. On an error it leaves none open.
func (s *servers) open() error {
	s.sockets = map[string]net.Listener{}
	for _, address := range append(slices.Collect(maps.Keys(s.handlers)), s.callers) {
		socket, err := s.listen("tcp", address)
		if err != nil {
			s.close()
			return errors.Annotatef(err, "listening on %s", address)
		}
		s.sockets[address] = s.clients.gate(address == s.callers).Wrap(socket)
	}
	return nil
}

// close closes the sockets.
func (s *servers) close() {
	for address, socket := range s.sockets {
		if err := socket.Close(); err != nil {
			s.log.Warn("failed to close a socket", "address", address, "err", err)
		}
	}
}

// run serves at the open sockets until ctx ends, then leaves the fleet and finishes running requests within
// the grace period.
func (s *servers) run(ctx context.Context) error {
	var others []*http.Server
	group, groupContext := errgroup.WithContext(context.Background())
	for address, handler := range s.handlers {
		server := &http.Server{
			Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, DisableGeneralOptionsHandler: true,
			ConnState: intake.OnStateChange, ReadTimeout: smallReadTimeout, WriteTimeout: smallWriteTimeout, MaxHeaderBytes: smallHeaderBytes,
			ErrorLog: s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		others = append(others, server)
		group.Go(func() error { return s.serve(server) })
	}
	routers := s.newRouterServer()
	others = append(others, routers)
	group.Go(func() error { return ignoreClosed(routers.Serve(s.routers)) })
	group.Go(func() error {
		defer func() {
			for _, server := range others {
				server.Close()
			}
		}()
		return s.serveCallers(ctx, groupContext, routers)
	})
	return group.Wait()
}

// serveCallers serves callers from the start. A request that arrives before the first desired state
// gets a refusal with a retry delay, which a refused connection would not give.
func (s *servers) serveCallers(ctx, groupContext context.Context, routers *http.Server) error {
	limits := newConnections(s.gateway.Limits, s.log)
	server := &http.Server{
		Addr: s.callers, Handler: s.gateway, IdleTimeout: idleTimeout, DisableGeneralOptionsHandler: true,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(connection net.Conn, state http.ConnState) {
			intake.OnStateChange(connection, state)
			limits.onStateChange(connection, state)
		},
		ConnContext: intake.Context,
		ErrorLog:    s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	failed := make(chan error, 1)
	go func() { failed <- s.serve(server) }()
	s.log.Info("serving callers", "address", s.callers)
	select {
	case err := <-failed:
		return err
	case <-groupContext.Done():
		return server.Close()
	case <-ctx.Done():
		s.stop(server, routers)
		return nil
	}
}

// stop shuts the callers' server down gracefully: requests that finish within the grace period are
// completed.
func (s *servers) stop(server, routers *http.Server) {
	grace := s.grace()
	s.log.Info("leaving the fleet; finishing running requests", "grace", grace)
	began := time.Now()
	deadline, linger := began.Add(grace-exitMargin), min(lingerTime, grace/2)
	s.gateway.Leave(began.Add(linger), deadline.Add(-min(answerMargin, grace/8)))
	s.leave()
	time.Sleep(linger)
	if err := s.sockets[s.callers].Close(); err != nil {
		s.log.Warn("failed to close the socket for callers", "err", err)
	}
	time.Sleep(min(readTime, grace/8))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	s.log.Info("shut down the server for callers", "err", err)
	if err := routers.Shutdown(ctx); err != nil {
		s.log.Info("requests of other routers were cut off", "err", err)
	}
}

// serve serves at the server's address until the server is closed.
func (s *servers) serve(server *http.Server) error {
	return ignoreClosed(server.Serve(s.sockets[server.Addr]))
}

// ignoreClosed returns the error of a server unless it has ended because it was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}
