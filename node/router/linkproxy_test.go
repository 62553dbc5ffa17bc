package router_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// linkProxy forwards connections to a target address, and simulates faults of that link.
type linkProxy struct {
	listener net.Listener
	target   string

	// mu guards the fields below. The state is read before each write of forwarded bytes.
	mu          sync.Mutex
	state       linkState
	connections []net.Conn
}

// linkState is how a linkProxy handles connections.
type linkState int

const (
	linkUp linkState = iota
	// linkClosed closes open connections, and new ones as they are accepted.
	linkClosed
	// linkStalled keeps connections open, accepts new ones, and discards the bytes that they
	// receive.
	linkStalled
)

func startLinkProxy(t *testing.T, target string) *linkProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &linkProxy{listener: listener, target: target}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() { p.forward(from) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		p.setState(linkClosed)
		running.Wait()
	})
	return p
}

// forward forwards one connection in both directions until either end closes it.
func (p *linkProxy) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	if !p.track(from, to) {
		return
	}
	var back sync.WaitGroup
	back.Go(func() { p.copy(from, to) })
	p.copy(to, from)
	back.Wait()
}

// track records the ends of a connection, and returns false if the link is closed.
func (p *linkProxy) track(ends ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections = append(p.connections, ends...)
	return p.state != linkClosed
}

func (p *linkProxy) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.currentState() == linkStalled {
			io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (p *linkProxy) currentState() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *linkProxy) setState(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	if state != linkClosed {
		return
	}
	for _, end := range p.connections {
		end.Close()
	}
	p.connections = nil
}
