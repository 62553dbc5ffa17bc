// Package harness starts a small deployment of gateways as processes of their own, with stand-ins of the platform and of
// engines, and puts a link of its own between each two of them.
package harness

import (
	"net"
	"sync"
)

// LinkState is how a link handles its connections.
type LinkState int

// States of links.
const (
	Up LinkState = iota
	// Silent keeps connections open and passes nothing on in either direction.
	Silent
	// Refusing resets connections, and accepts no new ones.
	Refusing
)

// Link forwards TCP connections to a target.
type Link struct {
	target, address string

	mu       sync.Mutex
	changed  *sync.Cond
	state    LinkState
	listener net.Listener
	ends     map[*net.TCPConn]bool
}

// NewLink returns a link to a target, an ip:port. It listens on a free port of 127.0.0.1.
func NewLink(target string) *Link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l := &Link{target: target, address: listener.Addr().String(), listener: listener, ends: map[*net.TCPConn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept(listener)
	return l
}

// Address returns the ip:port that the link listens on.
func (l *Link) Address() string { return l.address }

func (l *Link) accept(listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near.(*net.TCPConn))
	}
}

func (l *Link) forward(near *net.TCPConn) {
	defer near.Close()
	if !l.awaitPassing() {
		return
	}
	connection, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.SetLinger(0)
		return
	}
	far := connection.(*net.TCPConn)
	l.mu.Lock()
	l.ends[near], l.ends[far] = true, true
	l.mu.Unlock()
	var back sync.WaitGroup
	back.Go(func() { l.copy(near, far) })
	l.copy(far, near)
	back.Wait()
	l.mu.Lock()
	delete(l.ends, near)
	delete(l.ends, far)
	l.mu.Unlock()
}

// copy forwards one direction. The end of a connection passes a link like its bytes: not while that is silent.
func (l *Link) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if !l.awaitPassing() {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// awaitPassing waits while the link is silent. It reports false if the link refuses connections.
func (l *Link) awaitPassing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.state == Silent {
		l.changed.Wait()
	}
	return l.state == Up
}

// Set changes the state of the link.
func (l *Link) Set(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == Refusing && state != Refusing {
		listener, err := net.Listen("tcp", l.address)
		check(err)
		l.listener = listener
		go l.accept(listener)
	}
	l.state = state
	if state == Refusing {
		l.listener.Close()
		for end := range l.ends {
			_ = end.SetLinger(0)
			end.Close()
		}
	}
	l.changed.Broadcast()
}
