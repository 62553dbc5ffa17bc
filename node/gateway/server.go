package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Times of the servers.
const (
	// idleTimeout is how long a caller's connection may be unused. It is far above the limit
	// of the desired state, which may be raised while connections are open.
	idleTimeout = 2 * time.Minute
	// minHeaderTimeout is the least time that a caller has for a header.
	minHeaderTimeout = 5 * time.Second
	// lingerTime is how long a leaving router goes on taking connections: callers keep the
	// entry answers for a while.
	lingerTime = 3 * time.Second
	// exitMargin is left of the grace time for the end of the process.
	exitMargin = 400 * time.Millisecond
)

// Server serves a gateway and what callers and the platform ask beside it.
type Server struct {
	Gateway *Gateway
	// Callers, Directory, Readiness and Metrics are ip:port addresses.
	Callers, Directory, Readiness, Metrics string
	// DirectoryHandler, ReadinessHandler and MetricsHandler answer at these addresses.
	DirectoryHandler, ReadinessHandler, MetricsHandler http.Handler
	// Leave is called once when the router begins to leave.
	Leave func()
	// Grace is how long the router may go on after it was asked to stop.
	Grace time.Duration
	Log   *log.Logger
}

// Run serves until ctx ends, then leaves: it finishes running requests within the grace time.
func (s *Server) Run(ctx context.Context) error {
	side := []*http.Server{
		{Addr: s.Directory, Handler: s.DirectoryHandler, ReadHeaderTimeout: minHeaderTimeout, IdleTimeout: idleTimeout},
		{Addr: s.Readiness, Handler: s.ReadinessHandler, ReadHeaderTimeout: minHeaderTimeout, IdleTimeout: idleTimeout},
		{Addr: s.Metrics, Handler: s.MetricsHandler, ReadHeaderTimeout: minHeaderTimeout, IdleTimeout: idleTimeout},
	}
	group, life := errgroup.WithContext(context.Background())
	for _, server := range side {
		group.Go(func() error { return listen(server) })
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

// serveCallers takes callers once a desired state is in force.
func (s *Server) serveCallers(ctx, life context.Context) error {
	select {
	case <-s.Gateway.Ready():
	case <-ctx.Done():
		s.Leave()
		return nil
	case <-life.Done():
		return nil
	}
	limits := s.Gateway.view.current.Load().table.State.Limits
	server := &http.Server{
		Addr: s.Callers, Handler: s.Gateway, IdleTimeout: idleTimeout,
		ReadHeaderTimeout: max(limits.HeaderTimeout, minHeaderTimeout), MaxHeaderBytes: limits.HeaderBytes,
		ErrorLog: s.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	failed := make(chan error, 1)
	go func() { failed <- listen(server) }()
	s.Log.Info("serving callers", "address", s.Callers)
	select {
	case err := <-failed:
		return err
	case <-life.Done():
		return server.Close()
	case <-ctx.Done():
		s.leave(server)
		return nil
	}
}

// leave stops the callers' server without cutting a request that can end in time.
func (s *Server) leave(server *http.Server) {
	s.Log.Info("leaving", "grace", s.Grace)
	deadline := time.Now().Add(s.Grace - exitMargin)
	s.Gateway.Leave()
	s.Leave()
	time.Sleep(min(lingerTime, s.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	s.Log.Info("left", "err", err)
}

func listen(server *http.Server) error {
	if server.Addr == "" {
		return nil
	}
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return errors.Annotatef(err, "listening on %s", server.Addr)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
