package upstreamhttp

import (
	"net/http"
	"net/url"
	"strings"

	"agateswitch/port"

	"github.com/juju/errors"
)

// errTarget is returned for a path that can't be written as a request target: one that has no leading slash, or a byte that would
// end the target or the line.
const errTarget = errors.ConstError("the path is no request target")

const scheme = "http"

// newRequest returns the request of a call. Its target is the call's path byte for byte, also where that is no valid URI
// (RFC 3986), as upstreams may tell such paths apart.
func newRequest(call port.UpstreamCall) (*http.Request, error) {
	if !isTarget(call.Path) {
		return nil, errors.Trace(errTarget)
	}
	request, err := http.NewRequest(call.Method, scheme+"://"+call.Upstream.Address+"/", call.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.URL = &url.URL{Scheme: scheme, Host: request.URL.Host, Opaque: call.Path}
	return request, nil
}

// isTarget reports whether a path may stand in a request line.
func isTarget(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// absolutePrefix returns what net/http puts before a target with two leading slashes, which it takes for an authority.
func absolutePrefix(request *http.Request) string {
	if !strings.HasPrefix(request.URL.Opaque, "//") {
		return ""
	}
	return request.Method + " " + scheme + ":"
}
