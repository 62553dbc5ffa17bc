package forward

import (
	"net/http"
	"slices"
	"strings"
)

const (
	// maxSegment is the longest path segment that names a route, in bytes.
	maxSegment = 32
	// otherName stands for a method or segment that does not name a route.
	otherName = "*"
)

// routeMethods are the methods of RFC 9110 and RFC 5789 that name a route.
var routeMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

// routeOf returns the method and the first path segment, by which the evidence on versions
// is told apart, for example "POST /bookings". The segment after an API version such as v1
// belongs to it. A segment that may be an identifier is left out, so that neither the number
// of routes nor what callers send shows in the evidence.
func routeOf(method, path string) string {
	if !slices.Contains(routeMethods, method) {
		method = otherName
	}
	path, _, _ = strings.Cut(path, "?")
	first, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !isAPIVersion(first) {
		return method + " /" + segmentName(first)
	}
	second, _, _ := strings.Cut(rest, "/")
	return method + " /" + first + "/" + segmentName(second)
}

// isAPIVersion tells whether a segment is v and one digit.
func isAPIVersion(segment string) bool {
	return len(segment) == 2 && segment[0] == 'v' && segment[1] >= '0' && segment[1] <= '9'
}

// segmentName returns the segment if it is a word of small letters, hyphens and underscores.
func segmentName(segment string) string {
	isWord := func(r rune) bool { return (r >= 'a' && r <= 'z') || r == '-' || r == '_' }
	if len(segment) > maxSegment || strings.ContainsFunc(segment, func(r rune) bool { return !isWord(r) }) {
		return otherName
	}
	return segment
}
