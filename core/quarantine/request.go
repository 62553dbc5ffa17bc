package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"

	"agateswitch/core/fleet"
)

// wholeRequestPrefix distinguishes whole requests from parts of prompts, whose ids are hexadecimal.
const wholeRequestPrefix = "request-"

// digestBytes is the length of the digest in a whole request's id.
const digestBytes = 16

// Request is what makes two requests the same: a request that comes again has another id and may have other headers.
type Request struct {
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	// Caller is the team, or empty on a public route.
	Caller fleet.Team
	Body   []byte
}

// WholeRequest returns the id of a request. It is a digest with a key of the fleet, so that nobody can make a request look
// like another one, or guess a body from what is logged or stored.
func WholeRequest(key []byte, request Request) Part {
	digest := hmac.New(sha256.New, key)
	for _, field := range []string{request.Method, request.Host, request.Target, string(request.Caller)} {
		// The length keeps adjacent fields apart.
		binary.Write(digest, binary.BigEndian, uint64(len(field)))
		io.WriteString(digest, field)
	}
	digest.Write(request.Body)
	return Part(wholeRequestPrefix + hex.EncodeToString(digest.Sum(nil)[:digestBytes]))
}

// IsWholeRequest reports whether the id is that of a whole request.
func (p Part) IsWholeRequest() bool { return strings.HasPrefix(string(p), wholeRequestPrefix) }
