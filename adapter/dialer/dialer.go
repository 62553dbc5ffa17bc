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
	// userTimeout is the time that sent data may remain unacknowledged (TCP_USER_TIMEOUT, RFC 5482).
	userTimeout = 2 * time.Second
	// Keep-alive probes detect the loss of an idle connection within 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// New returns a dialer with these timeouts.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failure error
	err := connection.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
