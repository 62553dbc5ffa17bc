package forward

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
)

// maxRepeatable is the largest body that is read before it is sent, so that it can be
// sent again.
const maxRepeatable = 64 << 10

// callerBody is the body of a call. A small one is kept, a large one is streamed once.
type callerBody struct {
	source io.Reader
	length int64
	kept   []byte
	// mu guards err, which the transport's goroutine sets.
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

func (b *callerBody) isRepeatable() bool { return b.length >= 0 && b.length <= maxRepeatable }

// prepare reads a small body.
func (b *callerBody) prepare() error {
	if !b.isRepeatable() || b.length == 0 {
		return nil
	}
	b.kept = make([]byte, b.length)
	_, err := io.ReadFull(b.source, b.kept)
	return errors.Trace(err)
}

// reader returns the body for one attempt; nil means that there is none.
func (b *callerBody) reader() io.Reader {
	switch {
	case b.length == 0:
		return nil
	case b.isRepeatable():
		return bytes.NewReader(b.kept)
	default:
		return b
	}
}

// Read implements io.Reader for a body that is streamed, and keeps the caller's error.
func (b *callerBody) Read(buffer []byte) (int, error) {
	n, err := b.source.Read(buffer)
	if err != nil && err != io.EOF {
		b.mu.Lock()
		b.err = err
		b.mu.Unlock()
	}
	return n, err
}

// failure returns the caller's error, if its body could not be read.
func (b *callerBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// answerBody is the body of an answer. It ends in an error when it makes no progress.
type answerBody struct {
	source io.Reader
	idle   time.Duration
	timer  *time.Timer
	// failed is true when the body ended before its end.
	failed bool
}

// newAnswerBody closes the connection by cut when a read takes longer than idle.
func newAnswerBody(source io.Reader, idle time.Duration, cut func()) *answerBody {
	timer := time.AfterFunc(idle, cut)
	timer.Stop()
	return &answerBody{source: source, idle: idle, timer: timer}
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	b.timer.Reset(b.idle)
	defer b.timer.Stop()
	n, err := b.source.Read(buffer)
	if err != nil && err != io.EOF {
		b.failed = true
	}
	return n, err
}

func (b *answerBody) readWhole() (io.Reader, error) {
	content, err := io.ReadAll(b)
	return bytes.NewReader(content), errors.Trace(err)
}

func (b *answerBody) stop() { b.timer.Stop() }
