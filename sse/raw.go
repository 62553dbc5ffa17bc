package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// RawReader reads events as raw bytes, for forwarding them unchanged.
type RawReader struct {
	buffered *bufio.Reader
	raw      []byte
}

// NewRawReader returns a reader of the events in r.
func NewRawReader(r io.Reader) *RawReader {
	return &RawReader{buffered: bufio.NewReader(r)}
}

// Next returns the bytes of the next event, including the blank line that ends it, and its id. The
// bytes are valid until the next call. Next returns io.EOF when the stream ends between two events
// and io.ErrUnexpectedEOF when it ends within one.
func (r *RawReader) Next() (raw []byte, id string, err error) {
	r.raw = r.raw[:0]
	for {
		line, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case len(r.raw) > MaxEventBytes:
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
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
