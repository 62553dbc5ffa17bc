// Package dialer makes TCP connections that end when the path to the other side is gone.
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a connection is given up.
const (
	// dialTimeout bounds the making of a connection. Routes have 1 ms; the first repeat of a
	// lost opening packet comes after a second.
	dialTimeout = 1200 * time.Millisecond
	// userTimeout is how long sent bytes may go without an acknowledgement (RFC 5482).
	userTimeout = 2 * time.Second
	// Probes find a silent connection on which nothing is sent after 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// New makes a dialer.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUserTimeout,
	}
}

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
