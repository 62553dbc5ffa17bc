// Package dialer establishes TCP connections that fail when the network path to the peer is lost.
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts after which a connection fails.
const (
	// dialTimeout allows for one retransmission of a lost SYN, which is sent after 1 s. Network
	// latency is about 1 ms.
	dialTimeout = 1200 * time.Millisecond
	// userTimeout is the time that sent data may remain unacknowledged (TCP_USER_TIMEOUT, RFC 5482). Linux also gives an idle
	// connection up that long after the last byte received, once a keep-alive probe is unanswered, whatever probeCount says.
	userTimeout = 2 * time.Second
	// upstreamUserTimeout is userTimeout for upstreams, which may be silent for a second or two and go on: a probe is sent after
	// probeIdle, and has to stay unanswered for longer than that.
	upstreamUserTimeout = 3 * time.Second
	// Keep-alive probes detect the loss of an idle connection.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// New returns a dialer with these timeouts.
func New() *net.Dialer { return newWithUserTimeout(userTimeout) }

// NewForUpstreams returns a dialer for connections to upstreams.
func NewForUpstreams() *net.Dialer { return newWithUserTimeout(upstreamUserTimeout) }

func newWithUserTimeout(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, connection syscall.RawConn) error { return setUserTimeout(connection, timeout) },
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(connection syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
