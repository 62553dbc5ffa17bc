package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"agateswitch/node/gateway"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Times of the servers.
const (
	// idleTimeout is how long a caller's connection may be unused, and headerTimeout the time
	// for a header, whatever the desired state says: its limits are tighter, but there is none
	// at the start, and they may be raised while connections are open.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 30 * time.Second
	// maxHeaderBytes is the most of a header that is read.
	maxHeaderBytes = 64 << 10
	// lingerTime is how long a leaving router goes on taking connections: callers keep the
	// entry answers for a while.
	lingerTime = 3 * time.Second
	// exitMargin is left of the grace time for the end of the process.
	exitMargin = 400 * time.Millisecond
)

// Listen opens a socket, as net.Listen does.
type Listen func(network, address string) (net.Listener, error)

// servers are the sockets of a router towards callers and the platform.
type servers struct {
	gateway *gateway.Gateway
	listen  Listen
	callers string
	// side holds what is served beside callers' requests, by address.
	side map[string]http.Handler
	// leave is called once when the router begins to leave.
	leave func()
	grace func() time.Duration
	log   *log.Logger
}

// run serves until ctx ends, then leaves: it finishes running requests within the grace time.
func (s *servers) run(ctx context.Context) error {
	var side []*http.Server
	group, life := errgroup.WithContext(context.Background())
	for address, handler := range s.side {
		server := &http.Server{
			Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		}
		side = append(side, server)
		group.Go(func() error { return s.serve(server) })
	}
	group.Go(func() error {
		defer func() {
			for _, server := range side {
				server.Close()
			}
		}()
		return s.serveCallers(ctx, life)
	})
	return group.Wait()
}

// serveCallers takes callers from the start: one that comes before the first desired state is
// told when to come back, where a refused connection would tell it nothing.
func (s *servers) serveCallers(ctx, life context.Context) error {
	server := &http.Server{
		Addr: s.callers, Handler: s.gateway, IdleTimeout: idleTimeout,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: newConnections(s.gateway.Limits, s.log).change,
		ErrorLog:  s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	failed := make(chan error, 1)
	go func() { failed <- s.serve(server) }()
	s.log.Info("serving callers", "address", s.callers)
	select {
	case err := <-failed:
		return err
	case <-life.Done():
		return server.Close()
	case <-ctx.Done():
		s.stop(server)
		return nil
	}
}

// stop ends the callers' server without cutting a request that can end in time.
func (s *servers) stop(server *http.Server) {
	grace := s.grace()
	s.log.Info("leaving", "grace", grace)
	deadline := time.Now().Add(grace - exitMargin)
	s.gateway.Leave()
	s.leave()
	time.Sleep(min(lingerTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	s.log.Info("left", "err", err)
}

func (s *servers) serve(server *http.Server) error {
	listener, err := s.listen("tcp", server.Addr)
	if err != nil {
		return errors.Annotatef(err, "listening on %s", server.Addr)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
