package dialer

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// soundSilence is how long a sound upstream may be silent.
const soundSilence = 2 * time.Second

// The kernel used to give idle connections to upstreams up after two seconds, one of which passes before the first probe.
func TestSilentUpstreamKeepsItsIdleConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	connection, err := NewForUpstreams().DialContext(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	defer connection.Close()
	option := func(level, name int) (value int) {
		raw, err := connection.(*net.TCPConn).SyscallConn()
		must.NoError(t, err)
		must.NoError(t, raw.Control(func(descriptor uintptr) { value, err = unix.GetsockoptInt(int(descriptor), level, name) }))
		must.NoError(t, err)
		return value
	}
	idle := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
	timeout := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	must.GreaterEq(t, idle+soundSilence, timeout)
}
