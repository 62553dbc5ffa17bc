// Package peer carries calls between routers over TCP. A router connects to each router that it
// calls. Both sides prove knowledge of the fleet's key and then exchange frames, each a 4-byte
// big-endian length followed by a msgpack envelope.
package peer

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// MaxFrameBytes is the maximum size of a frame, read or written, without its length.
	MaxFrameBytes = 8 << 20
	// maxHandshakeFrame is the maximum size of a frame from a peer that is not yet authenticated.
	maxHandshakeFrame = 1 << 10
	// writeChunkBytes takes 130 ms on a link of 4 Mbit/s.
	writeChunkBytes = 64 << 10
	lengthBytes     = 4
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
	// Body is the msgpack encoding of a request or a response.
	Body []byte `msgpack:"b,omitempty"`
}

// encodeFrame returns the wire encoding of a message, length included.
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

// writeProgressing writes a frame in chunks of writeChunkBytes, each within writeTimeout, so that the
// time allowed follows from the frame's size.
func writeProgressing(connection net.Conn, frame []byte) error {
	for len(frame) > 0 {
		chunk := frame[:min(len(frame), writeChunkBytes)]
		connection.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := connection.Write(chunk); err != nil {
			return errors.Trace(err)
		}
		frame = frame[len(chunk):]
	}
	return nil
}

func writeFrame(w io.Writer, message any) error {
	frame, err := encodeFrame(message)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return errors.Trace(err)
}

// readFrame reads one message of at most limit bytes. It returns io.EOF when the connection
// ends between two frames.
func readFrame(r io.Reader, limit int, into any) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > limit {
		return errors.Errorf("frame of %d bytes is larger than %d", length, limit)
	}
	// The buffer grows with the bytes received, not with the length that the peer declares.
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err != nil {
		return errors.Trace(err)
	}
	if len(body) < length {
		return io.ErrUnexpectedEOF
	}
	return errors.Annotate(decode(body, into), "decoding a frame")
}

// decode validates and decodes a msgpack value received from a peer.
func decode(body []byte, into any) error {
	if err := validate(body); err != nil {
		return err
	}
	return errors.Trace(msgpack.Unmarshal(body, into))
}
