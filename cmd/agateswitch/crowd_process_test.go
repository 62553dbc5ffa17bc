package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Bounds of the gateway of a crowd test, which its settings state, and the crowds.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 256
	crowdBodyBytes   = 4 << 20
	crowdBodies      = 60
	crowdConnections = 400
	crowdPipelined   = 20_000
	// A slow reader reads 512 bytes a second.
	slowBuffer   = 4 << 10
	slowPiece    = 128
	slowInterval = 250 * time.Millisecond
)

// crowd is many clients that misbehave in one way.
type crowd struct {
	// port is that of the socket, at the gateway's address.
	port string
	// count is the number of connections, and send writes what one of them sends. The connection stays open.
	count int
	send  func(number int, connection net.Conn)
	// answerBytes is the size of the plain upstream's answers to the crowd, events that of the other one's streams; 0 for the usual one.
	answerBytes, events int
}

// head returns a request's header up to its last line.
func head(number int, method, path, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd-%d\r\nX-Api-Key: %s\r\n%s\r\n", method, path, gatewayHost, number, gatewayKey, more)
}

// write sends text, or as much of it as the gateway takes.
func write(connection net.Conn, parts ...string) {
	for _, part := range parts {
		if _, err := io.WriteString(connection, part); err != nil {
			return
		}
	}
}

func shortBody(path string, length int) func(int, net.Conn) {
	return func(number int, connection net.Conn) {
		write(connection, head(number, "POST", path, fmt.Sprintf("Content-Length: %d\r\n", length)), strings.Repeat("x", length-1))
	}
}

func chunkedBody(path string, length, chunk int) func(int, net.Conn) {
	return func(number int, connection net.Conn) {
		write(connection, head(number, "POST", path, "Transfer-Encoding: chunked\r\n"))
		part := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		for range length/chunk - 1 {
			write(connection, part)
		}
	}
}

func unread(path string) func(int, net.Conn) {
	return func(number int, connection net.Conn) { write(connection, head(number, "GET", path, "")) }
}

// ahead sends many requests at once and reads no answer.
func ahead(path string) func(int, net.Conn) {
	return func(number int, connection net.Conn) {
		connection.SetWriteDeadline(time.Now().Add(2 * time.Second))
		write(connection, strings.Repeat(head(number, "GET", path, ""), crowdPipelined))
	}
}

// slowly sends one request and reads its answer in small pieces.
func slowly(path string) func(int, net.Conn) {
	return func(number int, connection net.Conn) {
		_ = connection.(*net.TCPConn).SetReadBuffer(slowBuffer)
		write(connection, head(number, "GET", path, ""))
		go func() {
			pace := time.NewTicker(slowInterval)
			defer pace.Stop()
			for piece := make([]byte, slowPiece); ; <-pace.C {
				// It ends when the gateway or the test closes the connection.
				if _, err := connection.Read(piece); err != nil {
					return
				}
			}
		}()
	}
}

// halfClosed sends the beginning of a body and closes its side of the connection.
func halfClosed(path string) func(int, net.Conn) {
	return func(number int, connection net.Conn) {
		write(connection, head(number, "POST", path, "Content-Length: 10\r\n"), "x")
		connection.(*net.TCPConn).CloseWrite()
	}
}

// announced asks whether it may send a body, and never sends it.
func announced(path string) func(int, net.Conn) {
	return func(number int, connection net.Conn) {
		write(connection, head(number, "POST", path, "Content-Length: 1000\r\nExpect: 100-continue\r\n"))
	}
}

func raw(text string) func(int, net.Conn) {
	return func(_ int, connection net.Conn) { write(connection, text) }
}

// manyFields returns fields of a header of about 15 KB.
func manyFields() string {
	var fields strings.Builder
	for i := range 1800 {
		fmt.Fprintf(&fields, "%s:\r\n", strconv.FormatInt(int64(i), 36)+"z")
	}
	return fields.String()
}

var crowds = map[string]crowd{
	"bodies that stop short of their end": {port: "7001", count: crowdBodies, send: shortBody("/book/1", crowdBodyBytes)},
	"chunked bodies that never end":       {port: "7001", count: crowdBodies, send: chunkedBody("/book/1", crowdBodyBytes, 64<<10)},
	"bodies in tiny chunks":               {port: "7001", count: crowdBodies, send: chunkedBody("/book/1", 1<<20, 16)},
	"bodies far over the limit":           {port: "7001", count: crowdBodies, send: shortBody("/book/1", 4*crowdBodyBytes)},
	"bodies at a path without a route":    {port: "7001", count: crowdConnections, send: shortBody("/nowhere/1", 10_000)},
	"bodies at the readiness path":        {port: "7002", count: crowdConnections, send: shortBody("/v1/ready", 10_000)},
	"bodies at the directory":             {port: "7003", count: crowdConnections, send: shortBody("/v1/resolve", 10_000)},
	"bodies at the metrics":               {port: "7005", count: crowdConnections, send: shortBody("/metrics", 10_000)},
	"very many short fields": {port: "7001", count: 2 * crowdConnections, send: func(number int, connection net.Conn) {
		write(connection, head(number, "POST", "/book/1", manyFields()+"Content-Length: 2\r\n"), "x")
	}},
	"headers without an end": {port: "7001", count: 2 * crowdConnections, send: func(_ int, connection net.Conn) {
		write(connection, "GET /book/1 HTTP/1.1\r\n", manyFields(), manyFields(), manyFields())
	}},
	"connections that say nothing":             {port: "7001", count: 2 * crowdConnections, send: func(int, net.Conn) {}},
	"silent connections to the readiness path": {port: "7002", count: 2 * crowdConnections, send: func(int, net.Conn) {}},
	"requests ahead without reading":           {port: "7001", count: 20, send: ahead("/nowhere/1")},
	"requests ahead with a route":              {port: "7001", count: 20, send: ahead("/book/1")},
	"requests ahead at the readiness path":     {port: "7002", count: 20, send: ahead("/v1/ready")},
	"requests ahead at the directory":          {port: "7003", count: 20, send: ahead("/v1/resolve?name=" + gatewayHost)},
	"requests ahead at the metrics":            {port: "7005", count: 20, send: ahead("/metrics")},
	"silent connections to the directory":      {port: "7003", count: 2 * crowdConnections, send: func(int, net.Conn) {}},
	"silent connections to the metrics":        {port: "7005", count: 2 * crowdConnections, send: func(int, net.Conn) {}},
	"tiny bodies that stop short of their end": {port: "7001", count: 2 * crowdConnections, send: shortBody("/book/1", 2)},
	"bodies in chunks of one byte":             {port: "7001", count: 2 * crowdConnections, send: chunkedBody("/book/1", 200, 1)},
	"bodies that are announced and never sent": {port: "7001", count: 2 * crowdConnections, send: func(number int, connection net.Conn) {
		write(connection, head(number, "POST", "/book/1", "Content-Length: 1000\r\nExpect: 100-continue\r\n"))
	}},
	"trailers without an end": {port: "7001", count: 2 * crowdConnections, send: func(number int, connection net.Conn) {
		write(connection, head(number, "POST", "/book/1", "Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n0\r\n", manyFields())
	}},
	"half-closed connections": {port: "7001", count: 2 * crowdConnections, send: func(number int, connection net.Conn) {
		write(connection, head(number, "POST", "/book/1", "Content-Length: 10\r\n"), "x")
		connection.(*net.TCPConn).CloseWrite()
	}},
	"silent connections to the routers' socket":        {port: "7004", count: 2 * crowdConnections, send: func(int, net.Conn) {}},
	"huge frames at the routers' socket":               {port: "7004", count: 2 * crowdConnections, send: raw("\xff\xff\xff\xff")},
	"frames that stop half-way at the routers' socket": {port: "7004", count: 2 * crowdConnections, send: raw("\x00\x00\x03\xff" + strings.Repeat("x", 1000))},

	"half-closed connections at a path without a route":                    {port: "7001", count: 2 * crowdConnections, send: halfClosed("/nowhere/1")},
	"half-closed connections at the readiness path":                        {port: "7002", count: 2 * crowdConnections, send: halfClosed("/v1/ready")},
	"bodies that are announced and never sent at a path without a route":   {port: "7001", count: 2 * crowdConnections, send: announced("/nowhere/1")},
	"bodies that are announced and never sent at the readiness path":       {port: "7002", count: 2 * crowdConnections, send: announced("/v1/ready")},
	"bodies at the routers' /detour without a key":                         {port: "7004", count: crowdConnections, send: shortBody("/detour", crowdBodyBytes)},
	"requests ahead at the routers' /detour without a key":                 {port: "7004", count: 20, send: ahead("/detour")},
	"half-closed connections at the routers' /detour without a key":        {port: "7004", count: 2 * crowdConnections, send: halfClosed("/detour")},
	"bodies announced and never sent at the routers' /detour, without key": {port: "7004", count: 2 * crowdConnections, send: announced("/detour")},
	"requests without a key at the routers' socket":                        {port: "7004", count: crowdConnections, send: shortBody("/book/1", 10_000)},
}

// streamCrowds are given streams that never end.
var streamCrowds = map[string]crowd{
	"streams that nobody reads":    {port: "7001", count: crowdConnections, send: unread("/plan/1"), events: 1 << 20},
	"streams that are read slowly": {port: "7001", count: crowdConnections, send: slowly("/plan/1"), events: 1 << 20},
}

var largeCrowds = map[string]crowd{
	"large answers that nobody reads":    {port: "7001", count: crowdConnections, send: unread("/book/1"), answerBytes: crowdBodyBytes},
	"large answers that are read slowly": {port: "7001", count: crowdConnections, send: slowly("/book/1"), answerBytes: crowdBodyBytes},
	"requests ahead of large answers":    {port: "7001", count: 20, send: ahead("/book/1"), answerBytes: crowdBodyBytes},
}

// status returns a field of the process's state in /proc, in bytes.
func (p gatewayProcess) status(t *testing.T, field string) int {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "status"))
	must.NoError(t, err)
	for line := range strings.Lines(string(content)) {
		if name, value, _ := strings.Cut(line, ":"); name == field {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			must.NoError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatalf("no field %s", field)
	return 0
}

func (p gatewayProcess) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "fd"))
	must.NoError(t, err)
	return len(entries)
}

// A crowd of clients that send much, or stop short of an end and stay, used to take a gateway's memory and descriptors.
func TestCrowdIsKeptWithinTheHost(t *testing.T) { playCrowds(t, crowds) }

// Readers of large answers, with the same bounds.
func TestCrowdOfLargeAnswersIsKeptWithinTheHost(t *testing.T) { playCrowds(t, largeCrowds) }

// Readers of streams, with the same bounds.
func TestCrowdOfStreamsIsKeptWithinTheHost(t *testing.T) { playCrowds(t, streamCrowds) }

func playCrowds(t *testing.T, crowds map[string]crowd) {
	t.Helper()
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
			defer cancel()
			f := newGatewayFleet(t)
			f.capacity = fmt.Sprintf(`"capacity": {"memory_mb": %d, "descriptors": %d},`, crowdMemoryMB, crowdDescriptors)
			f.bodyBytes = crowdBodyBytes
			f.plain.SetPadding(c.answerBytes)
			if c.events > 0 {
				f.stream.Events, f.stream.Interval = c.events, 0
			}
			f.configure(2, gatewayKey)
			p := f.start(ctx, t, 1)
			var open []net.Conn
			defer func() {
				for _, connection := range open {
					connection.Close()
				}
			}()
			most := 0
			for number := range c.count {
				connection, err := net.DialTimeout("tcp", net.JoinHostPort(gatewayIP(1), c.port), time.Second)
				if err != nil {
					continue
				}
				open = append(open, connection)
				c.send(number, connection)
				most = max(most, p.descriptors(t))
			}
			f.plain.SetPadding(0)
			status, _, err := p.send(ctx, "/book/ordinary")
			must.NoError(t, err)
			must.Eq(t, 200, status)
			must.NoError(t, p.command.Process.Signal(syscall.Signal(0)))
			must.LessEq(t, crowdDescriptors, max(most, p.descriptors(t)))
			must.LessEq(t, crowdMemoryMB<<20, p.status(t, "VmHWM"))
		})
	}
}
