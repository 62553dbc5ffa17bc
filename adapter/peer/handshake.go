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

const errStranger = errors.ConstError("peer does not know the fleet's key")

// hello is the first frame: the calling router names itself and whom it means to reach.
type hello struct {
	Version int          `msgpack:"v"`
	From    fleet.HostID `msgpack:"f"`
	To      fleet.HostID `msgpack:"t"`
	Nonce   []byte       `msgpack:"n"`
}

// challenge answers a hello: the called router proves itself and asks for proof.
type challenge struct {
	Nonce []byte `msgpack:"n"`
	Proof []byte `msgpack:"p"`
}

// proof ends the handshake.
type proof struct {
	Proof []byte `msgpack:"p"`
}

// Roles keep a proof of one side from being sent back as a proof of the other.
const (
	roleCaller = "caller"
	roleCalled = "called"
)

// prove returns HMAC-SHA-256 over both names and both nonces.
func prove(key []byte, role string, greeting hello, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), []byte(greeting.From), []byte(greeting.To), greeting.Nonce, nonce} {
		mac.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// greet is the calling side of the handshake.
func greet(connection net.Conn, key []byte, self, to fleet.HostID) error {
	connection.SetDeadline(time.Now().Add(handshakeTimeout))
	defer connection.SetDeadline(time.Time{})
	greeting := hello{Version: protocolVersion, From: self, To: to, Nonce: newNonce()}
	if err := writeFrame(connection, greeting); err != nil {
		return err
	}
	var asked challenge
	if err := readFrame(connection, maxHandshakeFrame, &asked); err != nil {
		return errors.Annotate(err, "reading the challenge")
	}
	if !hmac.Equal(asked.Proof, prove(key, roleCalled, greeting, asked.Nonce)) {
		return errors.Trace(errStranger)
	}
	return writeFrame(connection, proof{Proof: prove(key, roleCaller, greeting, asked.Nonce)})
}

// admit is the called side. It returns the calling router.
func admit(connection net.Conn, key []byte, self fleet.HostID) (fleet.HostID, error) {
	connection.SetDeadline(time.Now().Add(handshakeTimeout))
	defer connection.SetDeadline(time.Time{})
	var greeting hello
	if err := readFrame(connection, maxHandshakeFrame, &greeting); err != nil {
		return "", errors.Annotate(err, "reading the greeting")
	}
	if greeting.Version != protocolVersion {
		return "", errors.Errorf("protocol version %d is not %d", greeting.Version, protocolVersion)
	}
	if greeting.To != self || len(greeting.Nonce) != nonceBytes {
		return "", errors.Errorf("greeting for %q", greeting.To)
	}
	asked := challenge{Nonce: newNonce()}
	asked.Proof = prove(key, roleCalled, greeting, asked.Nonce)
	if err := writeFrame(connection, asked); err != nil {
		return "", err
	}
	var answer proof
	if err := readFrame(connection, maxHandshakeFrame, &answer); err != nil {
		return "", errors.Annotate(err, "reading the proof")
	}
	if !hmac.Equal(answer.Proof, prove(key, roleCaller, greeting, asked.Nonce)) {
		return "", errors.Trace(errStranger)
	}
	return greeting.From, nil
}
