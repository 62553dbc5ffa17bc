package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

const (
	protocolVersion  = 1
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
)

const errUnauthenticated = errors.ConstError("peer does not know the fleet's key")

// hello is the first frame: the calling router names itself and the router it intends to reach.
type hello struct {
	Version int          `msgpack:"v"`
	From    fleet.HostID `msgpack:"f"`
	To      fleet.HostID `msgpack:"t"`
	Nonce   []byte       `msgpack:"n"`
	// Use is what the connection carries: frames if it is empty, or HTTP.
	Use string `msgpack:"u,omitempty"`
}

// challenge is the response to a hello: the called router's proof, and a nonce for the caller's.
type challenge struct {
	Nonce []byte `msgpack:"n"`
	Proof []byte `msgpack:"p"`
	// Use repeats that of the hello. A router that does not know it repeats nothing.
	Use string `msgpack:"u,omitempty"`
}

// proof is the last frame of the handshake: the calling router's proof.
type proof struct {
	Proof []byte `msgpack:"p"`
}

// Roles are part of a proof, so that one side's proof cannot be reflected as the other's.
const (
	roleCaller = "caller"
	roleCalled = "called"
)

// computeProof returns the HMAC-SHA-256 over the role, both router ids and both nonces, each with
// its length.
func computeProof(key []byte, role string, greeting hello, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	parts := [][]byte{[]byte(role), []byte(greeting.From), []byte(greeting.To), greeting.Nonce, nonce}
	if greeting.Use != "" {
		parts = append(parts, []byte(greeting.Use))
	}
	for _, part := range parts {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// newNonce returns random bytes that make each handshake unique.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// clientHandshake performs the calling side of the handshake. It completes the greeting.
func clientHandshake(connection net.Conn, key []byte, greeting hello) error {
	connection.SetDeadline(time.Now().Add(handshakeTimeout))
	defer connection.SetDeadline(time.Time{})
	greeting.Version, greeting.Nonce = protocolVersion, newNonce()
	if err := writeFrame(connection, greeting); err != nil {
		return err
	}
	var received challenge
	if err := readFrame(connection, maxHandshakeFrame, &received); err != nil {
		return errors.Annotate(err, "reading the challenge")
	}
	if !hmac.Equal(received.Proof, computeProof(key, roleCalled, greeting, received.Nonce)) {
		return errors.Trace(errUnauthenticated)
	}
	if received.Use != greeting.Use {
		return errors.Errorf("peer does not support connections for %q", greeting.Use)
	}
	return writeFrame(connection, proof{Proof: computeProof(key, roleCaller, greeting, received.Nonce)})
}

// serverHandshake performs the called side of the handshake and returns the calling router's greeting.
func serverHandshake(connection net.Conn, key []byte, self fleet.HostID) (hello, error) {
	connection.SetDeadline(time.Now().Add(handshakeTimeout))
	defer connection.SetDeadline(time.Time{})
	var greeting hello
	if err := readFrame(connection, maxHandshakeFrame, &greeting); err != nil {
		return hello{}, errors.Annotate(err, "reading the hello")
	}
	if greeting.Version != protocolVersion {
		return hello{}, errors.Errorf("unsupported protocol version %d, want %d", greeting.Version, protocolVersion)
	}
	if greeting.Use != "" && greeting.Use != useHTTP {
		return hello{}, errors.Errorf("connections for %q are not supported", greeting.Use)
	}
	if greeting.To != self || len(greeting.Nonce) != nonceBytes {
		return hello{}, errors.Errorf("hello is for router %q or its nonce has a wrong length", greeting.To)
	}
	sent := challenge{Nonce: newNonce(), Use: greeting.Use}
	sent.Proof = computeProof(key, roleCalled, greeting, sent.Nonce)
	if err := writeFrame(connection, sent); err != nil {
		return hello{}, err
	}
	var received proof
	if err := readFrame(connection, maxHandshakeFrame, &received); err != nil {
		return hello{}, errors.Annotate(err, "reading the proof")
	}
	if !hmac.Equal(received.Proof, computeProof(key, roleCaller, greeting, sent.Nonce)) {
		return hello{}, errors.Trace(errUnauthenticated)
	}
	return greeting, nil
}
