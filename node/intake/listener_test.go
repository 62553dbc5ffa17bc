package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/internal/pipenet"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// serve runs a server behind a gate on an in-memory network until the test ends, and returns the gate and how to connect.
func serve(t *testing.T, account *Account, connections int, handler http.HandlerFunc) (*Gate, func() net.Conn) {
	t.Helper()
	network := &pipenet.Network{}
	gate := NewGate(connections, account, log.New(io.Discard))
	server := &http.Server{Handler: handler, ConnState: OnStateChange, ConnContext: Context}
	listener := gate.Wrap(network.Listen("router:1"))
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return gate, func() net.Conn {
		connection, err := network.Dial(t.Context(), "tcp", "router:1")
		must.NoError(t, err)
		t.Cleanup(func() { connection.Close() })
		return connection
	}
}

// The headers of all requests on a kept connection used to count together, until its client was closed in the middle.
func TestHeadersOfEarlierRequestsAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := NewAccount(16 << 10)
		_, connect := serve(t, account, 0, func(http.ResponseWriter, *http.Request) {})
		connection := connect()
		reader := bufio.NewReader(connection)
		for i := range 1000 {
			fmt.Fprintf(connection, "GET /%d HTTP/1.1\r\nHost: router\r\n\r\n", i)
			answer, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, answer.StatusCode)
		}
		synctest.Wait()
		held, _, _ := account.Counts()
		must.Zero(t, held)
	})
}

// The rest of a body that a handler has not read used to count as a header.
func TestBodyThatIsNotReadIsNoHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := NewAccount(256 << 10)
		_, connect := serve(t, account, 0, func(http.ResponseWriter, *http.Request) {})
		connection := connect()
		reader := bufio.NewReader(connection)
		for range 3 {
			go fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: router\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 100_000))
			answer, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, answer.StatusCode)
		}
		_, refused, evicted := account.Counts()
		must.Eq(t, []int64{0, 0}, []int64{refused, evicted})
	})
}

// Clients that stop within a body, and ones that read no answer, used to keep their connections whoever else came.
func TestConnectionThatWaitsForItsClientIsClosedForANewOne(t *testing.T) {
	for name, request := range map[string]string{
		"body":   "POST /body HTTP/1.1\r\nHost: router\r\nContent-Length: 2\r\n\r\nx",
		"answer": "GET /answer HTTP/1.1\r\nHost: router\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const connections = 16
				account, release := NewAccount(1<<20), make(chan struct{})
				gate, connect := serve(t, account, connections, func(w http.ResponseWriter, r *http.Request) {
					held := account.Begin(r.Context(), nil)
					defer held.End()
					switch r.URL.Path {
					case "/work":
						must.True(t, held.Keep())
						<-release
					case "/body":
						_, _ = held.ReadBody(r.Context(), r.Body, r.ContentLength)
					case "/answer":
						must.True(t, held.Keep())
						_, _ = w.Write(make([]byte, 1<<20))
					}
				})
				working := connect()
				fmt.Fprint(working, "GET /work HTTP/1.1\r\nHost: router\r\n\r\n")
				for range 3 * connections {
					fmt.Fprint(connect(), request)
					time.Sleep(2 * blockedTime)
				}
				ordinary := connect()
				fmt.Fprint(ordinary, "GET /ordinary HTTP/1.1\r\nHost: router\r\n\r\n")
				answer, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
				must.NoError(t, err)
				must.Eq(t, http.StatusOK, answer.StatusCode)
				open, closed := gate.Counts()
				must.LessEq(t, connections, open)
				must.Positive(t, closed)
				close(release)
				answer, err = http.ReadResponse(bufio.NewReader(working), nil)
				must.NoError(t, err, must.Sprint("a request in work is not cut off"))
				must.Eq(t, http.StatusOK, answer.StatusCode)
			})
		})
	}
}

// One address with requests in work on all its connections leaves some to others.
func TestOneAddressLeavesConnectionsToOthers(t *testing.T) {
	const connections = 16
	account := NewAccount(1 << 20)
	gate := NewGate(connections, account, log.New(io.Discard))
	admit := func(address string) *Conn {
		client, server := net.Pipe()
		t.Cleanup(func() { client.Close() })
		c := gate.admit(addressed{server, address})
		holder := account.Begin(Context(context.Background(), c), nil)
		if holder.Take(t.Context(), 1) == nil {
			must.True(t, holder.Keep())
		}
		return c
	}
	for range 2 * connections {
		admit("10.0.0.1:1")
	}
	open, _ := gate.Counts()
	must.Eq(t, connections-connections/addressReserve, open)
	other := admit("10.0.0.2:1")
	must.True(t, other.holder.isKept(), must.Sprint("it is not closed"))
}

type addressed struct {
	net.Conn
	address string
}

func (a addressed) RemoteAddr() net.Addr {
	parsed, _ := net.ResolveTCPAddr("tcp", a.address)
	return parsed
}

// The time for a reader does not count while the router has nothing to write, and a slow reader is not cut off.
func TestSlowAnswersAndSlowReadersAreNotCut(t *testing.T) {
	for name, c := range map[string]struct {
		answer, pieces int
		pause, read    time.Duration
	}{
		"slow upstream": {pieces: 100, answer: 10, pause: 10 * time.Minute},
		"slow reader":   {pieces: 4, answer: 64 << 10, read: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate, connect := serve(t, NewAccount(1<<20), 2, func(w http.ResponseWriter, _ *http.Request) {
					for range c.pieces {
						time.Sleep(c.pause)
						_, _ = w.Write(make([]byte, c.answer))
						_ = http.NewResponseController(w).Flush()
					}
				})
				connection := connect()
				fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: router\r\n\r\n")
				answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
				must.NoError(t, err)
				sum := 0
				for buffer := make([]byte, 4<<10); ; time.Sleep(c.read) {
					count, err := answer.Body.Read(buffer)
					sum += count
					if err == io.EOF {
						break
					}
					must.NoError(t, err)
				}
				must.Eq(t, c.pieces*c.answer, sum)
				must.Zero(t, gate.Unread())
			})
		})
	}
}

func TestAnswerThatNobodyReadsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		gate, connect := serve(t, NewAccount(1<<20), 2, func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write(make([]byte, 64<<10))
			ended <- err
		})
		fmt.Fprint(connect(), "GET / HTTP/1.1\r\nHost: router\r\n\r\n")
		must.Error(t, <-ended)
		must.Positive(t, gate.Unread())
	})
}

// A large buffer of the kernel used to tell of a slow reader only after it had read a third of some megabytes.
func TestKernelHoldsLittleOfAnAnswer(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer inner.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	served, err := NewGate(2, NewAccount(1<<20), log.New(io.Discard)).Wrap(inner).Accept()
	must.NoError(t, err)
	defer served.Close()
	raw, err := served.(*Conn).Conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(descriptor uintptr) {
		size, err := syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
		must.NoError(t, err)
		// Linux doubles the size for its own records.
		must.LessEq(t, 2*sendBuffer, size)
	}))
}

// Whatever a client sends, the server ends the connection or answers, and nothing stays counted.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhel",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\nx\r\n0\r\nT: u\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 500),
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x02\x00", "\r\n\r\n", "GET",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		synctest.Test(t, func(t *testing.T) {
			const limit = 256 << 10
			account := NewAccount(limit)
			_, connect := serve(t, account, 4, func(w http.ResponseWriter, r *http.Request) {
				held := account.Begin(r.Context(), nil)
				defer held.End()
				if held.Take(r.Context(), HeaderCost(r.Header)) != nil {
					return
				}
				body, err := held.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, 4<<10), r.ContentLength)
				if err == nil && held.Keep() {
					_, _ = w.Write(body)
				}
			})
			connection := connect()
			go io.Copy(io.Discard, connection)
			go connection.Write(sent)
			synctest.Wait()
			held, _, _ := account.Counts()
			must.LessEq(t, limit, held)
			connection.Close()
			synctest.Wait()
			held, _, _ = account.Counts()
			must.Zero(t, held)
		})
	})
}

// A connection whose request has ended used to be the first to go, before the rest of its answer was written.
func TestConnectionThatIsAnsweredIsNotClosedForANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := NewAccount(1 << 20)
		gate := NewGate(2, account, log.New(io.Discard))
		admit := func(address string) *Conn {
			connection, _ := net.Pipe()
			return gate.admit(addressed{connection, address})
		}
		answered := admit("10.0.0.1:1")
		held := account.Begin(Context(context.Background(), answered), nil)
		must.True(t, held.Keep())
		time.Sleep(time.Second)
		admit("10.0.0.2:1")
		time.Sleep(time.Second)
		held.End()
		admit("10.0.0.3:1")
		_, isOpen := gate.open[answered]
		must.True(t, isOpen)
	})
}
