package forward

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

// maxRepeatableBytes is the maximum size of a request body that is buffered before it is sent, so
// that it can be sent again.
const maxRepeatableBytes = 64 << 10

// callerBody is the body of a call. A small body is buffered; a large one is streamed and cannot be
// sent again.
type callerBody struct {
	source   io.Reader
	length   int64
	buffered []byte
	// mu guards err, the error of reading source, which the transport's goroutine sets.
	mu  sync.Mutex
	err error
}

func newCallerBody(call Call) *callerBody {
	body := &callerBody{source: call.Body, length: call.ContentLength}
	if call.Body == nil {
		body.length = 0
	}
	return body
}

func (b *callerBody) isRepeatable() bool { return b.length >= 0 && b.length <= maxRepeatableBytes }

// buffer reads a small body completely.
func (b *callerBody) buffer() error {
	if !b.isRepeatable() || b.length == 0 {
		return nil
	}
	b.buffered = make([]byte, b.length)
	_, err := io.ReadFull(b.source, b.buffered)
	return errors.Trace(err)
}

// reader returns the body for one attempt; nil means that the call has no body.
func (b *callerBody) reader() io.Reader {
	switch {
	case b.length == 0:
		return nil
	case b.isRepeatable():
		return bytes.NewReader(b.buffered)
	default:
		return b
	}
}

// Read implements io.Reader for a streamed body, and stores an error of the caller's connection.
func (b *callerBody) Read(buffer []byte) (int, error) {
	n, err := b.source.Read(buffer)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// readError returns the error that reading a streamed body from the caller failed with, if any.
func (b *callerBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// answerBody is the body of an answer. A read returns an error if no byte arrives for idleTimeout.
type answerBody struct {
	source      io.Reader
	idleTimeout time.Duration
	timer       *time.Timer
	// truncated is true if a read failed before the end of the body.
	truncated bool
}

// newAnswerBody returns a body that calls closeConnection if a read takes longer than idleTimeout.
func newAnswerBody(source io.Reader, idleTimeout time.Duration, closeConnection func()) *answerBody {
	timer := time.AfterFunc(idleTimeout, closeConnection)
	timer.Stop()
	return &answerBody{source: source, idleTimeout: idleTimeout, timer: timer}
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	b.timer.Reset(b.idleTimeout)
	defer b.timer.Stop()
	n, err := b.source.Read(buffer)
	if err != nil && err != io.EOF {
		b.truncated = true
	}
	return n, err
}

func (b *answerBody) readAll() (io.Reader, error) {
	content, err := io.ReadAll(b)
	return bytes.NewReader(content), errors.Trace(err)
}

func (b *answerBody) stop() { b.timer.Stop() }
