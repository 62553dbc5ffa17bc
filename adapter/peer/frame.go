// Package peer carries calls between routers: one TCP connection in each direction a
// pair, frames of a 4-byte big-endian length and a msgpack envelope.
package peer

import (
	"encoding/binary"
	"io"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes is the largest frame that is read or written.
const MaxFrameBytes = 8 << 20

const lengthBytes = 4

type frameKind uint8

const (
	kindRequest frameKind = iota + 1
	kindResponse
	kindPing
	kindPong
)

// envelope is the content of a frame.
type envelope struct {
	Kind   frameKind          `msgpack:"k"`
	ID     uint64             `msgpack:"i"`
	From   string             `msgpack:"f,omitempty"`
	Method string             `msgpack:"m,omitempty"`
	Error  string             `msgpack:"e,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

func writeFrame(w io.Writer, message envelope) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return errors.Trace(err)
	}
	if len(body) > MaxFrameBytes {
		return errors.Errorf("frame of %d bytes is larger than %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return errors.Trace(err)
}

func readFrame(r io.Reader) (envelope, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return envelope{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return envelope{}, errors.Errorf("frame of %d bytes is larger than %d", length, MaxFrameBytes)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return envelope{}, errors.Trace(err)
	}
	if len(body) < int(length) {
		return envelope{}, io.ErrUnexpectedEOF
	}
	var message envelope
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return envelope{}, errors.Annotate(err, "decoding a frame")
	}
	return message, nil
}
