package router_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// relay passes the bytes of connections on to an address, until its link is lost.
type relay struct {
	listener net.Listener
	to       string

	// mu guards the fields below. The state is read before each piece is passed on.
	mu    sync.Mutex
	state linkState
	open  []net.Conn
}

// linkState is what a relay does with connections.
type linkState int

const (
	linkUp linkState = iota
	// linkCut closes connections, new ones at once.
	linkCut
	// linkSilent keeps connections open, takes new ones and drops what comes on them.
	linkSilent
)

func startRelay(t *testing.T, to string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{listener: listener, to: to}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { r.pass(from) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		r.set(linkCut)
		running.Wait()
	})
	return r
}

// pass serves one connection until either end closes it.
func (r *relay) pass(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer to.Close()
	if !r.keep(from, to) {
		return
	}
	var back sync.WaitGroup
	back.Go(func() { r.copy(from, to) })
	r.copy(to, from)
	back.Wait()
}

// keep notes the ends of a connection, and returns false when the link is cut.
func (r *relay) keep(ends ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = append(r.open, ends...)
	return r.state != linkCut
}

func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	piece := make([]byte, 4096)
	for {
		count, err := from.Read(piece)
		if err != nil {
			return
		}
		if r.now() == linkSilent {
			io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(piece[:count]); err != nil {
			return
		}
	}
}

func (r *relay) now() linkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *relay) set(state linkState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	if state != linkCut {
		return
	}
	for _, end := range r.open {
		end.Close()
	}
	r.open = nil
}
