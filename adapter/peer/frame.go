// Package peer carries calls between routers over TCP. A router connects to each router
// that it calls; both prove that they know the fleet's key, and then send frames of a
// 4-byte big-endian length and a msgpack envelope.
package peer

import (
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes is the largest frame that is read or written.
	MaxFrameBytes = 8 << 20
	// maxHandshakeFrame is the largest frame from a peer that has not proved itself.
	maxHandshakeFrame = 1 << 10
	lengthBytes       = 4
)

type frameKind uint8

const (
	kindRequest frameKind = iota + 1
	kindResponse
	kindPing
	kindPong
)

// envelope is the content of a frame.
type envelope struct {
	Kind   frameKind `msgpack:"k"`
	ID     uint64    `msgpack:"i"`
	Method string    `msgpack:"m,omitempty"`
	Error  string    `msgpack:"e,omitempty"`
	// Body holds the msgpack form of a request or of an answer.
	Body []byte `msgpack:"b,omitempty"`
}

// encodeFrame returns the wire form of a message.
func encodeFrame(message any) ([]byte, error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(body) > MaxFrameBytes {
		return nil, errors.Errorf("frame of %d bytes is larger than %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

func writeFrame(w io.Writer, message any) error {
	frame, err := encodeFrame(message)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return errors.Trace(err)
}

// readFrame reads one message of at most limit bytes. It returns io.EOF when the
// connection ends between frames.
func readFrame(r io.Reader, limit int, into any) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > limit {
		return errors.Errorf("frame of %d bytes is larger than %d", length, limit)
	}
	// The buffer grows with what comes, not with what the length claims.
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return errors.Trace(err)
	}
	if len(body) < length {
		return io.ErrUnexpectedEOF
	}
	return errors.Annotate(decode(body, into), "decoding a frame")
}

// decode reads a msgpack value that a peer sent.
func decode(body []byte, into any) error {
	if err := checkShape(body); err != nil {
		return err
	}
	return errors.Trace(msgpack.Unmarshal(body, into))
}
