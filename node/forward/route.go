package forward

import (
	"net/http"
	"slices"
	"strings"
)

const (
	// maxSegmentBytes is the maximum length of a path segment that is used as part of a route's name.
	maxSegmentBytes = 32
	// otherName replaces a method or segment that is not used in a route's name.
	otherName = "*"
)

// routeMethods are the methods of RFC 9110 and RFC 5789 that are used in a route's name.
var routeMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions,
}

// routeOf returns the name of a route, by which the evidence on versions is grouped: the method and the
// first path segment, for example "POST /bookings". An API version such as v1 is followed by a second
// segment. A segment that may be an identifier is replaced by otherName, so that callers' data does not
// appear in the evidence and does not increase the number of routes.
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

// isAPIVersion reports whether a segment is the letter v and one digit.
func isAPIVersion(segment string) bool {
	return len(segment) == 2 && segment[0] == 'v' && segment[1] >= '0' && segment[1] <= '9'
}

// segmentName returns the segment if it consists of lowercase letters, hyphens and underscores, and
// otherName if not.
func segmentName(segment string) string {
	isWord := func(r rune) bool { return (r >= 'a' && r <= 'z') || r == '-' || r == '_' }
	if len(segment) > maxSegmentBytes || strings.ContainsFunc(segment, func(r rune) bool { return !isWord(r) }) {
		return otherName
	}
	return segment
}
