package upstreamhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/shoenig/test/must"
)

// sendTarget sends a call with a path and returns the request line's target as the upstream reads it.
func sendTarget(t *testing.T, path string) (string, *port.UpstreamError) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.RequestURI
		w.Header().Set(port.HeaderRequestID, r.Header.Get(port.HeaderRequestID))
	}))
	defer server.Close()
	client := NewWithDial((&net.Dialer{}).DialContext)
	defer client.Close()
	answer, failure := client.Send(context.Background(), port.UpstreamCall{
		Upstream: fleet.Upstream{Address: server.Listener.Addr().String()}, Request: "r", Method: http.MethodGet, Path: path,
	})
	if failure != nil {
		return "", failure
	}
	answer.Body.Close()
	return <-received, nil
}

// Bytes outside of RFC 3986 used to be escaped, and a number sign cut the path.
func TestPathIsForwardedByteForByte(t *testing.T) {
	for _, path := range []string{
		"/", "/a/b?c=d", "/a?", "/a|b^c{d}\"\\`<>?q=|\"", "/a#b?c#d", "/caf\u00e9/\xff", "//a", "//a|b", "//a|b?c://d", "///", "/%7C%2f/..//./a;b", "/http://x/y", "/a:b@c",
	} {
		got, failure := sendTarget(t, path)
		must.Nil(t, failure, must.Sprint(path))
		must.Eq(t, path, got)
	}
}

// A byte that ends the target or its line would let a path hold a second request.
func TestPathThatEndsTheRequestLineIsNotSent(t *testing.T) {
	for _, path := range []string{"", "a", "*", "http://x/", "/a b", "/a\r\nHost: x", "/a\nb", "/a\tb", "/a\x00", "/a\x7f"} {
		_, failure := sendTarget(t, path)
		must.NotNil(t, failure, must.Sprintf("%q", path))
		must.Eq(t, fleet.NotRun, failure.Ran)
		must.Eq(t, exchange.FaultMalformed, failure.Fault)
	}
}
