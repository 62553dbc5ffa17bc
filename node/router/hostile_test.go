package router_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"agateswitch/standin/service"

	"github.com/shoenig/test/must"
)

// hostileCase is the bytes that a caller writes to a connection, and the expected status.
type hostileCase struct {
	name, text string
	status     int
}

func hostileCases(key, prefix string) []hostileCase {
	head := func(line, header string) string {
		return line + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n" + header + "\r\n"
	}
	completion := completionBody(1)
	post := "POST /v1/chat/completions"
	return []hostileCase{
		{"two lengths", head(post, "Content-Length: 5\r\nContent-Length: 6\r\n") + "hello", http.StatusBadRequest},
		{"negative length", head(post, "Content-Length: -1\r\n"), http.StatusBadRequest},
		{"length with a sign", head(post, "Content-Length: +5\r\n") + "hello", http.StatusBadRequest},
		{"unknown coding", head(post, "Transfer-Encoding: xchunked\r\n"), http.StatusNotImplemented},
		{"coding twice", head(post, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), http.StatusNotImplemented},
		{"broken chunk size", head(post, "Transfer-Encoding: chunked\r\n") + "zz\r\nhello\r\n0\r\n\r\n", http.StatusBadRequest},
		{"endless chunk size", head(post, "Transfer-Encoding: chunked\r\n") + strings.Repeat("0", 64<<10), http.StatusBadRequest},
		{"space before a colon", head(post, "Content-Length : 5\r\n") + "hello", http.StatusBadRequest},
		// A folded line counts as a space (RFC 9112, section 5.2), so the length is a part of X's
		// value.
		{"folded header", head(post, "Connection: close\r\nX: a\r\n Content-Length: 9\r\n"), http.StatusBadRequest},
		{"no host", "GET /v1/entry HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"not HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", http.StatusBadRequest},
		{"giant header", head("GET /v1/entry", "X: "+strings.Repeat("x", 64<<10)+"\r\n"), http.StatusRequestHeaderFieldsTooLarge},
		{"upgrade", head("GET /v1/entry", "Connection: upgrade\r\nUpgrade: websocket\r\n"), http.StatusBadRequest},
		{"tunnel", "CONNECT 127.0.0.1:22 HTTP/1.1\r\nHost: 127.0.0.1:22\r\n\r\n", http.StatusBadRequest},
		{"giant body", head(post, "Content-Length: 99999999\r\n") + strings.Repeat("x", 5<<20), http.StatusRequestEntityTooLarge},
		{"body of the wrong kind", head(post, "Connection: close\r\nContent-Length: 4\r\n") + "true", http.StatusBadRequest},
		// RFC 9112, section 6.3: the length is ignored and the connection is closed. Bytes that a
		// proxy may treat as a second request are then not read as one.
		{"length and chunks", head("POST /"+prefix+"/smuggle", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") +
			"5\r\nhello\r\n0\r\n\r\n" + head("POST /"+prefix+"/second", "Content-Length: 0\r\n"), http.StatusOK},
		{"chunked completion", head(post, "Transfer-Encoding: chunked\r\n") +
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(completion), completion), http.StatusOK},
	}
}

// A malformed or hostile request gets an HTTP error status or is answered once, its connection is
// closed, and the router continues to serve other callers.
func TestHostileRequestsAreAnsweredAndClosed(t *testing.T) {
	f := startFleet(t, 0, time.Millisecond)
	address := f.routers[0].callers
	f.stream(t, address, 1)
	for _, c := range hostileCases("demo-"+string(f.team), f.pool.PathPrefix) {
		t.Run(c.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", address)
			must.NoError(t, err)
			defer connection.Close()
			connection.SetDeadline(time.Now().Add(eventTimeout))
			// The write runs in the background, since the router may close the connection before it
			// has read all bytes.
			go io.WriteString(connection, c.text)
			reader := bufio.NewReader(connection)
			answer, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			must.Eq(t, c.status, answer.StatusCode)
			io.Copy(io.Discard, answer.Body)
			_, err = http.ReadResponse(reader, nil)
			must.Error(t, err, must.Sprint("the connection serves another answer"))
			must.False(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("the connection stays open"))
			must.Eq(t, http.StatusOK, f.request(t, http.MethodGet, address, "/v1/entry", "", nil).StatusCode)
		})
	}
	for id, runs := range f.service.Calls() {
		must.Eq(t, 1, runs, must.Sprint(id))
	}
	must.MapLen(t, 1, f.service.Calls(), must.Sprint("a smuggled request was run"))
}

// Hop-by-hop headers are not forwarded in either direction, and the caller's key is not sent to the
// upstream.
func TestHopByHopHeadersStayOnTheirConnection(t *testing.T) {
	f := startFleet(t, 0, time.Millisecond)
	seen := make(chan http.Header, 1)
	f.service.Observe(func(r *http.Request) { seen <- r.Header.Clone() })
	answer := f.callService(t, http.Header{
		"Connection": {"X-Private"}, "X-Private": {"1"}, "Te": {"trailers"}, "Proxy-Authorization": {"x"},
		"Keep-Alive": {"5"}, "X-Kept": {"1"},
	})
	must.Eq(t, "", answer.Header.Get("Keep-Alive"))
	header := <-seen
	must.Eq(t, "1", header.Get("X-Kept"))
	for _, name := range []string{"X-Private", "Te", "Proxy-Authorization", "Keep-Alive", "Authorization"} {
		must.Eq(t, "", header.Get(name), must.Sprint(name))
	}
}

// callService calls the plain service. It retries until the router has read the service from the
// host list.
func (f *testFleet) callService(t *testing.T, header http.Header) *http.Response {
	t.Helper()
	deadline := eventDeadline(t)
	for {
		must.NoError(t, deadline.Err(), must.Sprint("the service accepted no call"))
		answer := f.request(t, http.MethodGet, f.routers[0].callers, "/"+f.pool.PathPrefix+"/x", "", header.Clone())
		if answer.StatusCode == http.StatusOK {
			return answer
		}
		must.Eq(t, http.StatusServiceUnavailable, answer.StatusCode)
	}
}

// A large answer that the upstream truncates after the header is truncated for the caller, too: its
// body ends in an error and not as a complete one.
func TestTruncatedServiceAnswerEndsInError(t *testing.T) {
	f := startFleet(t, 0, time.Millisecond)
	f.callService(t, http.Header{})
	f.service.Inject(service.FaultTruncatedLarge)
	answer := f.request(t, http.MethodGet, f.routers[0].callers, "/"+f.pool.PathPrefix+"/x", "", nil)
	must.Eq(t, http.StatusOK, answer.StatusCode)
	_, err := io.Copy(io.Discard, answer.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
