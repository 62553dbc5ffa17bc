package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// RawReader reads events as raw bytes, for forwarding them unchanged.
type RawReader struct {
	// Grow, if it is set, is asked for memory before an event grows by that many bytes beyond freeEventBytes. If it
	// returns false, the event counts as too large.
	Grow func(bytes int) bool

	buffered *bufio.Reader
	raw      []byte
	// allowed is how large an event may become without asking again.
	allowed int
}

// ErrForeign is returned for a line that is none of an event: field names are lower-case, while the head of an HTTP answer begins with
// upper-case letters. An upstream that has failed may write one into its stream.
const ErrForeign = errors.ConstError("not an event")

// freeEventBytes is the size up to which an event takes no memory that has to be asked for.
const freeEventBytes = 64 << 10

// NewRawReader returns a reader of the events in r.
func NewRawReader(r io.Reader) *RawReader {
	return &RawReader{buffered: bufio.NewReader(r), allowed: freeEventBytes}
}

// mayGrow asks for memory if the event needs more.
func (r *RawReader) mayGrow() bool {
	for r.Grow != nil && len(r.raw) > r.allowed {
		// A buffer that grows has up to twice the size of its content.
		if !r.Grow(2 * freeEventBytes) {
			return false
		}
		r.allowed += freeEventBytes
	}
	return len(r.raw) <= MaxEventBytes
}

// Next returns the bytes of the next event, including the blank line that ends it, and its id. The
// bytes are valid until the next call. Next returns io.EOF when the stream ends between two events
// and io.ErrUnexpectedEOF when it ends within one, or ErrForeign for what can't be an event.
func (r *RawReader) Next() (raw []byte, id string, err error) {
	r.raw = r.raw[:0]
	for {
		line, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case !r.mayGrow():
			return nil, "", errors.Trace(ErrTooLarge)
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(r.raw) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return r.raw, id, nil
		}
		if line[0] >= 'A' && line[0] <= 'Z' {
			return nil, "", errors.Trace(ErrForeign)
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// HasData reports whether the bytes of an event hold data. Without, as with comments only, a receiver takes them for no event.
func HasData(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); bytes.Equal(line, []byte("data")) || bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}
