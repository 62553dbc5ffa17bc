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
}

// challenge is the response to a hello: the called router's proof, and a nonce for the caller's.
type challenge struct {
	Nonce []byte `msgpack:"n"`
	Proof []byte `msgpack:"p"`
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
	for _, part := range [][]byte{[]byte(role), []byte(greeting.From), []byte(greeting.To), greeting.Nonce, nonce} {
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

// clientHandshake performs the calling side of the handshake.
func clientHandshake(connection net.Conn, key []byte, self, to fleet.HostID) error {
	connection.SetDeadline(time.Now().Add(handshakeTimeout))
	defer connection.SetDeadline(time.Time{})
	greeting := hello{Version: protocolVersion, From: self, To: to, Nonce: newNonce()}
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
	return writeFrame(connection, proof{Proof: computeProof(key, roleCaller, greeting, received.Nonce)})
}

// serverHandshake performs the called side of the handshake and returns the calling router's id.
func serverHandshake(connection net.Conn, key []byte, self fleet.HostID) (fleet.HostID, error) {
	connection.SetDeadline(time.Now().Add(handshakeTimeout))
	defer connection.SetDeadline(time.Time{})
	var greeting hello
	if err := readFrame(connection, maxHandshakeFrame, &greeting); err != nil {
		return "", errors.Annotate(err, "reading the hello")
	}
	if greeting.Version != protocolVersion {
		return "", errors.Errorf("unsupported protocol version %d, want %d", greeting.Version, protocolVersion)
	}
	if greeting.To != self || len(greeting.Nonce) != nonceBytes {
		return "", errors.Errorf("hello is for router %q or its nonce has a wrong length", greeting.To)
	}
	sent := challenge{Nonce: newNonce()}
	sent.Proof = computeProof(key, roleCalled, greeting, sent.Nonce)
	if err := writeFrame(connection, sent); err != nil {
		return "", err
	}
	var received proof
	if err := readFrame(connection, maxHandshakeFrame, &received); err != nil {
		return "", errors.Annotate(err, "reading the proof")
	}
	if !hmac.Equal(received.Proof, computeProof(key, roleCaller, greeting, sent.Nonce)) {
		return "", errors.Trace(errUnauthenticated)
	}
	return greeting.From, nil
}
