package rig

import (
	"io"
	"net"
	"sync"
)

// Link forwards connections to a target. What is open can be silenced or reset, while new connections work.
type Link struct {
	rig      *Rig
	listener net.Listener
	target   string

	mu     sync.Mutex
	open   map[net.Conn]bool
	silent map[net.Conn]bool
	// isDown makes new connections silent, too.
	isDown bool
}

// NewLink returns a link to a target.
func (r *Rig) NewLink(target string) *Link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err, "listening for a link")
	l := &Link{rig: r, listener: listener, target: target, open: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(near)
		}
	}()
	return l
}

// Address returns the address at which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Silence makes all open connections silent for good: they stay open, and what either end sends is lost. It returns their number.
func (l *Link) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for near := range l.open {
		l.silent[near] = true
	}
	return len(l.open)
}

// SetDown makes open and new connections silent, or lets new ones work again.
func (l *Link) SetDown(down bool) {
	if down {
		l.Silence()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown = down
}

func (l *Link) forward(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		near.Close()
		return
	}
	l.mu.Lock()
	l.open[near] = true
	if l.isDown {
		l.silent[near] = true
	}
	l.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { l.copy(far, near, near) })
	ways.Go(func() { l.copy(near, far, near) })
	ways.Wait()
	l.mu.Lock()
	delete(l.open, near)
	delete(l.silent, near)
	l.mu.Unlock()
}

func (l *Link) isSilent(near net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[near]
}

// copy forwards one way of a connection until it ends or is silent.
func (l *Link) copy(to, from, near net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if l.isSilent(near) {
			// The near end closes the connection when it gives up; the far end is told nothing.
			if from == near {
				_, _ = io.Copy(io.Discard, from)
				from.Close()
				to.Close()
			}
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				err = nil
				from.Close()
				to.Close()
				return
			}
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
	}
}
