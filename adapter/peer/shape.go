package peer

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// maxDepth is how deep the arrays and maps of a value may nest. Decoders recurse.
const maxDepth = 32

const errShape = errors.ConstError("broken msgpack value")

// shape walks over a msgpack value without decoding it (msgpack specification, formats).
type shape struct {
	rest []byte
	// open holds how many values each open array or map still misses.
	open []uint64
}

// checkShape makes sure that a body is one whole msgpack value, that it nests within
// maxDepth, and that no array or map claims more elements than there are bytes.
func checkShape(body []byte) error {
	s := shape{rest: body, open: []uint64{1}}
	for len(s.open) > 0 {
		top := len(s.open) - 1
		if s.open[top] == 0 {
			s.open = s.open[:top]
			continue
		}
		s.open[top]--
		if err := s.value(); err != nil {
			return err
		}
	}
	if len(s.rest) > 0 {
		return errors.Annotatef(errShape, "%d bytes after its end", len(s.rest))
	}
	return nil
}

// value walks over one value, without the elements of an array or a map.
func (s *shape) value() error {
	if len(s.rest) == 0 {
		return errors.Annotate(errShape, "cut")
	}
	code := s.rest[0]
	s.rest = s.rest[1:]
	switch {
	case code <= 0x7f || code >= 0xe0: // fixint
		return nil
	case code <= 0x8f: // fixmap
		return s.nest(2 * uint64(code&0x0f))
	case code <= 0x9f: // fixarray
		return s.nest(uint64(code & 0x0f))
	case code <= 0xbf: // fixstr
		return s.skip(uint64(code & 0x1f))
	}
	return s.long(code)
}

// long walks over a value whose format is a byte of its own.
func (s *shape) long(code byte) error {
	switch code {
	case 0xc0, 0xc2, 0xc3: // nil, false, true
		return nil
	case 0xcc, 0xd0:
		return s.skip(1)
	case 0xcd, 0xd1:
		return s.skip(2)
	case 0xca, 0xce, 0xd2:
		return s.skip(4)
	case 0xcb, 0xcf, 0xd3:
		return s.skip(8)
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // fixext: a type and 1 to 16 bytes
		return s.skip(1 + 1<<(code-0xd4))
	case 0xc4, 0xd9:
		return s.skipLength(1, 0)
	case 0xc5, 0xda:
		return s.skipLength(2, 0)
	case 0xc6, 0xdb:
		return s.skipLength(4, 0)
	case 0xc7, 0xc8, 0xc9: // ext: a type follows the length
		return s.skipLength(1<<(code-0xc7), 1)
	case 0xdc, 0xdd:
		return s.nestLength(2<<(code-0xdc), 1)
	case 0xde, 0xdf:
		return s.nestLength(2<<(code-0xde), 2)
	}
	return errors.Annotatef(errShape, "format %#x", code)
}

func (s *shape) skip(count uint64) error {
	if count > uint64(len(s.rest)) {
		return errors.Annotate(errShape, "cut")
	}
	s.rest = s.rest[count:]
	return nil
}

// length reads a big-endian number of some bytes.
func (s *shape) length(bytes int) (uint64, error) {
	var padded [8]byte
	if len(s.rest) < bytes {
		return 0, errors.Annotate(errShape, "cut")
	}
	copy(padded[8-bytes:], s.rest[:bytes])
	s.rest = s.rest[bytes:]
	return binary.BigEndian.Uint64(padded[:]), nil
}

func (s *shape) skipLength(bytes int, extra uint64) error {
	count, err := s.length(bytes)
	if err != nil {
		return err
	}
	return s.skip(count + extra)
}

func (s *shape) nestLength(bytes int, values uint64) error {
	count, err := s.length(bytes)
	if err != nil {
		return err
	}
	return s.nest(count * values)
}

// nest opens an array or a map of some values.
func (s *shape) nest(values uint64) error {
	if values > uint64(len(s.rest)) {
		return errors.Annotatef(errShape, "%d elements in %d bytes", values, len(s.rest))
	}
	if len(s.open) > maxDepth {
		return errors.Annotatef(errShape, "nested deeper than %d", maxDepth)
	}
	s.open = append(s.open, values)
	return nil
}
