package peer

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// maxDepth is the maximum nesting depth of arrays and maps. It bounds the recursion of decoders.
const maxDepth = 32

const errMalformed = errors.ConstError("broken msgpack value")

// validator scans a msgpack value without decoding it (msgpack specification, "Formats").
type validator struct {
	rest []byte
	// remaining holds the number of values that each open array or map still lacks, outermost first.
	remaining []uint64
}

// validate checks that a body is exactly one complete msgpack value, that its nesting depth is at
// most maxDepth, and that no array or map declares more elements than there are bytes.
func validate(body []byte) error {
	s := validator{rest: body, remaining: []uint64{1}}
	for len(s.remaining) > 0 {
		top := len(s.remaining) - 1
		if s.remaining[top] == 0 {
			s.remaining = s.remaining[:top]
			continue
		}
		s.remaining[top]--
		if err := s.value(); err != nil {
			return err
		}
	}
	if len(s.rest) > 0 {
		return errors.Annotatef(errMalformed, "%d bytes after its end", len(s.rest))
	}
	return nil
}

// value scans one value. The elements of an array or a map are left to further calls.
func (s *validator) value() error {
	if len(s.rest) == 0 {
		return errors.Annotate(errMalformed, "cut")
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

// long scans a value whose first byte is the format alone.
func (s *validator) long(code byte) error {
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
	return errors.Annotatef(errMalformed, "format %#x", code)
}

func (s *validator) skip(count uint64) error {
	if count > uint64(len(s.rest)) {
		return errors.Annotate(errMalformed, "cut")
	}
	s.rest = s.rest[count:]
	return nil
}

// length reads a big-endian unsigned integer of the given size.
func (s *validator) length(bytes int) (uint64, error) {
	var padded [8]byte
	if len(s.rest) < bytes {
		return 0, errors.Annotate(errMalformed, "cut")
	}
	copy(padded[8-bytes:], s.rest[:bytes])
	s.rest = s.rest[bytes:]
	return binary.BigEndian.Uint64(padded[:]), nil
}

// skipLength reads a length of the given size and skips that many bytes plus extra.
func (s *validator) skipLength(bytes int, extra uint64) error {
	count, err := s.length(bytes)
	if err != nil {
		return err
	}
	return s.skip(count + extra)
}

// nestLength reads a length of the given size and starts an array or a map with that many elements:
// values is 1 for an array and 2, a key and its value, for a map.
func (s *validator) nestLength(bytes int, values uint64) error {
	count, err := s.length(bytes)
	if err != nil {
		return err
	}
	return s.nest(count * values)
}

// nest starts an array or a map of the given number of values.
func (s *validator) nest(values uint64) error {
	if values > uint64(len(s.rest)) {
		return errors.Annotatef(errMalformed, "%d elements in %d bytes", values, len(s.rest))
	}
	if len(s.remaining) > maxDepth {
		return errors.Annotatef(errMalformed, "nested deeper than %d", maxDepth)
	}
	s.remaining = append(s.remaining, values)
	return nil
}
